package connpool

import (
	"bufio"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// Header is one header field that is passed on as it is.
type Header struct {
	Name, Value string
}

// Request is what a caller asked, to be passed on unchanged.
type Request struct {
	ID     string
	Method string
	Host   string
	Target string // path and query as the caller wrote them
	Header []Header
	Body   []byte
	// BodyOnly says that of an answer only the body is passed on, so that a
	// codec need not keep its header fields.
	BodyOnly bool
}

// Load is what a replica tells of itself.
type Load struct {
	Running, Waiting, Slots int
}

// Reply is one whole answer of a replica.
type Reply struct {
	RequestID string // the request that it answers; "": the replica doesn't say
	Status    int
	Receipt   string // proves which replica ran which request
	NotRun    bool   // the replica states that it did not run the request
	// Misdirected says that another replica answers at this address; NotRun
	// holds too.
	Misdirected bool
	Load        Load
	HasLoad     bool
	Header      []Header // to be passed on
	Body        []byte
	Close       bool          // the connection ends with this answer
	KeepAlive   time.Duration // idle time after which the replica closes; 0: unknown
}

// OK reports whether the reply is a replica's success.
func (r *Reply) OK() bool { return !r.NotRun && r.Status >= 200 && r.Status < 300 }

// Codec writes requests and reads answers.
type Codec interface {
	// AppendRequest appends the request for the replica of an ID, which has
	// budget left to answer.
	AppendRequest(dst []byte, r *Request, replica string, budget time.Duration) []byte
	// ReadReply reads one answer, to its end, while r is waited for.
	ReadReply(br *bufio.Reader, r *Request) (*Reply, error)
}

// Attempt is one attempt of a request at one replica.
type Attempt struct {
	Request  *Request
	Deadline time.Time // the replica gets what is left of it as its budget
	SentAt   time.Time // set by the owner; tells flights of one part apart
	// Done takes the end of the flight. It runs on a goroutine of the link and
	// must not block.
	Done func(f *Attempt)

	// Reply is the answer; nil when there is none, and then Err says why.
	Reply *Reply
	Err   *verdict.Error

	// Guarded by the peer's mutex:
	cutAt time.Time // the connection is closed then; zero: never
	ended bool
	conn  *conn // nil while it waits
}

package connpool

import (
	"bufio"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/upstreamlimit"
	"github.com/sapphirewall/sapphirewall/internal/membudget"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// Header is one header field that is passed on unchanged.
type Header struct {
	Name, Value string
}

// Request is a caller's request, to be passed on unchanged.
type Request struct {
	ID     string
	Method string
	Host   string
	Target string // path and query as the caller wrote them
	Header []Header
	Body   []byte
	// BodyOnly states that only the body of a reply is passed on, so that a codec
	// need not keep its header fields.
	BodyOnly bool
	// Team is the name of the team that the request runs for; "": none.
	Team string
	// Account has what the request has drawn from the budget of bytes. An attempt
	// retains it until it has ended. nil: no limit.
	Account *membudget.Account
}

// Load is the load that a replica reports of itself.
type Load struct {
	Running, Waiting, Slots int
	// Pace is how long an execution takes on the replica's machine at the moment, in
	// percent of the usual time; 0: not stated.
	Pace int
}

// Reply is one complete reply of a replica.
type Reply struct {
	RequestID string // the request that it answers; "": the replica doesn't state it
	Status    int
	Receipt   string // proves which replica executed which request
	NotRun    bool   // the replica states that it did not execute the request
	// Misdirected states that another replica answers at this address. NotRun is
	// then set too.
	Misdirected bool
	Leaving     bool // the replica states that it wants no more requests and ends soon
	Load        Load
	HasLoad     bool
	Notice      upstreamlimit.Notice
	Header      []Header // to be passed on
	Body        []byte
	Close       bool          // the connection ends with this reply
	KeepAlive   time.Duration // idle time after which the replica closes; 0: unknown
}

// OK reports whether the replica executed the request successfully.
func (r *Reply) OK() bool { return !r.NotRun && r.Status >= 200 && r.Status < 300 }

// Failed reports whether the replica may have executed the request and doesn't say with what
// result. A status that promises that it did not is a failure without a proof of that.
func (r *Reply) Failed() bool {
	return !r.NotRun && (r.Status >= 500 || verdict.PromisesNotRun(r.Status))
}

// MayBePassedOn reports whether callers may get the reply: its status makes no promise that
// the replica hasn't proved.
func (r *Reply) MayBePassedOn() bool { return r.NotRun || !verdict.PromisesNotRun(r.Status) }

// Codec writes requests and reads replies.
type Codec interface {
	// AppendRequest appends the request to dst, addressed to the replica with an
	// ID, which has budget left to answer.
	AppendRequest(dst []byte, r *Request, replica string, budget time.Duration) []byte
	// ReadReply reads one complete reply while the reply to r is awaited.
	ReadReply(br *bufio.Reader, r *Request) (*Reply, error)
}

// HeadCodec is a Codec that can encode a request without its body, so that a large
// body is not copied for each attempt.
type HeadCodec interface {
	AppendHead(dst []byte, r *Request, replica string, budget time.Duration) []byte
}

// Attempt is one send of a request to one replica.
type Attempt struct {
	Request  *Request
	Deadline time.Time // the time left until then is sent to the replica as its budget
	SentAt   time.Time // set by the user of the pool; identifies the attempt among those of a part
	// Done is called when the attempt has ended, possibly from within a call of
	// the pool such as Send or Cancel. It must not block.
	Done func(a *Attempt)

	// Queue states that the attempt waits for an open connection when no further one can be
	// opened. Otherwise it ends then, so that it can be sent to another replica.
	Queue bool

	// Refuse returns why the request must not be sent any more, or nil. It is called when
	// an attempt that waited gets a connection, and must not block; nil: it may be sent.
	Refuse func() *verdict.Error

	// Reply is nil if the attempt ended without one. Err is then the reason.
	Reply *Reply
	Err   *verdict.Error
	// AssignedAt is when the attempt got a connection, on which it is written at
	// once. It is zero if the attempt ended without one.
	AssignedAt time.Time

	// Guarded by the pool's mutex:
	cancelAt time.Time // when the connection is closed; zero: never
	ended    bool
	counted  bool  // the body counts for the pool's bytes
	conn     *conn // nil while the attempt waits for a connection
}

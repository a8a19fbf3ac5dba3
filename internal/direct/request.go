package direct

import (
	"time"

	"github.com/sapphirewall/sapphirewall/internal/connpool"
	"github.com/sapphirewall/sapphirewall/internal/decide/apikey"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// Request is a caller's request.
type Request struct {
	connpool.Request
	// PassThrough is Header with the fields that name the caller's API key and team. It is
	// passed on in place of Header if the tables have no teams; nil: there are no such
	// fields.
	PassThrough []connpool.Header
	Credential  apikey.Credential
	// HandedOver is set if another VM hands the request over. Team is the team that it
	// found for the key, and Counted states that it has counted the request for the team.
	HandedOver bool
	Team       string
	Counted    bool

	Path         string        // of Target, without the query
	Budget       time.Duration // how long the caller waits for the answer; 0: not stated
	Arrived      time.Time
	Waited       time.Duration   // how long the request was unread, as far as is known
	Uncertain    time.Duration   // by how much it may have come in before Arrived
	Travel       time.Duration   // of the caller's time, on the network; 0: not known
	Disconnected <-chan struct{} // closed when the caller has disconnected
	Terminating  <-chan struct{} // closed when the process has to end
	EndsBy       time.Time       // when that is, while the process stops; zero: not known
	// Leave is closed when the VM is cut off from the replicas and another one can serve
	// the request; nil: never.
	Leave <-chan struct{}
	// MayHandOver states that another VM can be asked to serve the request if no connection
	// to a replica is free here and none can be opened. Otherwise the request waits for an
	// open connection.
	MayHandOver bool
	// MaxAttempts bounds the replicas that may execute a part, in addition to the route;
	// 0: the route alone does.
	MaxAttempts int
}

// maxUncertainShare is the most of a caller's time that may be withheld for what isn't
// known of the time that has passed.
const maxUncertainShare = 0.5

// Limit returns how long after Arrived the request may take on a route with a deadline, so
// that the caller gets the answer while it waits.
func (r *Request) Limit(deadline time.Duration) time.Duration {
	if r.Budget <= 0 {
		return deadline
	}
	uncertain := min(r.Uncertain, time.Duration(maxUncertainShare*float64(r.Budget)))
	return min(deadline, r.Budget-uncertain-budgetMargin)
}

// Answer is what the caller gets. Exactly one of Reply, Gathered, Refusal and HandOver
// is set.
type Answer struct {
	Reply    *connpool.Reply // a replica's reply, to be passed on unchanged
	Gathered *Gathered
	Refusal  *verdict.Error
	HandOver *HandOver
}

// HandOver states that another VM should serve the request, since this one is cut off
// from the replicas or has no connection for it.
type HandOver struct {
	// Unconnected states that the request got no connection. If no other VM takes it, it can
	// be served here without MayHandOver.
	Unconnected bool
	MaxAttempts int            // replicas that may still execute a part
	Counted     bool           // the request is counted for its team as one that began
	Refusal     *verdict.Error // for the caller, if no other VM can
}

// Gathered is the answer to a query over many shards.
type Gathered struct {
	Receipts []string // of the parts in Body
	Missing  int      // number of parts that are not in Body
	Body     []byte
}

package direct

import (
	"time"

	"github.com/sapphirewall/sapphirewall/internal/connpool"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// Request is a caller's request.
type Request struct {
	connpool.Request
	Path         string        // of Target, without the query
	Budget       time.Duration // how long the caller waits for the answer; 0: not stated
	Arrived      time.Time
	Disconnected <-chan struct{} // closed when the caller has disconnected
	Terminating  <-chan struct{} // closed when the process has to end
}

// Answer is what the caller gets. Exactly one of Reply, Gathered and Refusal is
// set.
type Answer struct {
	Reply    *connpool.Reply // a replica's reply, to be passed on unchanged
	Gathered *Gathered
	Refusal  *verdict.Error
}

// Gathered is the answer to a query over many shards.
type Gathered struct {
	Receipts []string // of the parts in Body
	Missing  int      // number of parts that are not in Body
	Body     []byte
}

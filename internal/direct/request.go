package direct

import (
	"time"

	"github.com/sapphirewall/sapphirewall/internal/connpool"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// Request is what a caller asks.
type Request struct {
	connpool.Request
	Path         string        // of Target, without the query
	Budget       time.Duration // how long the caller will wait; 0: it doesn't say
	Arrived      time.Time
	Disconnected <-chan struct{} // closed when the caller has left
	Terminating  <-chan struct{} // closed when the process must end
}

// Answer is what the caller gets. Exactly one of Reply, Gathered and Refusal is
// set.
type Answer struct {
	Reply    *connpool.Reply // a replica's answer, to be passed on unchanged
	Gathered *Gathered
	Refusal  *verdict.Error
}

// Gathered is the answer to a query over many shards.
type Gathered struct {
	Receipts []string // of the parts in it
	Missing  int      // parts left out
	Body     []byte
}

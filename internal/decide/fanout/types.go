package fanout

import (
	"time"

	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// Part is one shard of one pool of the request.
type Part struct {
	Pool   string
	Shard  uint32
	Lo, Hi uint32 // key range [Lo, Hi) in the pinned snapshot; Hi 0: any
}

// Chooser picks a replica for a part.
type Chooser interface {
	// Choose returns a replica for the part that is not among tried, or false.
	Choose(part int, tried []string) (string, bool)
	// HasCapacity reports whether the replica can take a hedge of the part without
	// making fresh requests wait.
	HasCapacity(part int, replica string) bool
	// Probing reports whether the replica was left out as a straggler and gets
	// work to show its speed, so that its answer is likely to be late.
	Probing(part int, replica string) bool
}

// Hedger says when a late part is asked a second time.
type Hedger interface {
	// Delay is the time after which a part of the pool counts as late, or
	// false when nothing is known yet.
	Delay(pool string) (time.Duration, bool)
	// Allow takes one hedge from the budget of extra load.
	Allow(now time.Time, pool string) bool
}

// Retrier is the budget of retries.
type Retrier interface {
	// Allow takes one retry from the budget.
	Allow(now time.Time, pool string) bool
}

// Restarter says whether a request can begin anew.
type Restarter interface {
	// CanRestart reports whether a newer snapshot covers the request and the
	// time left allows to read it.
	CanRestart(now time.Time) bool
}

// Config describes one request.
type Config struct {
	RequestID  string
	Parts      []Part
	Snapshot   uint64 // 0: any snapshot, for requests of a single part
	Deadline   time.Time
	Idempotent bool
	// MinCovered is the number of parts without which the request is refused;
	// once it can't be reached, the rest is given up at once.
	MinCovered int
	Chooser    Chooser
	Hedger     Hedger  // nil: no hedges
	Retrier    Retrier // nil: retries are bounded by maxAttempts alone
	// Restarter is asked when the snapshot has left beneath a part; nil: the
	// request goes on without the part.
	Restarter Restarter
	// PriorVerdict is the verdict on what was sent before the request began anew.
	PriorVerdict *verdict.Error
}

// Kind tells actions apart.
type Kind uint8

// The actions.
const (
	// Send asks for a part at Replica, as attempt Attempt.
	Send Kind = iota + 1
	// Cancel gives an attempt up.
	Cancel
)

// Action is what the caller of the machine must do.
type Action struct {
	Kind    Kind
	Part    int
	Attempt uint32
	Replica string
	Hedge   bool
}

// Reply is what came back for an attempt. Part and Attempt say which attempt
// the caller of the machine had sent; the other fields are what the reply says.
type Reply struct {
	Part    int
	Attempt uint32

	Verdict     *verdict.Error // nil on success
	RequestID   string
	EchoAttempt uint32
	Snapshot    uint64
	Lo, Hi      uint32
	Payload     []byte
}

// Outcome is how one part ended.
type Outcome struct {
	Covered  bool
	Payload  []byte
	Snapshot uint64
	Verdict  *verdict.Error // why it is missing
	Winner   string         // replica whose reply was merged
}

// Counts are sums over one request, for metrics.
type Counts struct {
	Sent    int
	Hedges  int
	Retries int
	Dropped int // replies that were late, crossed or from another snapshot
}

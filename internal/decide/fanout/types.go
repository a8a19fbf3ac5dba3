package fanout

import (
	"time"

	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// Part is the share of the request that goes to one shard of one pool.
type Part struct {
	Pool   string
	Shard  uint32
	Lo, Hi uint32 // key range [Lo, Hi) in the pinned snapshot; Hi 0: any
}

// Chooser picks a replica for a part.
type Chooser interface {
	// Choose returns a replica for the part that is not among tried, or false.
	Choose(part int, tried []string) (string, bool)
	// HasCapacity reports whether the replica can execute a hedge of the part
	// without making new requests wait.
	HasCapacity(part int, replica string) bool
	// Probing reports whether the replica was ejected for being slow and gets
	// requests as probes of its speed, so that its reply is likely to be late.
	Probing(part int, replica string) bool
}

// Hedger decides when a late part is hedged.
type Hedger interface {
	// Delay returns the time after which a part of the pool is late, or false
	// while there are no observations.
	Delay(pool string) (time.Duration, bool)
	// Allow takes one hedge from the budget for extra attempts, if there is one left.
	Allow(now time.Time, pool string) bool
}

// Retrier is the budget of retries.
type Retrier interface {
	// Allow takes one retry from the budget, if there is one left.
	Allow(now time.Time, pool string) bool
}

// Restarter decides whether a request can be restarted on a newer snapshot.
type Restarter interface {
	// CanRestart reports whether a newer snapshot covers the request and there
	// is enough time left to query it.
	CanRestart(now time.Time) bool
}

// Config describes one request.
type Config struct {
	RequestID  string
	Parts      []Part
	Snapshot   uint64 // 0: any snapshot, for requests of a single part
	Deadline   time.Time
	Idempotent bool
	// MinCovered is the number of covered parts below which the request is
	// refused; once it can't be reached, the open parts are abandoned.
	MinCovered int
	Chooser    Chooser
	Hedger     Hedger  // nil: no hedges
	Retrier    Retrier // nil: retries are bounded by maxAttempts alone
	// Restarter decides what happens when no replica of a part has the pinned
	// snapshot any more; nil: the request goes on without the part.
	Restarter Restarter
	// PriorVerdict is the verdict on the attempts before a restart.
	PriorVerdict *verdict.Error
}

// Kind is the kind of an action.
type Kind uint8

// The kinds of actions.
const (
	// Send sends a part to Replica, as attempt Attempt.
	Send Kind = iota + 1
	// Cancel cancels attempt Attempt, which is in flight at Replica.
	Cancel
)

// Action is a step for the user of the machine to carry out.
type Action struct {
	Kind    Kind
	Part    int
	Attempt uint32
	Replica string
	Hedge   bool
}

// Reply is the result of an attempt. Part and Attempt identify the attempt that
// was sent; the other fields are copied from the reply.
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

// Outcome is the result of one part.
type Outcome struct {
	Covered  bool
	Payload  []byte
	Snapshot uint64
	Verdict  *verdict.Error // why the part is not covered
	Winner   string         // replica whose reply was merged
}

// Counts are sums over one request, for metrics.
type Counts struct {
	Sent    int
	Hedges  int
	Retries int
	Dropped int // replies that were late, for another attempt or range, or from another snapshot
}

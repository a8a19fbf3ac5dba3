package retry

import "time"

// The constants of a budget.
const (
	// Share is how many retries each fresh sub-request allows.
	Share = 0.1
	// burst bounds the retries saved up.
	burst = 30.0
	// refill is the number of retries per second that a pool with few requests
	// is allowed beside its share.
	refill = 2.0
)

// Budget bounds the retries of one pool. Each entry process keeps its own;
// since all of them keep the same share, the fleet does too. It is not safe for
// concurrent use.
type Budget struct {
	tokens float64
	last   time.Time
}

// NewBudget returns a budget with a full burst.
func NewBudget(now time.Time) *Budget { return &Budget{tokens: burst, last: now} }

// Fresh counts n first sub-requests.
func (b *Budget) CountFirst(n int) { b.tokens = min(burst, b.tokens+Share*float64(n)) }

// Allow takes one retry, or returns false when the budget is used up.
func (b *Budget) Allow(now time.Time) bool {
	if d := now.Sub(b.last); d > 0 {
		b.tokens = min(burst, b.tokens+refill*d.Seconds())
		b.last = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

package retry

import "time"

const (
	// Share is the number of retries that each first attempt allows.
	Share = 0.1
	// burst is the number of unused retries that can accumulate.
	burst = 30.0
	// refill is the number of retries per second allowed in addition to the
	// share, for pools with few requests.
	refill = 2.0
)

// Budget limits the retries of one pool. Each entry process has its own; since
// all of them stay within the same share, so does the fleet. It is not safe for
// concurrent use.
type Budget struct {
	tokens float64
	last   time.Time
}

// NewBudget returns a budget with a full burst.
func NewBudget(now time.Time) *Budget { return &Budget{tokens: burst, last: now} }

// CountFirst counts n first attempts.
func (b *Budget) CountFirst(n int) { b.tokens = min(burst, b.tokens+Share*float64(n)) }

// Allow reports whether a retry may be sent now, and if so deducts it from the
// budget.
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

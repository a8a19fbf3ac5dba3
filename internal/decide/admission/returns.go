package admission

import (
	"math/rand/v2"
	"time"
)

const (
	// minRetryAfter is the shortest delay advised with a refusal.
	minRetryAfter = 100 * time.Millisecond
	// minSpread and maxSpread bound the time over which refused callers return.
	minSpread = time.Second
	maxSpread = 4 * time.Second
	// calmTime is the time without refusals after which a shortage is over.
	calmTime = 2 * time.Second
)

// returns computes the delays advised to refused callers.
type returns struct {
	since, last time.Time // first and last refusal of the present shortage
}

// retryAfter returns the delay for a request refused now, where wait is the expected wait
// for free capacity. A shortage is expected to last as long as it has lasted so far, and
// the callers' return is spread evenly over that time.
func (r *returns) retryAfter(now time.Time, wait time.Duration, rng *rand.Rand) time.Duration {
	if now.Sub(r.last) > calmTime {
		r.since = now
	}
	r.last = now
	spread := min(max(now.Sub(r.since), minSpread), maxSpread)
	return min(max(wait, minRetryAfter), maxSpread) + time.Duration(rng.Float64()*float64(spread))
}

// Package quantile estimates a quantile of a changing latency distribution, in
// constant memory and without storing samples.
package quantile

import "time"

const (
	// minSamples is the number of latencies needed for a usable estimate.
	minSamples = 50
	// initialStep and steadyStep bound the relative change of the estimate by
	// one latency, for the first minSamples and afterwards.
	initialStep = 0.2
	steadyStep  = 0.02
)

// Tracker estimates one quantile. It is not safe for concurrent use.
type Tracker struct {
	quantile float64 // 0 to 1
	floor    float64 // nanoseconds
	estimate float64 // nanoseconds
	samples  int     // at most minSamples
}

// New returns a tracker of the given quantile, between 0 and 1. Its estimate is
// never below floor.
func New(quantile float64, floor time.Duration) *Tracker {
	return &Tracker{quantile: quantile, floor: float64(floor)}
}

// Observe records one latency. For one that is only known to be longer, pass the
// time elapsed: the estimate depends only on whether a latency lies above it.
func (t *Tracker) Observe(latency time.Duration) {
	x := float64(latency)
	if t.samples == 0 {
		t.estimate = max(x, t.floor)
	}
	step := steadyStep
	if t.samples < minSamples {
		t.samples++
		step = initialStep
	}
	if x > t.estimate {
		t.estimate *= 1 + step*t.quantile
		return
	}
	t.estimate = max(t.estimate*(1-step*(1-t.quantile)), t.floor)
}

// Value returns the estimate, and false until minSamples latencies are recorded.
func (t *Tracker) Value() (time.Duration, bool) {
	return time.Duration(t.estimate), t.samples >= minSamples
}

// Package quantile follows a quantile of latencies that change, in constant
// memory and without keeping samples.
package quantile

import "time"

// The constants of a tracker.
const (
	// learnCount is the number of latencies before the value can be used.
	learnCount = 50
	// learnStep and steadyStep are the relative changes by one latency, while
	// the value is being learned and afterwards.
	learnStep  = 0.2
	steadyStep = 0.02
)

// Tracker follows one quantile. It is not safe for concurrent use.
type Tracker struct {
	quantile float64 // 0 to 1
	least    float64 // nanoseconds
	value    float64 // nanoseconds
	seen     int     // up to learnCount
}

// New returns a tracker of a quantile of 0 to 1, whose value is never below
// least.
func New(quantile float64, least time.Duration) *Tracker {
	return &Tracker{quantile: quantile, least: float64(least)}
}

// Observe takes one latency. For one that is only known to be longer, pass the
// time so far: no more is needed than on which side of the value it lies.
func (t *Tracker) Observe(latency time.Duration) {
	x := float64(latency)
	if t.seen == 0 {
		t.value = max(x, t.least)
	}
	step := steadyStep
	if t.seen < learnCount {
		t.seen++
		step = learnStep
	}
	if x > t.value {
		t.value *= 1 + step*t.quantile
		return
	}
	t.value = max(t.value*(1-step*(1-t.quantile)), t.least)
}

// Value returns the quantile; false while too few latencies have been seen.
func (t *Tracker) Value() (time.Duration, bool) {
	return time.Duration(t.value), t.seen >= learnCount
}

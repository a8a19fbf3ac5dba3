// Package lag bounds how long something may have waited for a process that had no
// processor time, by ticks that the process should handle at an interval.
package lag

import "time"

const (
	// ordinaryLag is how late ticks are handled on a busy machine.
	ordinaryLag = 20 * time.Millisecond
	// backlogTime is how long after a lag the process still handles what has waited
	// meanwhile.
	backlogTime = 50 * time.Millisecond
)

// Tracker follows the ticks. It is not safe for concurrent use.
type Tracker struct {
	interval time.Duration
	last     time.Time     // last tick; zero: none yet
	wait     time.Duration // longest possible wait at the end of the last lag
	end      time.Time     // of the last lag
}

// New returns a tracker of ticks at an interval.
func New(interval time.Duration) *Tracker { return &Tracker{interval: interval} }

// Tick records that a tick is handled.
func (t *Tracker) Tick(now time.Time) {
	if gap := now.Sub(t.last); !t.last.IsZero() && gap > t.interval+ordinaryLag {
		t.wait, t.end = gap, now
	}
	t.last = now
}

// Wait returns how long something that is handled now may have waited.
func (t *Tracker) Wait(now time.Time) time.Duration {
	switch gap := now.Sub(t.last); {
	case t.last.IsZero():
		return 0
	case gap > t.interval+ordinaryLag:
		return gap
	case now.Sub(t.end) < backlogTime:
		return t.wait
	}
	return 0
}

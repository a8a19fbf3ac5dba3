package retry

import "time"

const (
	// minPause is the time without a sign of the process after which it is taken to
	// have been paused. Run must be called several times in it.
	minPause = 500 * time.Millisecond
	// backlogTime is how long after a pause requests are read that waited for it to
	// end.
	backlogTime = 500 * time.Millisecond
)

// Backlog tells which requests waited while the process was paused, by a signal or
// with its VM. It is not safe for concurrent use.
type Backlog struct {
	lastRun   time.Time
	pausedAt  time.Time // begin of the last pause
	resumedAt time.Time // end of the last pause; zero: there was none
}

// Run records that the process runs now. It returns how long it was paused before; 0:
// it wasn't.
func (b *Backlog) Run(now time.Time) time.Duration {
	if b.lastRun.IsZero() {
		b.lastRun = now
	}
	// The monotonic clock stops while the VM is suspended, the wall clock goes on.
	gap := max(now.Sub(b.lastRun), now.Round(0).Sub(b.lastRun.Round(0)))
	if now.After(b.lastRun) {
		b.lastRun = now
	}
	if gap <= minPause {
		return 0
	}
	b.pausedAt, b.resumedAt = now.Add(-gap), now
	return gap
}

// PausedSince reports whether a pause ended after a time.
func (b *Backlog) PausedSince(t time.Time) bool { return b.resumedAt.After(t) }

// SentSince returns the earliest time at which a request that is read now may have been
// sent: the begin of a pause that has just ended, or else now. Run must have been called
// with now.
func (b *Backlog) SentSince(now time.Time) time.Time {
	if !b.resumedAt.IsZero() && now.Sub(b.resumedAt) < backlogTime {
		return b.pausedAt
	}
	return now
}

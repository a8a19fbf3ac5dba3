package reach

import "time"

const (
	// minPatience is the least time in which an answer is due: longer than the pauses
	// that replicas take.
	minPatience = 400 * time.Millisecond
	// patienceFactor is the time in which an answer is due, as a multiple of the
	// typical latency.
	patienceFactor = 4
)

// Path is what a VM has seen of the way to one replica. It is not safe for concurrent
// use.
type Path struct {
	heardAt     time.Time // last answer, or connection that was opened
	sentAt      time.Time // last attempt
	failedSent  time.Time // when the last attempt that failed was sent
	dueAt       time.Time // when an answer is due; zero: none is
	outstanding int       // attempts without an answer
}

// Sent records that an attempt with a typical latency is sent.
func (p *Path) Sent(now time.Time, typical time.Duration) {
	p.sentAt = now
	p.outstanding++
	if p.dueAt.IsZero() {
		p.dueAt = now.Add(max(minPatience, patienceFactor*typical))
	}
}

// Answered records the end of an attempt with an answer, whatever that says.
func (p *Path) Answered(now time.Time) {
	p.ended()
	p.Heard(now)
}

// Heard records a sign of the replica.
func (p *Path) Heard(now time.Time) {
	p.heardAt = now
	p.dueAt = time.Time{}
	if p.outstanding > 0 {
		p.dueAt = now.Add(minPatience)
	}
}

// Failed records the end of an attempt that was sent at sentAt, without an answer: its
// connection was lost or silent, or could not be opened.
func (p *Path) Failed(sentAt time.Time) {
	p.ended()
	if sentAt.After(p.failedSent) {
		p.failedSent = sentAt
	}
}

// Cancelled records the end of an attempt that shows nothing.
func (p *Path) Cancelled() { p.ended() }

func (p *Path) ended() {
	if p.outstanding--; p.outstanding == 0 {
		p.dueAt = time.Time{}
	}
}

// troubled reports whether an attempt that was sent after a time has failed or is
// overdue.
func (p *Path) troubled(now, since time.Time) bool {
	overdue := !p.dueAt.IsZero() && !now.Before(p.dueAt) && p.sentAt.After(since)
	return overdue || p.failedSent.After(since)
}

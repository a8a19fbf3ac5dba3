package limit

import "time"

const (
	// MaxWaitersPerSlot bounds the queue.
	MaxWaitersPerSlot = 16
	// maxWaitShare is the part of a request's budget that it may wait; the
	// rest is for its run, or for another replica.
	maxWaitShare = 0.5
	// serviceWeight is the weight of one run in the learned service time.
	serviceWeight = 1.0 / 16
	// minRetryAfter and maxRetryAfter bound the advice to come back.
	minRetryAfter = 10 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Action says what becomes of a request.
type Action uint8

// The actions.
const (
	Admit Action = iota + 1
	Wait
	Refuse
)

// Decision is the answer to an arrival.
type Decision struct {
	Action     Action
	MaxWait    time.Duration // Wait: refuse it after this time
	RetryAfter time.Duration // Refuse: advice to come back
}

// Limiter counts the requests of one replica. It is not safe for concurrent
// use. A limit of 0 lets nothing in.
type Limiter struct {
	limit    int
	inFlight int
	waiting  int
	service  float64 // nanoseconds; smoothed time of one run
}

// New returns a limiter with nothing in flight.
func New(limit int) *Limiter { return &Limiter{limit: limit} }

// SetLimit changes the limit; Next tells whether waiters can go.
func (l *Limiter) SetLimit(n int) { l.limit = n }

// Counts returns the limit and the requests in flight and waiting.
func (l *Limiter) Counts() (limit, inFlight, waiting int) { return l.limit, l.inFlight, l.waiting }

// Full reports whether every slot is taken.
func (l *Limiter) Full() bool { return l.inFlight >= l.limit }

// Arrive decides on a request that must be answered within budget.
func (l *Limiter) Arrive(budget time.Duration) Decision {
	if l.inFlight < l.limit && l.waiting == 0 {
		l.inFlight++
		return Decision{Action: Admit}
	}
	wait := l.expectedWait()
	patience := l.patience(budget)
	if l.waiting >= max(l.limit, 1)*MaxWaitersPerSlot || wait > patience || patience <= 0 {
		return Decision{Action: Refuse, RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter)}
	}
	l.waiting++
	return Decision{Action: Wait, MaxWait: patience}
}

// expectedWait is the time until a new waiter's turn.
func (l *Limiter) expectedWait() time.Duration {
	return time.Duration(l.service * float64(l.waiting+1) / float64(max(l.limit, 1)))
}

// patience is how long a request may wait and still be served in its budget.
func (l *Limiter) patience(budget time.Duration) time.Duration {
	return min(time.Duration(maxWaitShare*float64(budget)), budget-time.Duration(l.service))
}

// Next gives a free slot to the first waiter, if there are both.
func (l *Limiter) Next() bool {
	if l.waiting == 0 || l.inFlight >= l.limit {
		return false
	}
	l.waiting--
	l.inFlight++
	return true
}

// CancelWait takes one waiter out.
func (l *Limiter) CancelWait() { l.waiting-- }

// Done gives a slot back. served is the time of the run, or 0 if it says
// nothing about the replica's speed.
func (l *Limiter) Done(served time.Duration) {
	l.inFlight--
	switch {
	case served <= 0:
	case l.service == 0:
		l.service = float64(served)
	default:
		l.service += (float64(served) - l.service) * serviceWeight
	}
}

package limit

import "time"

const (
	// MaxWaitersPerSlot bounds the queue, as a multiple of the limit.
	MaxWaitersPerSlot = 16
	// maxWaitShare is the share of its budget that an attempt may wait. The rest
	// is left for its execution, or for an attempt to another replica.
	maxWaitShare = 0.5
	// serviceTimeWeight is the weight of one execution in the average service
	// time.
	serviceTimeWeight = 1.0 / 16
	// minRetryAfter and maxRetryAfter bound the delay advised with a rejection.
	minRetryAfter = 10 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Action is what happens to an attempt.
type Action uint8

// The actions.
const (
	Admit Action = iota + 1
	Wait
	Reject
)

// Decision is the outcome for an arriving attempt.
type Decision struct {
	Action     Action
	MaxWait    time.Duration // Wait: reject the attempt after this time
	RetryAfter time.Duration // Reject: delay to advise to the sender
}

// Limiter counts the attempts to one replica. It is not safe for concurrent use.
// A limit of 0 admits nothing.
type Limiter struct {
	limit       int
	inFlight    int
	waiting     int
	serviceTime float64 // nanoseconds; moving average of execution times
}

// New returns a limiter with nothing in flight.
func New(limit int) *Limiter { return &Limiter{limit: limit} }

// SetLimit changes the limit. Call Next to admit waiting attempts that now fit.
func (l *Limiter) SetLimit(n int) { l.limit = n }

// Counts returns the limit and the numbers of attempts in flight and waiting.
func (l *Limiter) Counts() (limit, inFlight, waiting int) { return l.limit, l.inFlight, l.waiting }

// Full reports whether as many attempts are in flight as the limit allows.
func (l *Limiter) Full() bool { return l.inFlight >= l.limit }

// Arrive decides on an attempt that must be answered within budget.
func (l *Limiter) Arrive(budget time.Duration) Decision {
	if l.inFlight < l.limit && l.waiting == 0 {
		l.inFlight++
		return Decision{Action: Admit}
	}
	wait := l.expectedWait()
	maxWait := l.maxWait(budget)
	if l.waiting >= max(l.limit, 1)*MaxWaitersPerSlot || wait > maxWait || maxWait <= 0 {
		return Decision{Action: Reject, RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter)}
	}
	l.waiting++
	return Decision{Action: Wait, MaxWait: maxWait}
}

// expectedWait estimates how long an attempt that arrives now waits for a slot.
func (l *Limiter) expectedWait() time.Duration {
	return time.Duration(l.serviceTime * float64(l.waiting+1) / float64(max(l.limit, 1)))
}

// maxWait is how long an attempt may wait and still be executed within its
// budget.
func (l *Limiter) maxWait(budget time.Duration) time.Duration {
	return min(time.Duration(maxWaitShare*float64(budget)), budget-time.Duration(l.serviceTime))
}

// Next moves the oldest waiting attempt to a free slot. It returns false if none
// waits or no slot is free.
func (l *Limiter) Next() bool {
	if l.waiting == 0 || l.inFlight >= l.limit {
		return false
	}
	l.waiting--
	l.inFlight++
	return true
}

// CancelWait removes one waiting attempt.
func (l *Limiter) CancelWait() { l.waiting-- }

// Done frees a slot. executed is the execution time, or 0 if it shows nothing
// about the replica's speed.
func (l *Limiter) Done(executed time.Duration) {
	l.inFlight--
	switch {
	case executed <= 0:
	case l.serviceTime == 0:
		l.serviceTime = float64(executed)
	default:
		l.serviceTime += (float64(executed) - l.serviceTime) * serviceTimeWeight
	}
}

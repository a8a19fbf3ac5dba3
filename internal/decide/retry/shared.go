package retry

import "time"

const (
	// Window is the time over which extra attempts are limited by first attempts.
	Window = 10 * time.Second
	// steps is the number of steps in which the window slides.
	steps = 20
	// extraSteps is the number of steps for which extra attempts are counted: those of
	// a window that begins within a step.
	extraSteps = steps + 1
	// retryShare is the share of the budget that is reserved for retries: a failed part can
	// only be received by a retry, while a late one may still arrive. A budget below
	// minReserving reserves nothing: the reserve would be a whole attempt of the few.
	retryShare   = 0.1
	minReserving = 4.0
	// rejectingShare is the share that is reserved for retries for a window after a
	// replica of the pool has rejected an attempt. With a tenth, one query in six failed
	// at one of 81 VMs when 8 in 100 attempts were rejected and many others late.
	rejectingShare = 0.5
)

// SharedBudget limits the extra attempts of one pool in each window to a share of
// this VM's first attempts in it plus a part of the fleet-wide slack. The limits
// of all VMs add up to the fleet-wide limit, whichever VMs fail or can't reach
// each other.
//
// The limit holds for the attempts that reach the pool's upstreams, which may be
// long after they were sent: an attempt waits for a connection, or in the kernel of
// an upstream that is paused. So an extra attempt is charged from the time at which
// it is sent until a window has passed since it was settled, that is, known to have
// arrived or to arrive never.
//
// It is not safe for concurrent use.
type SharedBudget struct {
	limits Limits
	// steadyFrom is the time from which Limits.Steady applies.
	steadyFrom time.Time
	first      [steps]int
	extra      [extraSteps]int // by the step in which they were settled
	sums       [2]int          // totals of first and extra
	unsettled  int             // extra attempts
	// rejectingUntil is the time until which rejectingShare applies.
	rejectingUntil time.Time
	givenUp        abandoned
	begin          time.Time
	step           int64 // number of the current step, counted from begin
}

// Limit is the extra attempts that one VM may send.
type Limit struct {
	Share float64 // for each first attempt
	Slack float64 // in addition in each window
}

// Limits are the limits of a process. In its first window the predecessor on the same
// VM may just have used all of Steady, so Start is what fits beside it.
type Limits struct {
	Start, Steady Limit
}

// NewSharedBudget returns a budget for a process that started at a time.
func NewSharedBudget(limits Limits, started time.Time) *SharedBudget {
	return &SharedBudget{limits: limits, steadyFrom: started.Add(Window)}
}

// SetLimits changes the limits, also for the present window.
func (s *SharedBudget) SetLimits(limits Limits) { s.limits = limits }

// CountFirst counts a first attempt, for a request that was sent at a time.
func (s *SharedBudget) CountFirst(now, sent time.Time) {
	s.slide(now)
	back := int64(now.Sub(sent) / (Window / steps))
	if back >= steps {
		return
	}
	s.first[(s.step-back+steps)%steps]++
	s.sums[0]++
}

// AllowRetry reports whether a failed part may be retried now, and if so deducts
// the retry from the budget.
func (s *SharedBudget) AllowRetry(now time.Time) bool { return s.deduct(now, 0) }

// ObserveRejection records that a replica of the pool has rejected an attempt, of this VM
// or another one. Such a part can only be received by a retry.
func (s *SharedBudget) ObserveRejection(now time.Time) { s.rejectingUntil = now.Add(Window) }

// Left returns the share of the budget that is left.
func (s *SharedBudget) Left(now time.Time) float64 {
	used, allowed := s.Used(now)
	if allowed <= 0 {
		return 0
	}
	return max(0, 1-float64(used)/allowed)
}

// AllowHedge reports whether a late part may be hedged now, and if so deducts the
// hedge from the budget.
func (s *SharedBudget) AllowHedge(now time.Time) bool {
	s.slide(now)
	reserve := 0.0
	switch allowed := s.allowed(now); {
	case now.Before(s.rejectingUntil):
		reserve = rejectingShare * allowed
	case allowed >= minReserving:
		reserve = retryShare * allowed
	}
	return s.deduct(now, reserve)
}

// Used returns the number of extra attempts that are charged, and the number allowed.
func (s *SharedBudget) Used(now time.Time) (used int, allowed float64) {
	s.slide(now)
	return s.used(), s.allowed(now)
}

func (s *SharedBudget) used() int { return s.sums[1] + s.unsettled }

// Unsettled returns the number of extra attempts that may still arrive.
func (s *SharedBudget) Unsettled() int { return s.unsettled }

// Part is the attempts of one request at one part.
type Part struct {
	settled bool // one attempt is
}

// Settle records that an attempt at a part is known to have arrived, or to arrive
// never. The first of a part's attempts to be settled is the one that isn't extra.
func (s *SharedBudget) Settle(now time.Time, p *Part) {
	s.slide(now)
	s.settle(p)
}

// settle is Settle in the current step.
func (s *SharedBudget) settle(p *Part) {
	if !p.settled {
		p.settled = true
		return
	}
	s.unsettled--
	s.extra[s.step%extraSteps]++
	s.sums[1]++
}

// Abandon records that an attempt at a part was given up after it was written to a
// connection. The upstream may still receive it when it resumes.
func (s *SharedBudget) Abandon(now time.Time, upstream string, p *Part) {
	s.slide(now)
	s.givenUp.add(now, upstream, p)
}

// Answered records that an upstream has answered an attempt that was written to a
// connection at a time. What it was sent before has arrived.
func (s *SharedBudget) Answered(now time.Time, upstream string, writtenAt time.Time) {
	s.slide(now)
	for _, p := range s.givenUp.takeBefore(upstream, writtenAt) {
		s.settle(p)
	}
}

// allowed returns the number of extra attempts allowed in the window.
func (s *SharedBudget) allowed(now time.Time) float64 {
	limit := s.limits.Steady
	if now.Before(s.steadyFrom) {
		limit = s.limits.Start
	}
	return limit.Share*float64(s.sums[0]) + limit.Slack
}

// deduct deducts one extra attempt if the budget has room for it beside a reserve.
func (s *SharedBudget) deduct(now time.Time, reserve float64) bool {
	s.slide(now)
	if float64(s.used()+1) > s.allowed(now)-reserve {
		return false
	}
	s.unsettled++
	return true
}

// slide removes the counts that are older than the window, and settles what was given
// up longer than maxPause ago.
func (s *SharedBudget) slide(now time.Time) {
	if s.begin.IsZero() {
		s.begin = now
	}
	// Sub uses the monotonic clock; the wall clock may jump by more than the window.
	step := int64(now.Sub(s.begin) / (Window / steps))
	for n := min(step-s.step, extraSteps); n > 0; n-- {
		s.step++
		i, j := s.step%steps, s.step%extraSteps
		s.sums[0] -= s.first[i]
		s.sums[1] -= s.extra[j]
		s.first[i], s.extra[j] = 0, 0
	}
	s.step = max(s.step, step)
	for _, p := range s.givenUp.takeExpired(now) {
		s.settle(p)
	}
}

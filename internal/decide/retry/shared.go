package retry

import "time"

// The constants of a shared budget.
const (
	// Window is the time over which extra sends are compared with first ones.
	Window = 10 * time.Second
	// slots is the number of steps in which the window slides.
	slots = 20
	// hedgeShare is the part of a budget that hedges may use up: a part that has
	// failed can be had in no other way, a late one may still come.
	hedgeShare = 0.9
)

// SharedBudget bounds the extra sends of one pool in each window by a share of this
// VM's first sends in it and a part of the fleet's slack. The shares and slacks
// of all VMs add up to the bound of the fleet, whichever VMs vanish or can't see
// each other. It is not safe for concurrent use.
type SharedBudget struct {
	share float64
	slack float64
	// slackFrom is when there is a slack.
	slackFrom time.Time
	first     [slots]int
	extra     [slots]int
	sums      [2]int // of first and extra
	begin     time.Time
	step      int64 // the newest slot's number, from begin
}

// NewSharedBudget returns a budget of a process that has begun at a time. share is the
// number of extra sends that a first send allows, slack the number allowed beside
// in each window. In the first window of the process there is no slack: the
// process before it on the same VM may have used it.
func NewSharedBudget(share, slack float64, begun time.Time) *SharedBudget {
	return &SharedBudget{share: share, slack: slack, slackFrom: begun.Add(Window)}
}

// SetSlack changes the slack.
func (s *SharedBudget) SetSlack(slack float64) { s.slack = slack }

// CountFirst counts a first send.
func (s *SharedBudget) CountFirst(now time.Time) {
	s.slide(now)
	s.first[s.step%slots]++
	s.sums[0]++
}

// AllowRetry takes one extra send for a part that has failed.
func (s *SharedBudget) AllowRetry(now time.Time) bool { return s.take(now, 1) }

// AllowHedge takes one extra send for a part that is late.
func (s *SharedBudget) AllowHedge(now time.Time) bool { return s.take(now, hedgeShare) }

// Used returns the extra sends of the window and how many it allows now.
func (s *SharedBudget) Used(now time.Time) (used int, allowed float64) {
	s.slide(now)
	return s.sums[1], s.allowed(now)
}

// allowed is the number of extra sends that the window allows.
func (s *SharedBudget) allowed(now time.Time) float64 {
	allowed := s.share * float64(s.sums[0])
	if !now.Before(s.slackFrom) {
		allowed += s.slack
	}
	return allowed
}

// take takes one extra send if it keeps within a part of the budget.
func (s *SharedBudget) take(now time.Time, part float64) bool {
	s.slide(now)
	if float64(s.sums[1]+1) > part*s.allowed(now) {
		return false
	}
	s.extra[s.step%slots]++
	s.sums[1]++
	return true
}

// slide forgets what is older than the window.
func (s *SharedBudget) slide(now time.Time) {
	if s.begin.IsZero() {
		s.begin = now
	}
	// The difference of two readings follows the steady clock: the time of day
	// may jump by more than the window.
	step := int64(now.Sub(s.begin) / (Window / slots))
	for n := min(step-s.step, slots); n > 0; n-- {
		s.step++
		i := s.step % slots
		s.sums[0] -= s.first[i]
		s.sums[1] -= s.extra[i]
		s.first[i], s.extra[i] = 0, 0
	}
	s.step = max(s.step, step)
}

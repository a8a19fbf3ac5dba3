package retry

// Shared bounds the extra sends of one pool by a share of this VM's first sends
// and a small burst. The shares and bursts of all VMs add up to the bound of
// the fleet, whichever VMs vanish or can't see each other. It is not safe for
// concurrent use.
type Shared struct {
	share  float64
	burst  float64
	tokens float64
}

// hedgeReserve is what hedges leave for retries: a part that has failed can be
// had in no other way, a late one may still come.
const hedgeReserve = 1

// NewShared returns a full budget. share is the number of extra sends that a
// first send allows, burst the number that can be saved up.
func NewShared(share, burst float64) *Shared {
	return &Shared{share: share, burst: burst, tokens: burst}
}

// Fresh counts a first send.
func (s *Shared) Fresh() { s.tokens = min(s.burst, s.tokens+s.share) }

// TakeRetry takes one extra send for a part that has failed.
func (s *Shared) TakeRetry() bool { return s.take(1) }

// TakeHedge takes one extra send for a part that is late.
func (s *Shared) TakeHedge() bool { return s.take(1 + hedgeReserve) }

// Return gives back an extra send that did not reach a replica.
func (s *Shared) Return() { s.tokens = min(s.burst, s.tokens+1) }

func (s *Shared) take(least float64) bool {
	if s.tokens < least {
		return false
	}
	s.tokens--
	return true
}

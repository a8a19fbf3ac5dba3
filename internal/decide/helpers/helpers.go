// Package helpers chooses the VMs that serve the requests of one that is cut off from
// replicas: those that say that they reach the replicas, near ones and idle ones first.
package helpers

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// AskInterval is the time between two questions to the same VM.
	AskInterval = 500 * time.Millisecond
	// freshFor is how long the answer of a VM holds.
	freshFor = 1500 * time.Millisecond
	// maxAsked bounds the VMs that are asked at a time.
	maxAsked = 8
	// forgetAfter is the time without an answer after which another VM is asked
	// instead.
	forgetAfter = 1200 * time.Millisecond
	// distanceCost is the cost of a step in distance, in requests in flight: bytes
	// between zones and regions have a price, and queues cost more.
	distanceCost = 3.0
	// failureHold is the time for which a VM that failed to serve is not chosen.
	failureHold = time.Second
)

// Candidate is a VM that may help. Distance is 0 in the same zone, 1 in the same region
// and 2 elsewhere.
type Candidate struct {
	Name, Addr string
	Distance   int
}

// Word is what a VM says of itself.
type Word struct {
	CutOff    bool // it can't help
	LostPools map[string]bool
	Busy      int // requests that it serves for other VMs
	RoundTrip time.Duration
}

// helper is a VM that is asked.
type helper struct {
	Candidate
	word       Word
	askedAt    time.Time
	heardAt    time.Time // of word
	failedAt   time.Time
	inFlight   int // requests of this VM
	firstAsked time.Time
}

// Set is the VMs that one VM asks for help. It is not safe for concurrent use.
type Set struct {
	rng        *rand.Rand
	candidates []Candidate
	helpers    []*helper // that are asked, at most maxAsked
}

// New returns a set without VMs.
func New(rng *rand.Rand) *Set { return &Set{rng: rng} }

// SetCandidates sets the VMs that may help.
func (s *Set) SetCandidates(all []Candidate) {
	s.candidates = all
	known := make(map[string]Candidate, len(all))
	for _, c := range all {
		known[c.Name] = c
	}
	s.helpers = slices.DeleteFunc(s.helpers, func(h *helper) bool { return known[h.Name].Addr != h.Addr })
	for _, h := range s.helpers {
		h.Candidate = known[h.Name]
	}
}

// find returns a VM that is asked, or nil.
func (s *Set) find(name string) *helper {
	for _, h := range s.helpers {
		if h.Name == name {
			return h
		}
	}
	return nil
}

// Ask returns the VMs that are to be asked now. Those that don't answer or can't help
// give way to others.
func (s *Set) Ask(now time.Time) []Candidate {
	s.helpers = slices.DeleteFunc(s.helpers, func(h *helper) bool {
		silent := now.Sub(h.firstAsked) > forgetAfter && now.Sub(h.heardAt) > forgetAfter
		return (silent || h.word.CutOff) && len(s.candidates) > maxAsked && h.inFlight == 0
	})
	for _, i := range s.rng.Perm(len(s.candidates)) {
		if len(s.helpers) >= maxAsked {
			break
		}
		c := s.candidates[i]
		if s.find(c.Name) == nil {
			s.helpers = append(s.helpers, &helper{Candidate: c, firstAsked: now})
		}
	}
	var due []Candidate
	for _, h := range s.helpers {
		if now.Sub(h.askedAt) >= AskInterval {
			h.askedAt = now
			due = append(due, h.Candidate)
		}
	}
	return due
}

// Answered records the answer of a VM.
func (s *Set) Answered(now time.Time, name string, w Word) {
	if h := s.find(name); h != nil {
		h.word, h.heardAt = w, now
	}
}

// Choice is a VM that was chosen to serve a request.
type Choice struct {
	Candidate
	RoundTrip time.Duration
}

// Choose chooses a VM for a request that can be served without the pools for which
// servable reports true, and none of those in tried. The request counts as in flight
// until Done is called. ok is false if no VM can help.
func (s *Set) Choose(now time.Time, servable func(lost map[string]bool) bool, tried []string) (c Choice, ok bool) {
	var best *helper
	var bestCost float64
	for _, h := range s.helpers {
		if !h.usable(now) || slices.Contains(tried, h.Name) || !servable(h.word.LostPools) {
			continue
		}
		cost := float64(h.inFlight) + float64(h.word.Busy) + distanceCost*float64(h.Distance) + s.rng.Float64()
		if best == nil || cost < bestCost {
			best, bestCost = h, cost
		}
	}
	if best == nil {
		return Choice{}, false
	}
	best.inFlight++
	return Choice{best.Candidate, best.word.RoundTrip}, true
}

// usable reports whether a VM has said lately that it can help, and has not failed since.
func (h *helper) usable(now time.Time) bool {
	return !h.word.CutOff && !h.heardAt.IsZero() && now.Sub(h.heardAt) < freshFor && now.Sub(h.failedAt) >= failureHold
}

// Any reports whether a VM can serve a request.
func (s *Set) Any(now time.Time, servable func(lost map[string]bool) bool) bool {
	for _, h := range s.helpers {
		if h.usable(now) && servable(h.word.LostPools) {
			return true
		}
	}
	return false
}

// Done records the end of a request at a VM. failed states that the VM did not serve it.
func (s *Set) Done(now time.Time, name string, failed bool) {
	h := s.find(name)
	if h == nil {
		return
	}
	h.inFlight = max(0, h.inFlight-1)
	if failed {
		h.failedAt = now
	}
}

// Clear forgets all VMs, when no help is needed any more.
func (s *Set) Clear() { s.helpers = nil }

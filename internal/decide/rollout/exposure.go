package rollout

import "time"

// Class is the part of a pool's replicas that an attempt goes to, by their version.
type Class uint8

// The classes.
const (
	OldVersion Class = iota
	NewVersion
)

// The parts of the limit on a version's exposure, and the times of a VM.
const (
	// trialShare and trialSlack are the parts of the limit that the trial uses. The
	// rest is what the takeover needs.
	trialShare = 0.2
	trialSlack = 0.3
	// probeShare is the part of its own limit that a VM uses during a probe, and
	// probeEvery how many requests there are for each that goes to the new version.
	probeShare = 0.6
	probeEvery = 4
	// capMargin is the part of its own limit that a VM uses during the takeover. The
	// rest covers requests that the platform counts and this VM does not.
	capMargin = 0.95
	// controlEvery is how many requests there are for each that goes to the old
	// version during the takeover.
	controlEvery = 8
	// rareReserve is the room beyond one request that a route with many samples leaves
	// to the others.
	rareReserve = 3
	// contactShare is the part of the time to roll a version back after which a VM
	// that hears nothing from a judge sends it no more requests.
	contactShare = 0.3
)

// Limits bound what a version gets before it is known to be good.
type Limits struct {
	Share    float64       // of the requests to its pool
	Slack    float64       // requests in addition; for one VM its part of those of all
	Rollback time.Duration // from when it is known to be bad until it gets none
}

// Exposure limits what one VM sends to the new version of a pool. What it allows is
// within this VM's part of the limits, whatever the other VMs do, and nothing
// while no judge is heard. It is not safe for concurrent use.
type Exposure struct {
	limits Limits
	phase  Phase
	heard  time.Time // when a judge last stated a phase
	firsts int       // first attempts at the pool that were answered
	sent   int       // attempts at the new version
	routes map[string]int
	turn   int // of requests during a probe or the takeover
}

// NewExposure returns the state of an order that no judge has been heard about.
func NewExposure(l Limits) *Exposure { return &Exposure{limits: l, routes: map[string]int{}} }

// SetLimits changes the limits.
func (e *Exposure) SetLimits(l Limits) { e.limits = l }

// Phase returns the phase that was last stated.
func (e *Exposure) Phase() Phase { return e.phase }

// Counts returns the first attempts at the pool that were answered, and the attempts
// at the new version.
func (e *Exposure) Counts() (firsts, sent int) { return e.firsts, e.sent }

// Heard records a phase that a judge or the store has stated. It reports whether the
// phase in force has changed. A final phase stays, except that the store's record
// of a completion stands above a veto: the old replicas have been given up.
func (e *Exposure) Heard(now time.Time, p Phase, recorded bool) bool {
	e.heard = now
	if p == NoPhase || p == e.phase || e.phase == Completed || e.phase == RolledBack && !(recorded && p == Completed) {
		return false
	}
	e.phase = p
	return true
}

// InContact reports whether a judge was heard recently.
func (e *Exposure) InContact(now time.Time) bool {
	return !e.heard.IsZero() && now.Sub(e.heard) < time.Duration(contactShare*float64(e.limits.Rollback))
}

// Assign returns the class for the first attempt of a request on a route.
func (e *Exposure) Assign(now time.Time, route string) Class {
	switch {
	case e.phase == Completed:
		return NewVersion
	case e.phase == RolledBack || !e.InContact(now):
		return OldVersion
	case e.phase == Commit:
		return NewVersion
	case e.phase == Takeover:
		e.turn++
		if e.turn%controlEvery != 0 && e.within(capMargin) {
			return NewVersion
		}
	case e.phase == Probe:
		e.turn++
		if e.turn%probeEvery == 0 && e.within(probeShare) {
			return NewVersion
		}
	case e.phase == Trial && e.sampleDue(route):
		return NewVersion
	}
	return OldVersion
}

// ExtraClass returns the class for a retry or a hedge.
func (e *Exposure) ExtraClass(now time.Time) Class {
	if e.phase == Completed || e.phase == Commit && e.InContact(now) {
		return NewVersion
	}
	return OldVersion
}

// Fallback returns the class for an attempt that no replica of its class can serve; ok
// is false if there is none.
func (e *Exposure) Fallback(now time.Time, c Class) (fallback Class, ok bool) {
	switch {
	case e.phase == Completed || e.phase == RolledBack:
		return c, false
	case c == NewVersion:
		return OldVersion, e.phase != Commit
	case e.phase == Commit:
		return NewVersion, true // the old replicas may have been given up
	}
	return NewVersion, e.phase != NoPhase && e.InContact(now) && e.within(capMargin)
}

// CountSent records an attempt at the new version.
func (e *Exposure) CountSent(route string) {
	e.sent++
	e.routes[route]++
}

// CountAnswered records that a first attempt at the pool was answered.
func (e *Exposure) CountAnswered() { e.firsts++ }

// within reports whether one more attempt at the new version is within a part of this
// VM's limits.
func (e *Exposure) within(part float64) bool {
	return float64(e.sent+1) <= part*(e.limits.Share*float64(e.firsts)+e.limits.Slack)
}

// sampleDue reports whether the next sample may be a request on a route. Routes with
// fewer samples than the others come first, so that a fault on a rare route shows.
func (e *Exposure) sampleDue(route string) bool {
	e.routes[route] += 0 // a route counts from its first request on
	room := trialShare*e.limits.Share*float64(e.firsts) + trialSlack*e.limits.Slack - float64(e.sent)
	if room < 1 {
		return false
	}
	mean := float64(e.sent) / float64(len(e.routes))
	return room >= 1+rareReserve || float64(e.routes[route]) <= mean
}

package rollout

import (
	"fmt"
	"sort"
	"time"
)

// RolloutStat is one row of a VM's report: the attempts at one class of a pool on one
// route since the order.
type RolloutStat struct {
	Class Class
	Route string
	Group uint8 // of replicas of the new version, by a hash of the ID; below Groups
	Sums  Sums
}

// Groups is the number of groups by which the replicas of the new version are
// reported, so that a fault of one isn't taken for a fault of its version.
const Groups = maxGroups

// statID identifies a row.
type statID struct {
	class Class
	route string
	group uint8
}

func (s *RolloutStat) id() statID { return statID{s.Class, s.Route, s.Group % maxGroups} }

// fleetRoute holds the sums of all VMs on one route.
type fleetRoute struct {
	news [maxGroups]series // by group of replicas
	old  series
}

// span is a number of slots that are left out; the zero value: none.
type span struct{ from, to int64 }

func (x span) contains(slot int64) bool { return slot >= x.from && slot < x.to }

// sums returns the sums of the newest n slots, of all if n is 0, without those of the
// new version in some.
func (r *fleetRoute) sums(slot int64, n int, without span) pair {
	var p pair
	if n == 0 {
		p.old = r.old.total
		for i := range r.news {
			p.groups[i] = r.news[i].total
			for at := without.from; at < without.to; at++ {
				p.groups[i] = p.groups[i].minus(r.news[i].at(at))
			}
		}
		return p
	}
	for at := max(slot-int64(n)+1, 0); at <= slot; at++ {
		p.old.add(r.old.at(at))
		if without.contains(at) {
			continue
		}
		for i := range r.news {
			p.groups[i].add(r.news[i].at(at))
		}
	}
	return p
}

func (r *fleetRoute) advance(slot int64) {
	r.old.advance(slot)
	for i := range r.news {
		r.news[i].advance(slot)
	}
}

// fleetWindows are the periods over which a fleet judge compares the versions, in
// slots; 0: since the order.
var fleetWindows = append([]int{0}, windows[:]...)

// fleetwide applies to the comparisons of a fleet judge, whose samples are few: it is
// concurrent with a test for answers that are much slower.
var fleetwide = func() tolerances {
	t := concurrent
	t.slow8x = tolerance{1.5, 0.01}
	t.slow4x = tolerance{1.5, 0.02}
	t.mean = 1.3
	return t
}()

// evidenceOf is what a comparison concludes from the sums of both versions.
type evidenceOf func(p *pair) Regression

// findIn returns the first regression that f finds on a route or over all, in any
// window, or "". Slowness has to show in more than the slowest moment: a burst of
// requests, as from VMs that were paused, makes the version slow that has most of them.
func (j *FleetJudge) findIn(now time.Time, f evidenceOf) string {
	slot := slotAt(now)
	for _, r := range j.routes {
		r.advance(slot)
	}
	found, where := j.find(slot, f, span{})
	if found == NoRegression {
		return ""
	}
	if found == Slow {
		if still, _ := j.find(slot, isSuspicion, j.slowest(slot)); still == NoRegression {
			return ""
		}
	}
	return fmt.Sprintf("%s %s", found, where)
}

// recentTrouble returns how the new version is worse than the old one was since the
// order, in the shortest window, or "". Unlike a suspicion it may be trouble of both
// versions, which hides a fault of the new one.
func (j *FleetJudge) recentTrouble(now time.Time) string {
	slot := slotAt(now)
	var all pair
	for _, r := range j.routes {
		r.advance(slot)
		p := r.sums(slot, windows[0], span{})
		p.old = r.old.total
		all.merge(&p)
	}
	if found := isSuspicion(&all); found != NoRegression {
		return fmt.Sprintf("%s within %v, perhaps of both versions", found, time.Duration(windows[0])*slotDuration)
	}
	return ""
}

// overTolerance returns the regression in which the new version's answers of all routes
// exceed the tolerances in the longest window, or NoRegression. It leaves no moment out:
// the answers under load may all be of one.
func (j *FleetJudge) overTolerance(now time.Time) Regression {
	slot := slotAt(now)
	var all, allTotal pair
	for _, r := range j.routes {
		r.advance(slot)
		p := r.sums(slot, ringSlots, span{})
		total := pair{groups: p.groups, old: r.old.total}
		all.merge(&p)
		allTotal.merge(&total)
	}
	if all.old.Requests < minOldRequests {
		all.old = allTotal.old
	}
	return inBoth(&all, &allTotal, exceedsTolerance)
}

// momentSlots is the duration of a moment, in slots.
const momentSlots = 2

// slowest returns the moment in which the new version's answers took longest in all.
func (j *FleetJudge) slowest(slot int64) span {
	var worst span
	var most time.Duration
	for from := max(slot-ringSlots+1, 0); from+momentSlots <= slot+1; from++ {
		var took time.Duration
		for _, r := range j.routes {
			for i := range r.news {
				for at := from; at < from+momentSlots; at++ {
					took += r.news[i].at(at).LatencySum
				}
			}
		}
		if took > most {
			most, worst = took, span{from, from + momentSlots}
		}
	}
	return worst
}

// find returns the first regression that f finds and where, leaving out the new
// version's answers in some slots.
func (j *FleetJudge) find(slot int64, f evidenceOf, without span) (found Regression, where string) {
	names := make([]string, 0, len(j.routes))
	for name := range j.routes {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, n := range fleetWindows {
		var all, allTotal pair
		for _, name := range names {
			p := j.routes[name].sums(slot, n, without)
			if without == (span{}) {
				j.addPending(&p, name)
			}
			total := pair{groups: p.groups, old: j.routes[name].old.total}
			if p.old.Requests < minOldRequests {
				p.old = total.old
			}
			if found := inBoth(&p, &total, f); found != NoRegression {
				return found, "on route " + name
			}
			all.merge(&p)
			allTotal.merge(&total)
		}
		if found := inBoth(&all, &allTotal, f); found != NoRegression {
			return found, "over all routes"
		}
	}
	return NoRegression, ""
}

// addPending adds the long attempts in flight on a route.
func (j *FleetJudge) addPending(p *pair, route string) {
	for id, s := range j.pending {
		if id.route == route && id.class == NewVersion {
			p.groups[id.group].add(&s)
		}
	}
}

// inBoth returns what f finds against the old version in a window, if it also finds
// something against the old version since the order: trouble of both versions shows
// in the window, and the old version is idle during a takeover, but was not before.
func inBoth(window, total *pair, f evidenceOf) Regression {
	if found := f(window); found != NoRegression && f(total) != NoRegression {
		return found
	}
	return NoRegression
}

// isRegression requires the evidence of a veto.
func isRegression(p *pair) Regression {
	if found := fleetwide.regression(p.groups[:], &p.old); found != NoRegression {
		return found
	}
	if isShifted(p, vetoEvidence) {
		return Slow
	}
	return isLarge(p)
}

// A difference of many answers needs less evidence: by then the platform may count as
// many bad ones.
const (
	largeExcess         = 15.0 // answers
	largeExcessEvidence = 8.0  // in nats
)

// isLarge returns the regression that shows in many answers beyond the old version's
// rate. Replicas that differ from the others are left out.
func isLarge(p *pair) Regression {
	for _, t := range fleetwide.criteria(&p.old) {
		rest := sumWithoutOutliers(p.groups[:], t)
		if p.old.Requests == 0 || rest.Requests == 0 {
			continue
		}
		usual := float64(t.events(&p.old)) / float64(p.old.Requests) * float64(rest.Requests)
		if float64(t.events(&rest))-usual < largeExcess || t.regression == Slow && !fleetwide.meanRegressed(&rest, &p.old) {
			continue
		}
		if t.tolerance.excessEvidence(t.events(&rest), rest.Requests, t.events(&p.old), p.old.Requests) >= largeExcessEvidence || t.regression == Slow && isShifted(p, largeExcessEvidence) {
			return t.regression
		}
	}
	return NoRegression
}

// exceedsTolerance requires less than a suspicion: that chance alone is unlikely.
func exceedsTolerance(p *pair) Regression { return fleetwide.exceeded(p.groups[:], &p.old) }

// suspicionEvidence is the evidence, in nats, from which a version is not given more
// requests.
const suspicionEvidence = 5.0

// isSuspicion requires less evidence, as a version that may be bad must not replace
// the old one yet.
func isSuspicion(p *pair) Regression {
	all := sum(p.groups[:])
	for _, t := range fleetwide.criteria(&p.old) {
		if t.events(&all) < minEvents/2 || t.tolerance.excessEvidence(t.events(&all), all.Requests, t.events(&p.old), p.old.Requests) < suspicionEvidence {
			continue
		}
		if t.regression == Slow && !fleetwide.meanRegressed(&all, &p.old) {
			continue
		}
		return t.regression
	}
	if isShifted(p, suspicionEvidence) {
		return Slow
	}
	return NoRegression
}

package rollout

import (
	"math"
	"sort"
	"time"
)

// The strength of evidence, in nats of the likelihood that the new version's
// count arises at the highest rate that is still no fault.
const (
	vetoEvidence = 12.0
	// minEvents keeps single failures, such as those of a request that crashes
	// any upstream, from deciding.
	minEvents = 4
)

// allowance is how much worse than the old version the new one may be: the
// rate of events may be factor times as high, and slack more.
type allowance struct {
	factor float64
	slack  float64
}

// allowances for one kind of comparison.
type allowances struct {
	errors  allowance
	crashes allowance
	slow    allowance // at four times the old median, in buckets
	slower  allowance // at twice the old median, in buckets
	mean    float64   // factor of the mean that slowness needs besides
}

// The comparison with the old version at the same time is strict. The one with
// what the old version did before leaves room for what changed meanwhile, and
// only leads to a hold.
var (
	sameTime = allowances{
		errors:  allowance{1.5, 0.01},
		crashes: allowance{1.5, 0.002},
		slow:    allowance{1.5, 0.10},
		slower:  allowance{1.5, 0.20},
		mean:    1.4,
	}
	remembered = allowances{
		errors:  allowance{3, 0.03},
		crashes: allowance{3, 0.01},
		slow:    allowance{2, 0.25},
		slower:  allowance{2, 0.50},
		mean:    2,
	}
)

// meanMargin is the least difference of means that counts as slowness.
const meanMargin = time.Millisecond

// maxRate bounds the rate that is still no fault.
const maxRate = 0.9

// Regression says in which way a version is worse.
type Regression string

// The faults.
const (
	NoRegression Regression = ""
	Errors       Regression = "errors"
	Crashes      Regression = "crashes"
	Slow         Regression = "slowness"
)

// rate is the highest rate of events that is no fault, given the old version's
// counts.
func (a allowance) rate(events, requests uint64) float64 {
	base := 0.0
	if requests > 0 {
		base = float64(events) / float64(requests)
	}
	return min(base*a.factor+a.slack, maxRate)
}

// Evidence is n times the Kullback-Leibler divergence of the seen rate from
// rate p: the bound of Chernoff on seeing so many events. It is 0 when the seen
// rate is not above p.
func Evidence(events, n uint64, p float64) float64 {
	if n == 0 {
		return 0
	}
	q := float64(events) / float64(n)
	if q <= p {
		return 0
	}
	d := q * math.Log(q/p)
	if q < 1 {
		d += (1 - q) * math.Log((1-q)/(1-p))
	}
	return float64(n) * d
}

// searchSteps halves the range of the old version's rate so often.
const searchSteps = 24

// evidenceOver is the evidence that the new version's rate is beyond what a
// allows, when the old version's own rate is only known from its counts: the
// least, over all rates that the old version may have, of what both counts say
// against it.
func (a allowance) evidenceOver(events, n, oldEvents, oldN uint64) float64 {
	if oldN == 0 {
		return Evidence(events, n, min(a.slack, maxRate))
	}
	against := func(rate float64) float64 {
		return Evidence(events, n, min(rate*a.factor+a.slack, maxRate)) + Evidence(oldN-oldEvents, oldN, 1-rate)
	}
	lo, hi := float64(oldEvents)/float64(oldN), 1.0
	for range searchSteps {
		third := (hi - lo) / 3
		if against(lo+third) < against(hi-third) {
			hi -= third
		} else {
			lo += third
		}
	}
	return against((lo + hi) / 2)
}

// counts takes the events of one fault from sums.
type counts func(*Sums) uint64

// test is one way of looking for a fault.
type test struct {
	fault   Regression
	events  counts
	allowed allowance
	rate    float64 // the highest that is no fault, by the old version's counts
}

// testsAgainst returns the tests of a new version against the old one's sums.
func (a allowances) testsAgainst(old *Sums) []test {
	errors := func(s *Sums) uint64 { return s.Errors }
	crashes := func(s *Sums) uint64 { return s.Crashes }
	out := []test{
		{Errors, errors, a.errors, a.errors.rate(old.Errors, old.Requests)},
		{Crashes, crashes, a.crashes, a.crashes.rate(old.Crashes, old.Requests)},
	}
	if old.Requests == 0 {
		return out
	}
	m := old.median()
	twice := func(s *Sums) uint64 { return s.from(m + 1) }
	fourfold := func(s *Sums) uint64 { return s.from(m + 2) }
	return append(out,
		test{Slow, fourfold, a.slow, a.slow.rate(fourfold(old), old.Requests)},
		test{Slow, twice, a.slower, a.slower.rate(twice(old), old.Requests)})
}

// worse returns the fault that the groups of the new version show against the
// old version's sums. One group is left out, that with the most events beyond
// the allowed, so that a single bad replica doesn't condemn its version.
func (a allowances) worse(groups []Sums, old *Sums) Regression {
	all := sum(groups)
	for _, t := range a.testsAgainst(old) {
		// What is left out, and what is not known of the old version, only
		// weakens the evidence.
		if Evidence(t.events(&all), all.Requests, t.rate) < vetoEvidence {
			continue
		}
		rest := leaveOut(groups, t)
		if t.events(&rest) < minEvents || t.allowed.evidenceOver(t.events(&rest), rest.Requests, t.events(old), old.Requests) < vetoEvidence {
			continue
		}
		if t.fault == Slow && !a.slowMean(&rest, old) {
			continue
		}
		return t.fault
	}
	return NoRegression
}

// slowMean reports whether the mean says slow too; buckets alone would call a
// small difference slow when the median lies at a bucket's edge.
func (a allowances) slowMean(s, old *Sums) bool {
	return float64(s.mean()) > a.mean*float64(old.mean()) && s.mean() > old.mean()+meanMargin
}

// Groups are left out of a comparison when their rate is beyond that of the
// others by this evidence, but at most one of every leaveOutOf. A fault of the
// version shows in all groups alike, one of a replica in the group of its node.
const (
	outlierEvidence = 5.0
	minGroup        = 1 // requests from which a group counts as filled
	leaveOutOf      = 3
)

// leaveOut sums the groups that are not left out for t.
func leaveOut(groups []Sums, t test) Sums {
	all := sum(groups)
	var filled []int
	for i := range groups {
		if groups[i].Requests >= minGroup {
			filled = append(filled, i)
		}
	}
	if len(filled) < 2 {
		return all
	}
	over := func(i int) float64 {
		return float64(t.events(&groups[i])) - t.rate*float64(groups[i].Requests)
	}
	sort.Slice(filled, func(i, j int) bool { return over(filled[i]) > over(filled[j]) })
	for _, i := range filled[:max(1, len(filled)/leaveOutOf)] {
		g := &groups[i]
		rest := all.minus(g)
		rate := t.rate
		if rest.Requests > 0 {
			rate = min(maxRate, max(rate, float64(t.events(&rest))/float64(rest.Requests)))
		}
		if Evidence(t.events(g), g.Requests, rate) >= outlierEvidence {
			all = rest
		}
	}
	return all
}

func sum(groups []Sums) Sums {
	var all Sums
	for i := range groups {
		all.add(&groups[i])
	}
	return all
}

// noWorse reports whether the new version's sums are within the allowances,
// but for chance.
func (a allowances) noWorse(groups []Sums, old *Sums) bool {
	for _, t := range a.testsAgainst(old) {
		rest := leaveOut(groups, t)
		allowed := t.rate * float64(rest.Requests)
		over := float64(t.events(&rest)) > allowed+2*math.Sqrt(allowed)+1
		if over && (t.fault != Slow || a.slowMean(&rest, old)) {
			return false
		}
	}
	return true
}

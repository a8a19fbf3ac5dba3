package rollout

import (
	"math"
	"sort"
	"time"
)

// The conditions under which a comparison reports a regression.
const (
	// vetoEvidence is the least evidence for a regression, in nats: the observed
	// count has a probability of at most e^-12 at the highest tolerated rate.
	vetoEvidence = 12.0
	// minEvents keeps a few failures, such as those of one request that crashes
	// every upstream it reaches, from counting as a regression.
	minEvents = 4
)

// tolerance is the highest tolerated event rate of the new version, relative to
// the old one: the old rate times factor, plus slack.
type tolerance struct {
	factor float64
	slack  float64
}

// tolerances holds the tolerance for each kind of regression.
type tolerances struct {
	errors  tolerance
	crashes tolerance
	slow8x  tolerance // share of requests at least three latency buckets above the old median; zero: not tested
	slow4x  tolerance // share of requests at least two latency buckets above the old median
	slow2x  tolerance // share of requests at least one latency bucket above the old median
	mean    float64   // slowness also requires a mean latency above this multiple of the old one
}

// concurrent applies to both versions in the same period and is strict.
// historical applies to the new version against the old one's earlier requests;
// it leaves room for conditions that have changed since, and leads to a hold at
// most, never to a veto.
var (
	concurrent = tolerances{
		errors:  tolerance{1.5, 0.01},
		crashes: tolerance{1.5, 0.002},
		slow4x:  tolerance{1.5, 0.10},
		slow2x:  tolerance{1.5, 0.20},
		mean:    1.4,
	}
	historical = tolerances{
		errors:  tolerance{3, 0.03},
		crashes: tolerance{3, 0.01},
		slow4x:  tolerance{2, 0.25},
		slow2x:  tolerance{2, 0.50},
		mean:    2,
	}
)

// minMeanDifference is the least increase of the mean latency that counts as
// slowness.
const minMeanDifference = time.Millisecond

// maxTolerableRate caps every tolerated rate, however high the old version's is.
const maxTolerableRate = 0.9

// Regression is a way in which the new version is worse than the old one.
type Regression string

// The kinds of regression.
const (
	NoRegression Regression = ""
	Errors       Regression = "errors"
	Crashes      Regression = "crashes"
	Slow         Regression = "slowness"
)

// maxRate returns the highest tolerated event rate, given the old version's
// counts.
func (t tolerance) maxRate(events, requests uint64) float64 {
	base := 0.0
	if requests > 0 {
		base = float64(events) / float64(requests)
	}
	return min(base*t.factor+t.slack, maxTolerableRate)
}

// Evidence returns n times the Kullback-Leibler divergence of the observed rate
// from rate p, in nats. By the Chernoff bound, the probability of that many
// events at rate p is at most e^-Evidence. It is 0 when the observed rate is not
// above p.
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

// ternarySearchSteps is the number of steps of the search for the old version's
// rate. Each one cuts the range by a third.
const ternarySearchSteps = 24

// excessEvidence returns the evidence that the new version's rate exceeds the
// tolerance when the old version's true rate is known from its counts alone. It
// is the minimum, over all possible true rates of the old version, of the
// evidence of both counts against that rate.
func (t tolerance) excessEvidence(events, n, oldEvents, oldN uint64) float64 {
	if oldN == 0 {
		return Evidence(events, n, min(t.slack, maxTolerableRate))
	}
	against := func(rate float64) float64 {
		return Evidence(events, n, min(rate*t.factor+t.slack, maxTolerableRate)) + Evidence(oldN-oldEvents, oldN, 1-rate)
	}
	lo, hi := float64(oldEvents)/float64(oldN), 1.0
	for range ternarySearchSteps {
		third := (hi - lo) / 3
		if against(lo+third) < against(hi-third) {
			hi -= third
		} else {
			lo += third
		}
	}
	return against((lo + hi) / 2)
}

// eventCounter returns the number of events of one kind.
type eventCounter func(*Sums) uint64

// criterion is one test for a regression.
type criterion struct {
	regression Regression
	events     eventCounter
	tolerance  tolerance
	maxRate    float64 // highest tolerated rate, from the old version's counts
}

// criteria returns the tests of the new version against the old one's sums.
func (ts tolerances) criteria(old *Sums) []criterion {
	errors := func(s *Sums) uint64 { return s.Errors }
	crashes := func(s *Sums) uint64 { return s.Crashes }
	out := []criterion{
		{Errors, errors, ts.errors, ts.errors.maxRate(old.Errors, old.Requests)},
		{Crashes, crashes, ts.crashes, ts.crashes.maxRate(old.Crashes, old.Requests)},
	}
	if old.Requests == 0 {
		return out
	}
	m := old.medianBucket()
	twice := func(s *Sums) uint64 { return s.countFrom(m + 1) }
	fourfold := func(s *Sums) uint64 { return s.countFrom(m + 2) }
	if ts.slow8x != (tolerance{}) {
		eightfold := func(s *Sums) uint64 { return s.countFrom(m + 3) }
		out = append(out, criterion{Slow, eightfold, ts.slow8x, ts.slow8x.maxRate(eightfold(old), old.Requests)})
	}
	return append(out,
		criterion{Slow, fourfold, ts.slow4x, ts.slow4x.maxRate(fourfold(old), old.Requests)},
		criterion{Slow, twice, ts.slow2x, ts.slow2x.maxRate(twice(old), old.Requests)})
}

// regression returns the first regression of the new version's node groups
// against the old version's sums. Outlier groups are left out, so that a single
// bad replica doesn't lead to a veto of its version.
func (ts tolerances) regression(groups []Sums, old *Sums) Regression {
	all := sum(groups)
	for _, t := range ts.criteria(old) {
		// This cheap test comes first: leaving out groups and the uncertainty of
		// the old version's rate only weaken the evidence.
		if Evidence(t.events(&all), all.Requests, t.maxRate) < vetoEvidence {
			continue
		}
		rest := sumWithoutOutliers(groups, t)
		if t.events(&rest) < minEvents || t.tolerance.excessEvidence(t.events(&rest), rest.Requests, t.events(old), old.Requests) < vetoEvidence {
			continue
		}
		if t.regression == Slow && !ts.meanRegressed(&rest, old) {
			continue
		}
		return t.regression
	}
	return NoRegression
}

// meanRegressed reports whether the mean latency has regressed too. By buckets
// alone, a small difference would count as slowness when the median lies at the
// edge of a bucket.
func (ts tolerances) meanRegressed(s, old *Sums) bool {
	return float64(s.mean()) > ts.mean*float64(old.mean()) && s.mean() > old.mean()+minMeanDifference
}

// A group is an outlier when the evidence that its event rate exceeds that of
// the other groups reaches outlierEvidence. A fault of the version shows in all
// groups, a fault of one replica only in the group of the node that owns it.
const (
	outlierEvidence  = 5.0 // in nats
	minGroupRequests = 1   // groups with fewer requests are ignored
	groupsPerOutlier = 3   // at most one outlier for so many groups
)

// sumWithoutOutliers returns the sum of the groups that are not outliers by
// criterion t.
func sumWithoutOutliers(groups []Sums, t criterion) Sums {
	all := sum(groups)
	var filled []int
	for i := range groups {
		if groups[i].Requests >= minGroupRequests {
			filled = append(filled, i)
		}
	}
	if len(filled) < 2 {
		return all
	}
	over := func(i int) float64 {
		return float64(t.events(&groups[i])) - t.maxRate*float64(groups[i].Requests)
	}
	sort.Slice(filled, func(i, j int) bool { return over(filled[i]) > over(filled[j]) })
	for _, i := range filled[:max(1, len(filled)/groupsPerOutlier)] {
		g := &groups[i]
		rest := all.minus(g)
		rate := t.maxRate
		if rest.Requests > 0 {
			rate = min(maxTolerableRate, max(rate, float64(t.events(&rest))/float64(rest.Requests)))
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

// withinTolerance reports whether no event count of the new version exceeds its
// tolerance.
func (ts tolerances) withinTolerance(groups []Sums, old *Sums) bool {
	return ts.exceeded(groups, old) == NoRegression
}

// exceeded returns the first regression in which the new version's event counts
// exceed the tolerances by more than random variation: two standard deviations and
// one event.
func (ts tolerances) exceeded(groups []Sums, old *Sums) Regression {
	for _, t := range ts.criteria(old) {
		rest := sumWithoutOutliers(groups, t)
		allowed := t.maxRate * float64(rest.Requests)
		over := float64(t.events(&rest)) > allowed+2*math.Sqrt(allowed)+1
		if over && (t.regression != Slow || ts.meanRegressed(&rest, old)) {
			return t.regression
		}
	}
	return NoRegression
}

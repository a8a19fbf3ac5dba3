package placement

import (
	"math/rand/v2"
	"time"
)

// Distance is how far away a replica is.
type Distance uint8

// The distances, nearest first.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// Costs of a choice, each as the extra waiting time that a request would accept
// to avoid it.
const (
	// regionCost and zoneCost express the cost of traffic as waiting time. A part
	// from another region costs about a fiftieth of a query's value. Late answers
	// lose as much when each request waits some hundredths of a second longer.
	regionCost = 25 * time.Millisecond
	zoneCost   = 5 * time.Millisecond
	// stallFactor is how long a stall is expected to continue, as a multiple of
	// its age.
	stallFactor = 2
	// failureCost is the cost of a failed attempt: the time until it has failed,
	// another attempt, and a part of the budget for extra attempts.
	failureCost = 150 * time.Millisecond
	// maxFailureRate caps the failure rate that the cost is computed from.
	maxFailureRate = 0.9
	// ejectedCost and drainingCost rank such replicas behind all others.
	ejectedCost  = 2 * time.Second
	drainingCost = 10 * time.Second
	// jitter breaks ties between equal replicas, as a share of the typical
	// latency, so that VMs with the same view don't all choose the same one.
	jitter = 0.1
)

// stallThreshold is the time without an answer, as a multiple of the expected
// execution time, up to which a replica counts as working normally.
const stallThreshold = 2

// Candidate is a replica that may be chosen.
type Candidate struct {
	Replica  *Replica
	Distance Distance
	Draining bool // gets no new work if there is another candidate
	// RejectionCost is the cost of a rejection; 0: as if the budget for extra attempts were whole.
	RejectionCost time.Duration
	// DistanceCost replaces the fixed cost of Distance if Decided is set.
	DistanceCost time.Duration
	Decided      bool
}

// FixedCost returns the cost of a distance without a decision of when leaving pays.
func FixedCost(d Distance) time.Duration {
	switch d {
	case SameRegion:
		return zoneCost
	case OtherRegion:
		return regionCost
	}
	return 0
}

func (c *Candidate) distanceCost() time.Duration {
	if c.Decided {
		return c.DistanceCost
	}
	return FixedCost(c.Distance)
}

// Choose returns the index of the candidate with the lowest expected cost, or -1
// if there are none. typical is the typical latency of the request.
func Choose(now time.Time, cands []Candidate, typical time.Duration, rng *rand.Rand) int {
	best, bestCost, mean := -1, time.Duration(0), meanSends(now, cands)
	for i := range cands {
		cost := cands[i].cost(now, typical)
		cost += cands[i].spreadCost(now, typical, mean)
		cost += cands[i].rejectionCost(now, rng)
		cost += time.Duration(jitter * rng.Float64() * float64(typical))
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	for i := range cands {
		if i != best {
			cands[i].Replica.passedOver++
		}
	}
	return best
}

// cost returns the expected time to an answer plus the penalties of c.
func (c *Candidate) cost(now time.Time, typical time.Duration) time.Duration {
	r := c.Replica
	execution := time.Duration(float64(typical) * r.expectedRatio(now) * r.pace.factor(now))
	cost := execution + r.queueTime(now, execution) + r.usualWait(now, execution)
	if stall := r.StallTime(now); stall > stallThreshold*execution {
		cost += stallFactor * stall
	}
	if p := min(r.failureRateAt(now), maxFailureRate); p > 0 {
		cost += time.Duration(p / (1 - p) * float64(failureCost))
	}
	cost += c.distanceCost()
	if r.Ejected(now) {
		cost += ejectedCost
	}
	if c.Draining {
		cost += drainingCost
	}
	return cost
}

// spreadCost returns the cost of having sent c more requests than the mean. A replica
// that gets fewer because it rejects some has no advantage of that.
func (c *Candidate) spreadCost(now time.Time, typical time.Duration, mean float64) time.Duration {
	if !c.Replica.weighsRejections {
		return 0
	}
	excess := c.Replica.recentSends - mean
	if p := c.Replica.RejectionChance(now); p > 0 && excess < 0 {
		excess *= max(0, 1-p/maxSpreadChance)
	}
	return time.Duration(max(-maxSpreadCost, min(spreadCost*excess, maxSpreadCost)) * float64(typical))
}

// rejectionCost returns the cost of the rejections that are expected until c accepts a
// request. It is drawn at random around its mean: VMs with the same view must not all
// leave a replica, nor all return to it, at the same time. The share of the requests
// that c still gets falls with its chance of a rejection, and these are its probes.
func (c *Candidate) rejectionCost(now time.Time, rng *rand.Rand) time.Duration {
	p := c.Replica.RejectionChance(now)
	if p == 0 {
		return 0
	}
	each := c.RejectionCost
	if each == 0 {
		each = minRejectionCost
	}
	around := rng.Float64() + rng.Float64()
	return time.Duration(around * p / (1 - p) * float64(each))
}

// queueTime returns the expected wait for a free slot. It is computed from the
// attempts of this VM in flight or the reported load, whichever is more.
func (r *Replica) queueTime(now time.Time, execution time.Duration) time.Duration {
	busy := float64(len(r.inFlight))
	if reported := float64(r.running + r.waiting); reported > 0 {
		age := now.Sub(r.loadAt)
		busy = max(busy, reported*float64(loadHalfLife)/float64(loadHalfLife+max(age, 0)))
	}
	if excess := busy + 1 - float64(r.slots); excess > 0 {
		return time.Duration(excess / float64(r.slots) * float64(execution))
	}
	return 0
}

// overrunFactor is how far the expected time to an answer may exceed the
// remaining time. In the replayed overload, a factor of 1.1 loses 2% of the parts at
// 0.9 of the capacity, and one of 1.5 loses half of the gain at 1.6 times the
// capacity.
const overrunFactor = 1.2

// WouldMissDeadline reports whether a replica is not expected to answer within
// the remaining time. It is false for a replica without an attempt of this VM in
// flight: only another attempt can show whether its queue has shrunk.
func WouldMissDeadline(now time.Time, c Candidate, typical, remaining time.Duration) bool {
	r := c.Replica
	if len(r.inFlight) == 0 {
		return false
	}
	execution := time.Duration(float64(typical) * r.expectedRatio(now))
	return float64(execution+r.queueTime(now, execution)) > overrunFactor*float64(remaining)
}

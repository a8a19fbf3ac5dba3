package placement

import (
	"math/rand/v2"
	"time"
)

// Distance is how far a replica is.
type Distance uint8

// The distances, nearest first.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// The costs of a choice, in time that a request may rather wait.
const (
	// regionCost and zoneCost are what the bytes on the way cost: a part from
	// another region costs about a fiftieth of a query's worth, as much as a
	// wait of some hundredths of a second costs in answers that come late.
	regionCost = 25 * time.Millisecond
	zoneCost   = 5 * time.Millisecond
	// silenceFactor is how long a silence is expected to go on, as a multiple
	// of its age.
	silenceFactor = 2
	// failureCost is what a failed attempt costs: the time until it has failed,
	// another attempt, and a part of the budget for extra sends.
	failureCost = 150 * time.Millisecond
	// maxFailing bounds the learned share of failures that counts.
	maxFailing = 0.9
	// restingCost and leavingCost put replicas behind all others.
	restingCost = 2 * time.Second
	leavingCost = 10 * time.Second
	// jitter breaks ties between equal replicas, as a share of the usual time,
	// so that VMs with the same view don't all choose the same one.
	jitter = 0.1
)

// silentAfter is the silence, as a multiple of the usual latency, up to which a
// replica is just at work.
const silentAfter = 2

// Candidate is a replica that may be chosen.
type Candidate struct {
	Replica  *Replica
	Distance Distance
	Draining bool // it must get no new work where there is another
}

// Choose returns the index of the candidate whose answer is expected first, or
// -1 for none. usual is the typical latency of the request.
func Choose(now time.Time, cands []Candidate, usual time.Duration, rng *rand.Rand) int {
	best, bestCost := -1, time.Duration(0)
	for i := range cands {
		cost := cands[i].cost(now, usual)
		cost += time.Duration(jitter * rng.Float64() * float64(usual))
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	for i := range cands {
		if i != best {
			cands[i].Replica.passed++
		}
	}
	return best
}

// cost is the expected time to an answer, with what else speaks against c.
func (c *Candidate) cost(now time.Time, usual time.Duration) time.Duration {
	r := c.Replica
	run := time.Duration(float64(usual) * r.speedNow(now))
	cost := run + r.wait(now, run)
	if silence := r.StallTime(now); silence > silentAfter*run {
		cost += silenceFactor * silence
	}
	if p := min(r.failingNow(now), maxFailing); p > 0 {
		cost += time.Duration(p / (1 - p) * float64(failureCost))
	}
	switch c.Distance {
	case SameRegion:
		cost += zoneCost
	case OtherRegion:
		cost += regionCost
	}
	if r.Ejected(now) {
		cost += restingCost
	}
	if c.Draining {
		cost += leavingCost
	}
	return cost
}

// wait is the expected wait for a slot: what this VM has there, or what the
// replica told, whichever is more.
func (r *Replica) wait(now time.Time, run time.Duration) time.Duration {
	busy := float64(len(r.sent))
	if told := float64(r.running + r.waiting); told > 0 {
		age := now.Sub(r.loadAt)
		busy = max(busy, told*float64(loadHalfLife)/float64(loadHalfLife+max(age, 0)))
	}
	if over := busy + 1 - float64(r.slots); over > 0 {
		return time.Duration(over / float64(r.slots) * float64(run))
	}
	return 0
}

// hopelessFactor is how far the expected time to an answer may exceed what is
// left. In the replayed overload 1.1 loses two parts in a hundred at nine tenths
// of the capacity, 1.5 gives up half of the gain at 1.6 times.
const hopelessFactor = 1.2

// WouldMissDeadline reports whether an answer from a replica can't be expected in the
// time that is left. A replica that has nothing of this VM in hand is asked all
// the same, since else nothing would tell of its queue.
func WouldMissDeadline(now time.Time, c Candidate, usual, left time.Duration) bool {
	r := c.Replica
	if len(r.sent) == 0 {
		return false
	}
	run := time.Duration(float64(usual) * r.speedNow(now))
	return float64(run+r.wait(now, run)) > hopelessFactor*float64(left)
}

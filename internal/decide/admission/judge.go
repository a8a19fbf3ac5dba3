package admission

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// ramp is the range of the expected wait, as a share of the time that a request can wait,
// over which the admitted share of requests falls from all to none. A range rather than a
// threshold keeps many VMs that decide at the same time from switching together.
type ramp struct{ from, to float64 }

// ramps are those of the levels, the most urgent first. The queues at the replicas settle
// within the ramp of the least urgent level that has requests to give way, so that the
// more urgent ones find short queues. With ramps that overlap, a less urgent kind with
// more time was served better than the more urgent one.
var ramps = [maxLevel + 1]ramp{{0.6, 1}, {0.2, 0.45}, {0.08, 0.2}, {0.04, 0.1}}

// aloneRamp is that of requests that no other kind gives way to. With the ramp of the most
// urgent level, the queues settle where a quarter of the answers are late.
var aloneRamp = ramp{0.2, 0.5}

// at returns the place of x in the ramp, from 0 to 1.
func (r ramp) at(x float64) float64 { return min(max((x-r.from)/(r.to-r.from), 0), 1) }

// freeRamp is the range of the share of reports with a free slot over which refusals end.
// On a calm pool, some replicas have short queues while others are free.
var freeRamp = ramp{0.1, 0.25}

// lateShare is how far beyond its latency objective an answer counts as in time, as a
// multiple of the objective, within the deadline.
const lateShare = 1.5

// Ask is a request that competes for free capacity.
type Ask struct {
	Kind  string // route
	Team  string // "": none
	Level int    // see Rank.Level
	// Aim is the time until the latency objective, and Left the time until an answer is
	// of no use.
	Aim, Left time.Duration
	// Foremost states that less urgent kinds compete, and no more urgent ones.
	Foremost bool
	// Strictest is the shortest latency objective of the more urgent kinds that compete
	// for the same pools; 0: there are none.
	Strictest time.Duration
	// Parts are the pools that the request is sent to, and MinParts the number of those
	// that make an answer. Parts is reordered.
	Parts    []Part
	MinParts int
}

// Ruling is the decision on one request.
type Ruling struct {
	Admit      bool
	Floor      bool          // admitted only because its kind or team gets too little
	Wait       time.Duration // that was expected
	RetryAfter time.Duration // delay to advise to the caller of a refused request
}

// Judge decides on the requests of one process by the observed free capacity of the
// pools. It is not safe for concurrent use.
type Judge struct {
	kinds, teams shares
	returns      returns
}

// NewJudge returns a judge without observations.
func NewJudge() *Judge { return &Judge{kinds: newShares(), teams: newShares()} }

// Decide decides on a request. It refuses none whose pools have free capacity.
func (j *Judge) Decide(now time.Time, a *Ask, rng *rand.Rand) Ruling {
	part := a.needed()
	admit, floor := true, false
	if part.Wait > 0 {
		admit = rng.Float64() >= a.refusedShare(part)
		if !admit && part.Wait < Never && j.belowFloor(now, a) {
			admit, floor = true, true
		}
	}
	j.kinds.count(now, a.Kind, admit)
	if a.Team != "" {
		j.teams.count(now, a.Team, admit)
	}
	r := Ruling{Admit: admit, Floor: floor, Wait: part.Wait}
	if !admit {
		r.RetryAfter = j.returns.retryAfter(now, part.Wait, rng)
	}
	return r
}

func (j *Judge) belowFloor(now time.Time, a *Ask) bool {
	return j.kinds.belowFloor(now, a.Kind) || a.Team != "" && j.teams.belowFloor(now, a.Team)
}

// ownWeight is the weight of a pool's own wait against the mean of all pools of a query.
// The last of many pools is mostly one whose wait is overestimated from few reports.
const ownWeight = 0.5

// Reported waits lose half of their weight against the assumption of free capacity, which
// has the weight prior, within a half-life. That of the most urgent requests is shorter if
// others give way: they find out soon whether a queue is gone. With one of a second for
// all, VMs that had heard of the long queues at the start of a burst refused everything
// for seconds after.
const (
	prior            = 0.25
	reportHalfLife   = 500 * time.Millisecond
	foremostHalfLife = 200 * time.Millisecond
)

// age reduces the wait of a part by the age of the report.
func (a *Ask) age(p *Part) {
	halfLife := reportHalfLife
	if a.Foremost {
		halfLife = foremostHalfLife
	}
	weight := math.Exp2(-float64(p.Age) / float64(halfLife))
	p.Wait = time.Duration(float64(p.Wait) * weight / (weight + prior) * (1 + prior))
}

// needed returns what the last pool that the answer needs is expected to take. The
// slowest pools beyond those are left out: the answer can do without them.
func (a *Ask) needed() Part {
	mean, free, heard := time.Duration(0), 0.0, 0
	for i := range a.Parts {
		p := &a.Parts[i]
		if p.Wait < Never {
			a.age(p)
			mean, free, heard = mean+p.Wait, free+p.Free, heard+1
		}
	}
	if mean == 0 && heard == len(a.Parts) || a.MinParts < 1 || a.MinParts > len(a.Parts) {
		return Part{}
	}
	mean /= time.Duration(max(heard, 1))
	free /= float64(max(heard, 1))
	for i := range a.Parts {
		if p := &a.Parts[i]; p.Wait < Never {
			p.Wait = mean + time.Duration(ownWeight*float64(p.Wait-mean))
			p.Free = free + ownWeight*(p.Free-free)
		}
	}
	slices.SortFunc(a.Parts, func(x, y Part) int { return int(min(max(x.Wait-y.Wait, -1), 1)) })
	return a.Parts[a.MinParts-1]
}

// refusedShare returns the share of such requests that is refused.
func (a *Ask) refusedShare(p Part) float64 {
	if p.Wait+p.Exec > a.Left {
		return 1
	}
	level := min(max(a.Level, 0), maxLevel)
	span := min(a.Left, time.Duration(lateShare*float64(a.Aim)))
	if level > 0 && a.Strictest > 0 {
		span = min(span, a.Strictest)
	}
	span = max(span-p.Exec, span/4) // an execution alone may take longer than the objective
	if span <= 0 {
		return 1
	}
	x := float64(p.Wait) / float64(span) / a.worth()
	r := ramps[level]
	if level == 0 && !a.Foremost {
		r = aloneRamp
	}
	return r.at(x) * (1 - freeRamp.at(p.Free))
}

// worth returns the expected value of the answer, as a share of that of a whole one. The
// value of a query's answer is proportional to the square of the share of its parts.
// Requests for less valuable answers give way earlier.
func (a *Ask) worth() float64 {
	in := 0
	for _, p := range a.Parts {
		if p.Wait+p.Exec <= a.Aim {
			in++
		}
	}
	return math.Pow(float64(max(in, a.MinParts))/float64(len(a.Parts)), 2)
}

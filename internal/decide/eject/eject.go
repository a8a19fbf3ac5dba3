package eject

import (
	"math/rand/v2"
	"time"
)

const (
	// MaxShare bounds the replicas of a shard that are left out.
	MaxShare = 0.5
	// slowFactor is how much slower than the median of the others a replica
	// is when it is left out; fastFactor is when it is taken back.
	slowFactor = 3.0
	fastFactor = 1.8
	// floor is added to the times, so that jitter of very short runs is no
	// slowness.
	floor = time.Millisecond
	// minRuns is the number of runs that a judgement needs.
	minRuns = 8
	// weight is the weight of one run in the learned time, which starts as
	// a plain mean.
	weight = 1.0 / 16
	// outFor and maxOutFor bound the time that a replica is left out before
	// it is tried again; it doubles with each failed trial.
	outFor    = 2 * time.Second
	maxOutFor = 30 * time.Second
	// trialGap is the time between the first runs of a trial, so that a
	// replica which is still slow delays few queries.
	trialGap = 50 * time.Millisecond
	// trialShare is the share of requests that a replica on trial gets after
	// these; trialGrow multiplies it with every good run, up to all.
	trialShare = 0.05
	trialGrow  = 1.2
	// trialRuns is the number of runs that judge a trial, and sureRuns the
	// number of runs in a row at which a replica must be slow.
	trialRuns = 3
	sureRuns  = 4
	// lossWeight is the weight of one run in the share of runs given up, and
	// maxLoss the share from which a replica counts as slow.
	lossWeight = 1.0 / 8
	maxLoss    = 0.5
)

// phase is where a replica stands.
type phase uint8

const (
	in phase = iota
	out
	trial
)

// member is the evidence about one replica.
type member struct {
	time  float64 // nanoseconds; smoothed
	runs  int
	phase phase
	until time.Time     // out: the end of the pause
	pause time.Duration // the next pause
	share float64       // trial: share of requests that it gets
	next  time.Time     // trial: when the next of the first runs may go
	over  int           // runs in a row at which it was slow
	loss  float64       // smoothed share of runs that were given up
	lost  int           // runs of a trial that were given up
	told  float64       // the owner's word on loss, from the runs of all askers
}

// Group holds the replicas of one shard. It is not safe for concurrent use.
type Group struct {
	members []member
	others  []float64 // scratch space of medianOf
}

// NewGroup returns a group of n replicas that nothing is known of.
func NewGroup(n int) *Group {
	g := &Group{members: make([]member, n), others: make([]float64, 0, n)}
	for i := range g.members {
		g.members[i].pause = outFor
	}
	return g
}

// Reset forgets replica i: another server has taken its place.
func (g *Group) Reset(i int) { g.members[i] = member{pause: outFor} }

// Latency is the learned time of a run at replica i, 0 if unknown.
func (g *Group) Latency(i int) time.Duration { return time.Duration(g.members[i].time) }

// Observe takes the time of a run at replica i. That of a run that was given
// up is a lower bound: complete is false, and it never lowers what is known.
func (g *Group) Observe(now time.Time, i int, took time.Duration, complete bool) {
	m := &g.members[i]
	x := float64(took)
	m.runs++
	if complete || x > m.time {
		m.time += (x - m.time) * max(weight, 1/float64(m.runs))
	}
	m.lose(complete)
	g.judge(now, i, complete)
}

// lose notes whether a run was given up, as those that lose to a hedge are.
func (m *member) lose(complete bool) {
	given := 0.0
	if !complete {
		given = 1
		m.lost++
	}
	m.loss += (given - m.loss) * lossWeight
}

// SetReportedAbandonRate takes in the share of runs given up at replica i as its owner sees it,
// which shows a straggler sooner than the runs of one asker.
func (g *Group) SetReportedAbandonRate(i int, loss float64) { g.members[i].told = loss }

// lossNow is the share of runs given up. The owner's word does not count on
// trial, since it still stands for the runs before.
func (m *member) lossNow() float64 {
	if m.phase == trial {
		return m.loss
	}
	return max(m.loss, m.told)
}

// losing reports whether m loses most runs while its siblings don't. With hedges
// the time of a straggler's runs is cut off at the time of the hedge's answer, so
// it may never show.
func (g *Group) losing(m *member) bool {
	if m.lossNow() < maxLoss {
		return false
	}
	for i := range g.members {
		o := &g.members[i]
		if o != m && o.phase == in && o.lossNow() < maxLoss/2 {
			return true
		}
	}
	return false
}

// Allowed reports whether replica i may be chosen now.
func (g *Group) Allowed(now time.Time, i int, rng *rand.Rand) bool {
	m := &g.members[i]
	switch m.phase {
	case out:
		if now.Before(m.until) {
			return false
		}
		m.phase = trial
		m.share = trialShare
		m.runs, m.lost = 0, 0 // the trial is judged by its own runs
		m.next = now
		return m.mayTry(now, rng)
	case trial:
		return m.mayTry(now, rng)
	}
	return true
}

// mayTry spaces the first runs of a trial, and shares out those after them.
func (m *member) mayTry(now time.Time, rng *rand.Rand) bool {
	if m.runs >= trialRuns {
		return rng.Float64() < m.share
	}
	if now.Before(m.next) {
		return false
	}
	m.next = now.Add(trialGap)
	return true
}

// Probing reports whether replica i gets a part of its requests to show that
// it is no straggler any more.
func (g *Group) Probing(i int) bool { return g.members[i].phase == trial }

// judge moves replica i between its phases after a run.
func (g *Group) judge(now time.Time, i int, complete bool) {
	m := &g.members[i]
	median, known := g.medianOf(m)
	if !known {
		return
	}
	r := ratio(m.time, median)
	if r <= slowFactor && !g.losing(m) {
		m.over = 0
	} else {
		m.over++
	}
	switch {
	case m.phase == trial:
		g.judgeTrial(now, m, r, complete)
	case m.phase == in && m.runs >= minRuns && m.over >= sureRuns && (g.mayLeaveOut() || g.takeBackFor(now, m)):
		m.phase = out
		m.until = now.Add(m.pause)
	}
}

func (g *Group) judgeTrial(now time.Time, m *member, r float64, complete bool) {
	switch {
	case (r > slowFactor || m.lost == m.runs) && m.runs >= trialRuns:
		m.phase = out
		m.pause = min(2*m.pause, maxOutFor)
		m.until = now.Add(m.pause)
	case r > slowFactor || !complete:
	case m.share < 1 && !g.losing(m):
		m.share = min(m.share*trialGrow, 1)
	case r < fastFactor && m.runs >= minRuns:
		m.phase = in
		m.pause = outFor
	}
}

func ratio(x, median float64) float64 {
	return (x + float64(floor)) / (median + float64(floor))
}

// mayLeaveOut reports whether one more replica can be spared.
func (g *Group) mayLeaveOut() bool {
	n := 0
	for i := range g.members {
		if g.members[i].phase != in {
			n++
		}
	}
	return float64(n+1) <= MaxShare*float64(len(g.members))
}

// takeBackFor ends the trial of a replica that has been much faster than m, so
// that m can be left out in its place. Without one, trials begin at once.
func (g *Group) takeBackFor(now time.Time, m *member) bool {
	for i := range g.members {
		o := &g.members[i]
		if o.phase == out && o.until.After(now) {
			o.until = now
		}
		if o.phase == trial && o.runs >= trialRuns && ratio(m.time, o.time) > slowFactor {
			o.phase = in
			o.pause = outFor
			return true
		}
	}
	return false
}

// medianOf is the median of the learned times of the replicas other than m. It
// needs a few steps: a shard has few replicas, kept in order by
// insertion.
func (g *Group) medianOf(m *member) (float64, bool) {
	g.others = g.others[:0]
	for i := range g.members {
		o := &g.members[i]
		if o == m || o.runs < minRuns {
			continue
		}
		j := len(g.others)
		g.others = append(g.others, o.time)
		for ; j > 0 && g.others[j-1] > o.time; j-- {
			g.others[j] = g.others[j-1]
		}
		g.others[j] = o.time
	}
	n := len(g.others)
	if n == 0 {
		return 0, false
	}
	return g.others[(n-1)/2], true
}

package eject

import (
	"math/rand/v2"
	"time"
)

const (
	// MaxShare limits the replicas of a shard that are ejected or probing.
	MaxShare = 0.5
	// slowFactor is how much slower than the median of the others a replica has
	// to be to be ejected; below fastFactor it returns to service.
	slowFactor = 3.0
	fastFactor = 1.8
	// floor is added to the latencies, so that jitter of very short executions
	// doesn't count as slowness.
	floor = time.Millisecond
	// minAttempts is the number of attempts that a decision needs.
	minAttempts = 8
	// weight is the weight of one attempt in the smoothed latency, which starts as
	// a plain mean.
	weight = 1.0 / 16
	// minEjection and maxEjection bound the time until an ejected replica is
	// probed; it doubles with each failed probe phase.
	minEjection = 2 * time.Second
	maxEjection = 30 * time.Second
	// probeInterval is the time between the first probes, so that a replica which
	// is still slow delays few queries.
	probeInterval = 50 * time.Millisecond
	// probeShare is the share of requests that a probing replica gets after these;
	// probeGrowth multiplies it with every good attempt, up to all.
	probeShare  = 0.05
	probeGrowth = 1.2
	// minProbes is the number of probes that a decision needs, and slowInRow the
	// number of attempts in a row at which a replica must be slow to be ejected.
	minProbes = 3
	slowInRow = 4
	// abandonWeight is the weight of one attempt in the abandon rate, and
	// maxAbandonRate the rate from which a replica counts as slow.
	abandonWeight  = 1.0 / 8
	maxAbandonRate = 0.5
)

// phase is the state of a replica in its group.
type phase uint8

const (
	active phase = iota
	ejected
	probing
)

// member holds the observations of one replica.
type member struct {
	latency      float64 // nanoseconds; smoothed
	attempts     int     // observed; counted anew when probes begin
	phase        phase
	ejectedUntil time.Time
	ejection     time.Duration // duration of the next ejection
	share        float64       // probing: share of requests that it gets
	nextProbe    time.Time     // probing: when the next of the first probes may be sent
	slowCount    int           // attempts in a row at which it was slow
	abandonRate  float64       // smoothed share of attempts that were abandoned
	abandoned    int           // abandoned ones among attempts
	reportedRate float64       // abandon rate reported by the owner, from the attempts of all entry processes
}

// Group holds the replicas of one shard. It is not safe for concurrent use.
type Group struct {
	members []member
	others  []float64 // scratch space of medianOf
}

// NewGroup returns a group of n replicas without observations.
func NewGroup(n int) *Group {
	g := &Group{members: make([]member, n), others: make([]float64, 0, n)}
	for i := range g.members {
		g.members[i].ejection = minEjection
	}
	return g
}

// Reset discards the observations of replica i, after another server has taken
// its place.
func (g *Group) Reset(i int) { g.members[i] = member{ejection: minEjection} }

// Latency returns the smoothed latency of replica i, 0 if unknown.
func (g *Group) Latency(i int) time.Duration { return time.Duration(g.members[i].latency) }

// Observe records the latency of an attempt at replica i. For an abandoned
// attempt, complete is false; its latency is a lower bound and never lowers the
// smoothed latency.
func (g *Group) Observe(now time.Time, i int, took time.Duration, complete bool) {
	m := &g.members[i]
	x := float64(took)
	m.attempts++
	if complete || x > m.latency {
		m.latency += (x - m.latency) * max(weight, 1/float64(m.attempts))
	}
	m.observeAbandoned(complete)
	g.update(now, i, complete)
}

// observeAbandoned records whether an attempt was abandoned, as those whose hedge
// wins are.
func (m *member) observeAbandoned(complete bool) {
	abandoned := 0.0
	if !complete {
		abandoned = 1
		m.abandoned++
	}
	m.abandonRate += (abandoned - m.abandonRate) * abandonWeight
}

// SetReportedAbandonRate records the abandon rate of replica i as its owner
// reports it, which shows a straggler sooner than the attempts of one entry
// process.
func (g *Group) SetReportedAbandonRate(i int, rate float64) { g.members[i].reportedRate = rate }

// currentAbandonRate returns the share of attempts that are abandoned. The
// reported rate is ignored while probing, because it still reflects the attempts
// from before.
func (m *member) currentAbandonRate() float64 {
	if m.phase == probing {
		return m.abandonRate
	}
	return max(m.abandonRate, m.reportedRate)
}

// mostlyAbandoned reports whether most attempts at m are abandoned while those at
// another active replica aren't. With hedges, the latency of a straggler is cut
// off when the hedge answers, so the latency alone may never show it.
func (g *Group) mostlyAbandoned(m *member) bool {
	if m.currentAbandonRate() < maxAbandonRate {
		return false
	}
	for i := range g.members {
		o := &g.members[i]
		if o != m && o.phase == active && o.currentAbandonRate() < maxAbandonRate/2 {
			return true
		}
	}
	return false
}

// Allowed reports whether replica i may be chosen now.
func (g *Group) Allowed(now time.Time, i int, rng *rand.Rand) bool {
	m := &g.members[i]
	switch m.phase {
	case ejected:
		if now.Before(m.ejectedUntil) {
			return false
		}
		m.phase = probing
		m.share = probeShare
		m.attempts, m.abandoned = 0, 0 // only attempts from now on decide
		m.nextProbe = now
		return m.allowProbe(now, rng)
	case probing:
		return m.allowProbe(now, rng)
	}
	return true
}

// allowProbe reports whether a probing replica may be chosen now: its first
// probes at intervals, then its share of the requests.
func (m *member) allowProbe(now time.Time, rng *rand.Rand) bool {
	if m.attempts >= minProbes {
		return rng.Float64() < m.share
	}
	if now.Before(m.nextProbe) {
		return false
	}
	m.nextProbe = now.Add(probeInterval)
	return true
}

// Probing reports whether replica i gets only probes, or a share of its requests,
// after an ejection.
func (g *Group) Probing(i int) bool { return g.members[i].phase == probing }

// update changes the phase of replica i after an attempt.
func (g *Group) update(now time.Time, i int, complete bool) {
	m := &g.members[i]
	median, known := g.medianOf(m)
	if !known {
		return
	}
	r := ratio(m.latency, median)
	if r <= slowFactor && !g.mostlyAbandoned(m) {
		m.slowCount = 0
	} else {
		m.slowCount++
	}
	switch {
	case m.phase == probing:
		g.updateProbing(now, m, r, complete)
	case m.phase == active && m.attempts >= minAttempts && m.slowCount >= slowInRow && (g.canEject() || g.restoreFasterThan(now, m)):
		m.phase = ejected
		m.ejectedUntil = now.Add(m.ejection)
	}
}

// updateProbing changes the phase or the share of a probing replica after an
// attempt. r is its latency over the median of the others.
func (g *Group) updateProbing(now time.Time, m *member, r float64, complete bool) {
	switch {
	case (r > slowFactor || m.abandoned == m.attempts) && m.attempts >= minProbes:
		m.phase = ejected
		m.ejection = min(2*m.ejection, maxEjection)
		m.ejectedUntil = now.Add(m.ejection)
	case r > slowFactor || !complete:
	case m.share < 1 && !g.mostlyAbandoned(m):
		m.share = min(m.share*probeGrowth, 1)
	case r < fastFactor && m.attempts >= minAttempts:
		m.phase = active
		m.ejection = minEjection
	}
}

func ratio(x, median float64) float64 {
	return (x + float64(floor)) / (median + float64(floor))
}

// canEject reports whether one more replica may be ejected within MaxShare.
func (g *Group) canEject() bool {
	n := 0
	for i := range g.members {
		if g.members[i].phase != active {
			n++
		}
	}
	return float64(n+1) <= MaxShare*float64(len(g.members))
}

// restoreFasterThan returns a probing replica that is much faster than m to
// service, so that m can be ejected in its place, and reports whether there was
// one. It also ends the ejections of the replicas that it visits before, so that
// their probes begin at once.
func (g *Group) restoreFasterThan(now time.Time, m *member) bool {
	for i := range g.members {
		o := &g.members[i]
		if o.phase == ejected && o.ejectedUntil.After(now) {
			o.ejectedUntil = now
		}
		if o.phase == probing && o.attempts >= minProbes && ratio(m.latency, o.latency) > slowFactor {
			o.phase = active
			o.ejection = minEjection
			return true
		}
	}
	return false
}

// medianOf returns the median latency of the replicas other than m. A shard has
// few replicas, so they are sorted by insertion.
func (g *Group) medianOf(m *member) (float64, bool) {
	g.others = g.others[:0]
	for i := range g.members {
		o := &g.members[i]
		if o == m || o.attempts < minAttempts {
			continue
		}
		j := len(g.others)
		g.others = append(g.others, o.latency)
		for ; j > 0 && g.others[j-1] > o.latency; j-- {
			g.others[j] = g.others[j-1]
		}
		g.others[j] = o.latency
	}
	n := len(g.others)
	if n == 0 {
		return 0, false
	}
	return g.others[(n-1)/2], true
}

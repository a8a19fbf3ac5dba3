package reach

import (
	"maps"
	"time"
)

const (
	// quietAll and quietPool are the times without a sign of any replica, and of any
	// replica of a pool, after which the VM may be cut off from them. All replicas of a
	// pool may be slow together, so a pool takes longer.
	quietAll  = 400 * time.Millisecond
	quietPool = time.Second
	// poolInterval is the time between two judgements of the pools, which cost more.
	poolInterval = 500 * time.Millisecond
	// minTroubled is the number of replicas that must fail, if there are as many.
	minTroubled = 3
	// minHeard is the number of replicas that must be heard within heardTime, if there
	// are as many, before a cut from all replicas counts as ended.
	minHeard  = 2
	heardTime = time.Second
	// refusalAge is how long a connection that could not be opened counts, unless its pool
	// is degraded.
	refusalAge = 5 * time.Second
	// settleTime is the time after a pause of the process in which nothing is judged:
	// answers that came meanwhile have not been read.
	settleTime = 500 * time.Millisecond
	// minHold and maxHold bound the time for which a cut holds at least. It doubles
	// when a cut begins again within relapseTime of the end of the one before, so that
	// links that come and go don't take each request with them.
	minHold     = 500 * time.Millisecond
	maxHold     = 8 * time.Second
	relapseTime = 10 * time.Second
)

// Replica is one replica with its path and the connections to it.
type Replica struct {
	Pool string
	Path *Path
	Way  Way
}

// Cuts is what a VM seems to be cut off from.
type Cuts struct {
	All   bool            // all replicas
	Since time.Time       // with All: last sign of any replica before
	Began time.Time       // with All: when that was judged
	Heard bool            // with All: some replica was heard lately
	Pools map[string]bool // pools of which it hears no replica, if not All
	// Degraded is the pools, if not All, to most of whose replicas it can open no
	// connection, though replicas of them may be heard on open ones.
	Degraded map[string]bool
}

// Any reports whether the VM can't send to replicas as usual.
func (c Cuts) Any() bool { return c.All || len(c.Pools) > 0 || len(c.Degraded) > 0 }

// Has reports whether the VM seems to be cut off from a pool.
func (c Cuts) Has(pool string) bool { return c.All || c.Pools[pool] }

// Impaired reports whether the VM can't send to a pool as usual: it seems to be cut off
// from it, or the pool is degraded.
func (c Cuts) Impaired(pool string) bool { return c.Has(pool) || c.Degraded[pool] }

// Machine judges the paths to all replicas. It is not safe for concurrent use.
type Machine struct {
	cuts     Cuts
	endedAt  time.Time // of the last cut from all
	hold     time.Duration
	pausedAt time.Time
	poolsAt  time.Time // when the pools were last judged
}

// Paused records that the process has run again since now, after a pause.
func (m *Machine) Paused(now time.Time) { m.pausedAt = now }

// Cuts returns what the VM seemed to be cut off from at the last judgement.
func (m *Machine) Cuts() Cuts { return m.cuts }

// Judge judges the paths and reports whether the cuts have changed.
func (m *Machine) Judge(now time.Time, replicas []Replica) bool {
	if now.Sub(m.pausedAt) < settleTime {
		return false
	}
	if m.cuts.All {
		return m.judgeEnd(now, replicas)
	}
	heard, troubled := signs(now, replicas)
	if len(replicas) > 0 && now.Sub(heard) >= quietAll && troubled >= min(minTroubled, len(replicas)) {
		m.begin(now, heard)
		return true
	}
	degraded := m.judgeDegraded(now, replicas)
	changed := !maps.Equal(degraded, m.cuts.Degraded)
	m.cuts.Degraded = degraded
	return m.judgePools(now, replicas) || changed
}

// signs returns the last sign of any of the replicas, and the number of those of which
// an attempt failed or is overdue that was sent after it.
func signs(now time.Time, replicas []Replica) (heard time.Time, troubled int) {
	for _, r := range replicas {
		if r.Path.heardAt.After(heard) {
			heard = r.Path.heardAt
		}
	}
	for _, r := range replicas {
		if r.Path.troubled(now, heard) {
			troubled++
		}
	}
	return heard, troubled
}

// begin begins a cut from all replicas.
func (m *Machine) begin(now, heard time.Time) {
	hold := minHold
	if now.Sub(m.endedAt) < relapseTime {
		hold = min(2*m.hold, maxHold)
	}
	m.hold = hold
	m.cuts = Cuts{All: true, Since: heard, Began: now}
}

// judgeEnd ends a cut from all replicas when some are heard again.
func (m *Machine) judgeEnd(now time.Time, replicas []Replica) bool {
	heard := 0
	for _, r := range replicas {
		if r.Path.heardAt.After(m.cuts.Began) && now.Sub(r.Path.heardAt) <= heardTime {
			heard++
		}
	}
	m.cuts.Heard = heard > 0
	if heard < min(minHeard, len(replicas)) || now.Sub(m.cuts.Began) < m.hold {
		return false
	}
	m.cuts, m.endedAt = Cuts{}, now
	for _, r := range replicas {
		r.Path.failedSent = time.Time{} // shows nothing of the time after the cut
	}
	return true
}

// judgePools judges the pools one by one.
func (m *Machine) judgePools(now time.Time, replicas []Replica) bool {
	if now.Sub(m.poolsAt) < poolInterval {
		return false
	}
	m.poolsAt = now
	byPool := map[string][]Replica{}
	for _, r := range replicas {
		byPool[r.Pool] = append(byPool[r.Pool], r)
	}
	var cut map[string]bool
	for pool, of := range byPool {
		heard, troubled := signs(now, of)
		if now.Sub(heard) >= quietPool && troubled >= min(minTroubled, len(of)) {
			if cut == nil {
				cut = map[string]bool{}
			}
			cut[pool] = true
		}
	}
	changed := !maps.Equal(cut, m.cuts.Pools)
	m.cuts.Pools = cut
	return changed
}

package snapshot

import (
	"cmp"
	"slices"
)

// HeldShard is one shard of a snapshot that a replica reports to hold.
type HeldShard struct {
	Snapshot   uint64
	Lo, Hi     uint32 // key range [Lo, Hi)
	Shard      uint32
	ShardCount uint32
}

// Shard is one shard of a snapshot's shard map with the replicas that hold it.
type Shard struct {
	Index    uint32
	Lo, Hi   uint32
	Replicas []string // ordered by ID; empty: no replica reports the shard
}

// Map is the shard map of one snapshot of one pool.
type Map struct {
	Pool     string
	Snapshot uint64
	Shards   []Shard // ordered by Index
}

// CoveredShards returns the number of shards that at least one replica holds.
func (m *Map) CoveredShards() int {
	n := 0
	for i := range m.Shards {
		if len(m.Shards[i].Replicas) > 0 {
			n++
		}
	}
	return n
}

// Index holds the shard maps of one pool by snapshot. It is immutable.
type Index struct {
	pool string
	maps []*Map // ordered by snapshot, newest first
}

// Report lists the shards that one replica holds.
type Report struct {
	Replica string
	Shards  []HeldShard
}

// mapKey identifies a candidate map of a snapshot. Reports with different shard
// counts belong to different maps.
type mapKey struct {
	snapshot uint64
	count    uint32
}

// NewIndex builds the shard maps of a pool from its replicas' reports. It ignores
// invalid reports, and keeps the map that covers most of each snapshot.
func NewIndex(pool string, reports []Report) *Index {
	groups := map[mapKey][]replicaShard{}
	for _, r := range reports {
		for _, h := range r.Shards {
			if h.ShardCount == 0 || h.Shard >= h.ShardCount || h.Lo >= h.Hi || h.Hi > keySpace || h.ShardCount > maxShards {
				continue
			}
			k := mapKey{h.Snapshot, h.ShardCount}
			groups[k] = append(groups[k], replicaShard{replica: r.Replica, held: h})
		}
	}
	best := map[uint64]*Map{}
	for k, list := range groups {
		m := buildMap(pool, k, list)
		old := best[k.snapshot]
		if old == nil || m.coversMore(old) {
			best[k.snapshot] = m
		}
	}
	x := &Index{pool: pool}
	for _, m := range best {
		x.maps = append(x.maps, m)
	}
	slices.SortFunc(x.maps, func(a, b *Map) int { return cmp.Compare(b.Snapshot, a.Snapshot) })
	return x
}

// The limits of a valid report.
const (
	keySpace  = 1 << 16
	maxShards = 1 << 12
)

// replicaShard is a held shard with the replica that reports it.
type replicaShard struct {
	replica string
	held    HeldShard
}

// coversMore reports whether m is preferred to o, another map of the same
// snapshot: the one with the larger share of covered shards, then the one with
// more shards.
func (m *Map) coversMore(o *Map) bool {
	a, b := m.CoveredShards()*len(o.Shards), o.CoveredShards()*len(m.Shards)
	if a != b {
		return a > b
	}
	return len(m.Shards) > len(o.Shards)
}

// buildMap builds the map of one snapshot and shard count from the reports for
// it.
func buildMap(pool string, k mapKey, list []replicaShard) *Map {
	slices.SortFunc(list, func(a, b replicaShard) int {
		return cmp.Or(cmp.Compare(a.held.Shard, b.held.Shard), cmp.Compare(a.replica, b.replica))
	})
	m := &Map{Pool: pool, Snapshot: k.snapshot, Shards: make([]Shard, k.count)}
	for i := range m.Shards {
		m.Shards[i].Index = uint32(i)
	}
	for len(list) > 0 {
		n := 1
		for n < len(list) && list[n].held.Shard == list[0].held.Shard {
			n++
		}
		fillShard(&m.Shards[list[0].held.Shard], list[:n])
		list = list[n:]
	}
	m.dropOverlaps()
	m.estimateMissing()
	return m
}

// fillShard sets the range that most replicas report for a shard, and the
// replicas that report it. Replicas that report another range are left out.
func fillShard(s *Shard, list []replicaShard) {
	votes := 0
	for _, e := range list {
		n := 0
		for _, o := range list {
			if o.held.Lo == e.held.Lo && o.held.Hi == e.held.Hi {
				n++
			}
		}
		if n > votes {
			votes = n
			s.Lo, s.Hi = e.held.Lo, e.held.Hi
		}
	}
	for _, e := range list {
		if e.held.Lo == s.Lo && e.held.Hi == s.Hi {
			s.Replicas = append(s.Replicas, e.replica)
		}
	}
}

// dropOverlaps removes the replicas of shards whose range overlaps that of an
// earlier shard, so that no key is counted twice. It visits covered shards only
// and finds the neighbours of each by binary search. It returns the number of
// ranges compared.
func (m *Map) dropOverlaps() (compared int) {
	kept := make([]uint32, 0, m.CoveredShards()) // shard indexes without overlaps, ordered by Lo
	for i := range m.Shards {
		s := &m.Shards[i]
		if len(s.Replicas) == 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(kept, s.Lo, func(o, lo uint32) int {
			compared++
			return cmp.Compare(m.Shards[o].Lo, lo)
		})
		compared += 2
		if at > 0 && m.Shards[kept[at-1]].Hi > s.Lo || at < len(kept) && m.Shards[kept[at]].Lo < s.Hi {
			s.Replicas = nil
			s.Lo, s.Hi = 0, 0
			continue
		}
		kept = slices.Insert(kept, at, s.Index)
	}
	return compared
}

// estimateMissing sets the ranges of shards that no replica holds, by dividing
// the range between their covered neighbours evenly. The missing ranges reported
// to callers come from it.
func (m *Map) estimateMissing() {
	for i := 0; i < len(m.Shards); {
		if len(m.Shards[i].Replicas) > 0 {
			i++
			continue
		}
		j := i
		for j < len(m.Shards) && len(m.Shards[j].Replicas) == 0 {
			j++
		}
		lo, hi := uint32(0), uint32(keySpace)
		if i > 0 {
			lo = m.Shards[i-1].Hi
		}
		if j < len(m.Shards) {
			hi = max(lo, m.Shards[j].Lo)
		}
		for n := i; n < j; n++ {
			m.Shards[n].Lo = lo + uint32(uint64(hi-lo)*uint64(n-i)/uint64(j-i))
			m.Shards[n].Hi = lo + uint32(uint64(hi-lo)*uint64(n-i+1)/uint64(j-i))
		}
		i = j
	}
}

// Map returns the shard map of a snapshot, or nil.
func (x *Index) Map(snapshot uint64) *Map {
	if x == nil {
		return nil
	}
	i, ok := slices.BinarySearchFunc(x.maps, snapshot, func(m *Map, s uint64) int { return cmp.Compare(s, m.Snapshot) })
	if !ok {
		return nil
	}
	return x.maps[i]
}

package snapshot

import "slices"

// Pool is one pool of a route. TableShards is the number of shards by the tables,
// used when no replica holds the snapshot.
type Pool struct {
	Name        string
	Index       *Index
	TableShards int
}

// Pinned is the snapshot that a query reads, with one map per pool in the order
// of the pools. Covered of Total shards have a replica.
type Pinned struct {
	Snapshot uint64
	Maps     []*Map
	Covered  int
	Total    int
}

// Full reports whether every shard has a replica.
func (p *Pinned) Full() bool { return p.Covered == p.Total }

// Pin returns the newest snapshot for which every shard of every pool has a
// replica, else the one with the largest share of covered shards, the newest
// among equals. It returns nil when no replica holds a snapshot.
func Pin(pools []Pool) *Pinned { return PinAbove(0, pools) }

// PinAbove is like Pin, but considers only snapshots newer than floor.
func PinAbove(floor uint64, pools []Pool) *Pinned {
	var best *Pinned
	for _, s := range candidates(floor, pools) {
		p := pinned(s, pools)
		if p.Full() {
			return p
		}
		if best == nil || p.Covered*best.Total > best.Covered*p.Total {
			best = p
		}
	}
	return best
}

// candidates returns the snapshots of all pools above floor, newest first.
func candidates(floor uint64, pools []Pool) []uint64 {
	var out []uint64
	for _, p := range pools {
		if p.Index == nil {
			continue
		}
		for _, m := range p.Index.maps {
			if m.Snapshot > floor {
				out = append(out, m.Snapshot)
			}
		}
	}
	slices.Sort(out)
	out = slices.Compact(out)
	slices.Reverse(out)
	return out
}

// pinned returns the maps and the coverage of snapshot s.
func pinned(s uint64, pools []Pool) *Pinned {
	p := &Pinned{Snapshot: s}
	for _, pool := range pools {
		m := pool.Index.Map(s)
		if m == nil {
			m = emptyMap(pool, s)
		}
		p.Maps = append(p.Maps, m)
		p.Covered += m.CoveredShards()
		p.Total += len(m.Shards)
	}
	return p
}

// emptyMap returns the map of a pool in which no replica holds the snapshot.
func emptyMap(pool Pool, s uint64) *Map {
	m := &Map{Pool: pool.Name, Snapshot: s, Shards: make([]Shard, max(pool.TableShards, 1))}
	for i := range m.Shards {
		m.Shards[i].Index = uint32(i)
	}
	m.estimateMissing()
	return m
}

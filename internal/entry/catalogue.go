package entry

import (
	"sync"

	"github.com/sapphirewall/sapphirewall/internal/decide/eject"
	"github.com/sapphirewall/sapphirewall/internal/decide/snapshot"
	"github.com/sapphirewall/sapphirewall/internal/fleetstate"
	"github.com/sapphirewall/sapphirewall/internal/tables"
)

// catalogue is the input of planning, built from one fleetstate.State and the
// holdings at that time. It is immutable except for its caches, and safe for
// concurrent use.
type catalogue struct {
	state    *fleetstate.State
	owners   *owners
	controls *controls
	replicas map[string]*replica
	indexes  map[string]*snapshot.Index // by pool; eligible replicas only
	pins     sync.Map                   // route name to *snapshot.Pinned
}

// newCatalogue builds a catalogue and reuses the unchanged parts of old. changed
// holds the pools whose holdings have changed; it must hold all pools if state is
// not that of old.
func newCatalogue(old *catalogue, state *fleetstate.State, changed map[string]poolHoldings) *catalogue {
	c := &catalogue{state: state, indexes: map[string]*snapshot.Index{}, replicas: map[string]*replica{}}
	sameState := old != nil && old.state == state
	if sameState {
		c.owners, c.controls = old.owners, old.controls
		c.replicas = old.replicas
	} else {
		c.owners, c.controls = newOwners(state.Members), newControls(state.Members)
		c.addReplicas(old)
	}
	if state.Tables == nil {
		return c
	}
	for name, pool := range state.Tables.Pools {
		poolHeld, ok := changed[name]
		if sameState && !ok {
			c.indexes[name] = old.indexes[name]
			continue
		}
		c.indexes[name] = snapshot.NewIndex(name, reports(state, pool, poolHeld))
	}
	return c
}

// addReplicas adds the replicas of the tables, shard by shard. A shard with the
// same upstreams as in old keeps its observations.
func (c *catalogue) addReplicas(old *catalogue) {
	if c.state.Tables == nil {
		return
	}
	for _, pool := range c.state.Tables.Pools {
		shards := map[int][]*tables.Upstream{}
		for i := range pool.Upstreams {
			u := &pool.Upstreams[i]
			shards[u.Shard] = append(shards[u.Shard], u)
		}
		for _, upstreams := range shards {
			c.addShard(old, upstreams)
		}
	}
}

func (c *catalogue) addShard(old *catalogue, upstreams []*tables.Upstream) {
	if old != nil && old.hasShard(upstreams) {
		for _, u := range upstreams {
			c.replicas[u.ID] = old.replicas[u.ID]
		}
		return
	}
	g := &shardGroup{size: len(upstreams), group: eject.NewGroup(len(upstreams))}
	for i, u := range upstreams {
		c.replicas[u.ID] = &replica{id: u.ID, version: u.Version, zone: u.Zone, group: g, index: i}
	}
}

// hasShard reports whether the catalogue has a shard of exactly these upstreams.
func (c *catalogue) hasShard(upstreams []*tables.Upstream) bool {
	first := c.replicas[upstreams[0].ID]
	if first == nil || first.group.size != len(upstreams) {
		return false
	}
	for i, u := range upstreams {
		r := c.replicas[u.ID]
		if r == nil || r.group != first.group || r.index != i || r.zone != u.Zone || r.version != u.Version {
			return false
		}
	}
	return true
}

// reports returns the shards that the eligible replicas of a pool hold.
func reports(state *fleetstate.State, pool *tables.Pool, held poolHoldings) []snapshot.Report {
	var out []snapshot.Report
	for i := range pool.Upstreams {
		u := &pool.Upstreams[i]
		h, ok := held[u.ID]
		if !ok || h.unavailable || !isEligible(state, pool.Name, u) {
			continue
		}
		out = append(out, snapshot.Report{Replica: u.ID, Shards: h.shards})
	}
	return out
}

// isEligible reports whether an upstream may receive new requests: it is not
// draining, its zone is in service, and its version is not vetoed.
func isEligible(state *fleetstate.State, pool string, u *tables.Upstream) bool {
	if u.Draining || state.Draining[u.ID] || state.Tables.ZonesOutOfService[u.Zone] {
		return false
	}
	for i := range state.Vetoes {
		v := &state.Vetoes[i]
		if v.Pool == pool && v.Version == u.Version && v.AppliesTo(state.Tables) {
			return false
		}
	}
	return true
}

// pin returns the snapshot that a route's queries read, or nil if no replica holds
// one.
func (c *catalogue) pin(r *tables.Route) *snapshot.Pinned {
	if p, ok := c.pins.Load(r.Name); ok {
		return p.(*snapshot.Pinned)
	}
	p := snapshot.Pin(c.pools(r))
	c.pins.Store(r.Name, p)
	return p
}

// pinAbove pins a snapshot newer than floor from the current holdings h, with the
// tables and the membership of c.
func (c *catalogue) pinAbove(floor uint64, r *tables.Route, h *holdings) *snapshot.Pinned {
	pools := c.pools(r)
	for i := range pools {
		pool := c.state.Tables.Pools[pools[i].Name]
		pools[i].Index = snapshot.NewIndex(pool.Name, reports(c.state, pool, h.forPool(pool.Name)))
	}
	return snapshot.PinAbove(floor, pools)
}

// pools returns the pools of a route in the form that pinning needs.
func (c *catalogue) pools(r *tables.Route) []snapshot.Pool {
	out := make([]snapshot.Pool, 0, len(r.Pools))
	for _, name := range r.Pools {
		out = append(out, snapshot.Pool{Name: name, Index: c.indexes[name], TableShards: c.state.Tables.Pools[name].Shards})
	}
	return out
}

package egress

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/ownership"
	"github.com/sapphirewall/sapphirewall/internal/fleetstate"
	"github.com/sapphirewall/sapphirewall/internal/tables"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// rankedOwners is the number of ranked owners that may send to a replica: the
// first, and the second, which takes over while processes disagree about the
// members.
const rankedOwners = 2

// maxViewWait limits how long a poll of the view is held open.
const maxViewWait = 10 * time.Second

// replicaSet is the set of replicas that this process may send to.
type replicaSet struct {
	s *Service

	mu      sync.RWMutex // guards the fields below
	state   *fleetstate.State
	owned   map[string]*replica // this process is the first or second owner
	listed  map[string]bool     // IDs of all upstreams in the tables
	version uint64              // of the view that peers poll
	changed chan struct{}       // closed at the next change of version
}

func newReplicaSet(s *Service) *replicaSet {
	return &replicaSet{
		s: s, state: &fleetstate.State{}, owned: map[string]*replica{}, listed: map[string]bool{},
		version: s.incarnation, changed: make(chan struct{}),
	}
}

// update applies a new state. Replicas that this process no longer owns are
// closed; new ones start without any observations.
func (rs *replicaSet) update(st *fleetstate.State) {
	candidates := eligible(st)
	zones := map[string][]ownership.Candidate{}
	for _, c := range candidates {
		zones[c.Zone] = append(zones[c.Zone], c)
	}
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.state = st
	old := rs.owned
	rs.owned = map[string]*replica{}
	rs.listed = map[string]bool{}
	if st.Tables == nil {
		rs.closeAll(old)
		return
	}
	for _, p := range st.Tables.Pools {
		for i := range p.Upstreams {
			rs.addReplica(old, st, p, &p.Upstreams[i], ownerCandidates{candidates, zones})
		}
	}
	rs.closeAll(old)
	rs.publishLocked()
}

// addReplica creates the replica of u, or moves it from old if its address is
// unchanged, provided that this process is one of its ranked owners.
func (rs *replicaSet) addReplica(old map[string]*replica, st *fleetstate.State, p *tables.Pool, u *tables.Upstream, o ownerCandidates) {
	rs.listed[u.ID] = true
	rank := o.rankOf(rs.s.settings.Node.ID, rs.s.settings.Node.Zone, u)
	if rank < 0 {
		return
	}
	cfg := replicaConfig{
		id: u.ID, addr: u.Addr, zone: u.Zone, version: u.Version, shard: u.Shard, pool: p, firstOwner: rank == 0,
		draining: u.Draining || st.Draining[u.ID], zoneOut: st.Tables.ZonesOutOfService[u.Zone],
	}
	r := old[u.ID]
	if r != nil && r.config().addr == u.Addr {
		delete(old, u.ID)
		r.configure(cfg)
	} else {
		r = newReplica(rs.s, cfg)
	}
	rs.owned[u.ID] = r
}

func (rs *replicaSet) closeAll(old map[string]*replica) {
	for _, r := range old {
		r.close()
	}
}

// eligible returns the members that may own replicas.
func eligible(st *fleetstate.State) []ownership.Candidate {
	return fleetstate.Candidates(st.Members, fleetstate.EgressAddrOf)
}

// ownerCandidates are the members that may own replicas, in total and by
// availability zone.
type ownerCandidates struct {
	all   []ownership.Candidate
	zones map[string][]ownership.Candidate
}

// rankOf returns the rank of node among the owners of u, or -1. A replica of
// another availability zone is ranked only while that zone has no members,
// which saves the hashing for all other replicas of other zones.
func (o ownerCandidates) rankOf(node, zone string, u *tables.Upstream) int {
	candidates := o.zones[u.Zone]
	if len(candidates) == 0 {
		candidates = o.all
	} else if zone != u.Zone {
		return -1
	}
	for i, n := range ownership.Rank(u.ID, u.Zone, candidates, rankedOwners) {
		if n == node {
			return i
		}
	}
	return -1
}

// find returns the replica with the given ID, or nil if this process may not
// send to it, and whether the tables list the ID.
func (rs *replicaSet) find(id string) (r *replica, listed bool) {
	rs.mu.RLock()
	defer rs.mu.RUnlock()
	return rs.owned[id], rs.listed[id]
}

// all returns the replicas, ordered by ID.
func (rs *replicaSet) all() []*replica {
	rs.mu.RLock()
	defer rs.mu.RUnlock()
	out := make([]*replica, 0, len(rs.owned))
	for _, r := range rs.owned {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].id < out[j].id })
	return out
}

// publishLocked increments the version of the view and wakes the peers that
// poll it; rs.mu must be held.
func (rs *replicaSet) publishLocked() {
	rs.version++
	close(rs.changed)
	rs.changed = make(chan struct{})
}

// publish answers all waiting polls with the current view.
func (rs *replicaSet) publish() {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.publishLocked()
}

// awaitView answers at once unless the peer already has the current version. In
// that case it waits for a change, at most as long as the request allows.
func (rs *replicaSet) awaitView(ctx context.Context, req *swpb.ViewRequest) *swpb.ViewReply {
	wait := min(time.Duration(req.GetWaitUs())*time.Microsecond, maxViewWait)
	rs.mu.RLock()
	version, changed := rs.version, rs.changed
	rs.mu.RUnlock()
	if version == req.GetHave() && wait > 0 && !rs.s.stopping.Load() {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	return rs.viewReply()
}

func (rs *replicaSet) viewReply() *swpb.ViewReply {
	rs.mu.RLock()
	version := rs.version
	rs.mu.RUnlock()
	out := &swpb.ViewReply{Version: version, Suspects: rs.s.suspects.proto()}
	for _, r := range rs.all() {
		if r.config().firstOwner {
			out.Replicas = append(out.Replicas, r.view())
		}
	}
	return out
}

// close closes all replicas.
func (rs *replicaSet) close() {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.closeAll(rs.owned)
	rs.owned = map[string]*replica{}
}

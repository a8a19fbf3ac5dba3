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

// rankedOwners is how many of a replica's ranked owners may send to it: the
// first, and the second that takes over while views differ.
const rankedOwners = 2

// maxViewWait bounds a long poll of the view.
const maxViewWait = 10 * time.Second

// fleet is the set of replicas that this process may send to.
type fleet struct {
	s *Service

	mu       sync.RWMutex // guards the fields below
	state    *fleetstate.State
	replicas map[string]*replica // ranked first or second here
	known    map[string]bool     // every upstream ID of the tables
	version  uint64              // of the view told to peers
	changed  chan struct{}       // closed at the next change of version
}

func newFleet(s *Service) *fleet {
	return &fleet{
		s: s, state: &fleetstate.State{}, replicas: map[string]*replica{}, known: map[string]bool{},
		version: s.incarnation, changed: make(chan struct{}),
	}
}

// update takes a new state: replicas that this process no longer ranks for are
// let go, new ones start without any knowledge.
func (f *fleet) update(st *fleetstate.State) {
	candidates := eligible(st)
	zones := map[string][]ownership.Candidate{}
	for _, c := range candidates {
		zones[c.Zone] = append(zones[c.Zone], c)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state = st
	old := f.replicas
	f.replicas = map[string]*replica{}
	f.known = map[string]bool{}
	if st.Tables == nil {
		f.retire(old)
		return
	}
	for _, p := range st.Tables.Pools {
		for i := range p.Upstreams {
			f.adopt(old, st, p, &p.Upstreams[i], owners{candidates, zones})
		}
	}
	f.retire(old)
	f.bump()
}

// adopt keeps or makes the replica of u if this process ranks for it, and
// removes it from old.
func (f *fleet) adopt(old map[string]*replica, st *fleetstate.State, p *tables.Pool, u *tables.Upstream, o owners) {
	f.known[u.ID] = true
	rank := o.rankOf(f.s.settings.Node.ID, f.s.settings.Node.Zone, u)
	if rank < 0 {
		return
	}
	cfg := replicaConfig{
		id: u.ID, addr: u.Addr, zone: u.Zone, version: u.Version, shard: u.Shard, pool: p, first: rank == 0,
		leaving: u.Leaving || st.Draining[u.ID], zoneOut: st.Tables.ZonesOut[u.Zone],
	}
	r := old[u.ID]
	if r != nil && r.config().addr == u.Addr {
		delete(old, u.ID)
		r.configure(cfg)
	} else {
		r = newReplica(f.s, cfg)
	}
	f.replicas[u.ID] = r
}

func (f *fleet) retire(old map[string]*replica) {
	for _, r := range old {
		r.close()
	}
}

// eligible returns the members that may own replicas.
func eligible(st *fleetstate.State) []ownership.Candidate {
	return fleetstate.Candidates(st.Members, fleetstate.EgressAddrOf)
}

// owners are the members that may own replicas, all and by availability zone.
type owners struct {
	all   []ownership.Candidate
	zones map[string][]ownership.Candidate
}

// rankOf is the place of node among the owners of u, or -1. A replica of
// another availability zone is ranked only while its own has no member, which
// spares the hashing of all others.
func (o owners) rankOf(node, zone string, u *tables.Upstream) int {
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

// find returns the replica of an ID, and whether the tables name it at all.
func (f *fleet) find(id string) (r *replica, known bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.replicas[id], f.known[id]
}

// all returns the replicas, ordered by ID.
func (f *fleet) all() []*replica {
	f.mu.RLock()
	defer f.mu.RUnlock()
	out := make([]*replica, 0, len(f.replicas))
	for _, r := range f.replicas {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].id < out[j].id })
	return out
}

// bump tells the waiting peers of a change; f.mu is held.
func (f *fleet) bump() {
	f.version++
	close(f.changed)
	f.changed = make(chan struct{})
}

// wake answers all long polls.
func (f *fleet) wake() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bump()
}

// awaitView answers at once unless the asker has the current version; then it
// waits for a change or the end of the asker's patience.
func (f *fleet) awaitView(ctx context.Context, req *swpb.ViewRequest) *swpb.ViewReply {
	wait := min(time.Duration(req.GetWaitUs())*time.Microsecond, maxViewWait)
	f.mu.RLock()
	version, changed := f.version, f.changed
	f.mu.RUnlock()
	if version == req.GetHave() && wait > 0 && !f.s.stopping.Load() {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	return f.viewReply()
}

func (f *fleet) viewReply() *swpb.ViewReply {
	f.mu.RLock()
	version := f.version
	f.mu.RUnlock()
	out := &swpb.ViewReply{Version: version, Suspects: f.s.suspects.proto()}
	for _, r := range f.all() {
		if r.config().first {
			out.Replicas = append(out.Replicas, r.view())
		}
	}
	return out
}

// close lets all replicas go.
func (f *fleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retire(f.replicas)
	f.replicas = map[string]*replica{}
}

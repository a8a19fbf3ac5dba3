package control

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sapphirewall/sapphirewall/internal/decide/backoff"
	"github.com/sapphirewall/sapphirewall/internal/decide/drain"
	"github.com/sapphirewall/sapphirewall/internal/decide/membership"
	"github.com/sapphirewall/sapphirewall/internal/platform"
	"github.com/sapphirewall/sapphirewall/internal/telemetry"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// The times of reading the list of VMs.
const (
	listInterval   = 2 * time.Second
	listVMs        = 500 // VMs up to which the list is read each listInterval
	listCheckEvery = 500 * time.Millisecond
)

// lister reads the platform's list of VMs while this node is a relay, or knows
// no other node. The other nodes get the leaving signs from their relay.
type lister struct {
	s   *Service
	rng *rand.Rand

	mu    sync.Mutex // guards the fields below
	drain *drain.Tracker
	signs map[string]bool
}

func newLister(s *Service, rng *rand.Rand) *lister {
	return &lister{s: s, rng: rng, drain: drain.New(), signs: map[string]bool{}}
}

func (l *lister) run(ctx context.Context) {
	pace := backoff.New(backoff.DefaultConfig(), l.rng)
	var next time.Time
	for sleep(ctx, listCheckEvery, next) {
		now := time.Now()
		next = now.Add(listCheckEvery)
		if !l.s.source.isRelay() && l.s.members.known() > 0 {
			continue
		}
		pace.Called(now)
		size, err := l.read(ctx)
		pace.Done(time.Now(), err == nil)
		next = pace.Next(time.Now())
		if err == nil {
			next = now.Add(listEvery(size))
		}
	}
}

// listEvery returns the time between two reads of a list of size VMs.
func listEvery(size int) time.Duration {
	return listInterval * time.Duration((size-1)/listVMs+1)
}

// sleep waits until a time, or once for first when it is zero; it returns
// false when ctx ends.
func sleep(ctx context.Context, first time.Duration, until time.Time) bool {
	d := time.Until(until)
	if until.IsZero() {
		d = first / 100
	}
	timer := time.NewTimer(max(d, 0))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// read asks the platform and returns the number of VMs.
func (l *lister) read(ctx context.Context) (int, error) {
	list, err := l.s.platform.VMs().VMs(ctx)
	if err != nil {
		telemetry.Map(Name).Add("list_failures", 1)
		return 0, err
	}
	var system []membership.ListedNode
	var signs []string
	for _, vm := range list {
		leaving := vm.State == platform.VMLeaving
		switch {
		case vm.Kind == platform.KindSystem:
			system = append(system, membership.ListedNode{Node: vm.ID, Zone: vm.Zone, ControlAddr: vm.Control, Leaving: leaving})
		case leaving:
			signs = append(signs, vm.ID)
		}
	}
	l.s.members.takeList(system)
	l.setSigns(l.join(signs))
	return len(list), nil
}

// join takes the signs of one list and returns those that hold.
func (l *lister) join(ids []string) map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.drain.UpdateList(now, ids)
	signs := map[string]bool{}
	for _, id := range l.drain.Draining(now) {
		signs[id] = true
	}
	return signs
}

// setSigns takes the upstreams that the list calls leaving.
func (l *lister) setSigns(signs map[string]bool) {
	l.mu.Lock()
	same := signsHash(l.signs) == signsHash(signs)
	l.signs = signs
	l.mu.Unlock()
	if !same {
		l.s.publish()
	}
}

// leaving returns the signs; the map must not be changed.
func (l *lister) leaving() map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.signs
}

func signsHash(signs map[string]bool) uint64 {
	var h uint64
	for id := range signs {
		h ^= xxhash.Sum64String(id)
	}
	return h
}

func signsToProto(signs map[string]bool) []*swpb.UpstreamSign {
	var out []*swpb.UpstreamSign
	for id := range signs {
		out = append(out, &swpb.UpstreamSign{Upstream: id, Leaving: true})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetUpstream() < out[j].GetUpstream() })
	return out
}

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
	listInterval       = 2 * time.Second
	listVMsPerInterval = 500 // VMs up to which the list is read each listInterval
	listCheckInterval  = 500 * time.Millisecond
)

// vmLister reads the platform's list of VMs while this node is a relay, or knows
// no other node. The other nodes get the leaving signs from their relay.
type vmLister struct {
	s   *Service
	rng *rand.Rand

	mu       sync.Mutex // guards the fields below
	drain    *drain.Tracker
	draining map[string]bool
}

func newVMLister(s *Service, rng *rand.Rand) *vmLister {
	return &vmLister{s: s, rng: rng, drain: drain.New(), draining: map[string]bool{}}
}

func (l *vmLister) run(ctx context.Context) {
	pace := backoff.New(backoff.DefaultConfig(), l.rng)
	var next time.Time
	for sleepUntil(ctx, listCheckInterval, next) {
		now := time.Now()
		next = now.Add(listCheckInterval)
		if !l.s.tableSync.isRelay() && l.s.members.numOthers() > 0 {
			continue
		}
		pace.Called(now)
		size, err := l.readList(ctx)
		pace.Done(time.Now(), err == nil)
		next = pace.Next(time.Now())
		if err == nil {
			next = now.Add(listPeriod(size))
		}
	}
}

// listPeriod returns the time between two reads of a list of size VMs.
func listPeriod(size int) time.Duration {
	return listInterval * time.Duration((size-1)/listVMsPerInterval+1)
}

// sleepUntil waits until a time, or once for first when it is zero; it returns
// false when ctx ends.
func sleepUntil(ctx context.Context, first time.Duration, until time.Time) bool {
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

// readList asks the platform and returns the number of VMs.
func (l *vmLister) readList(ctx context.Context) (int, error) {
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
	l.s.members.applyList(system)
	l.setDraining(l.updateDraining(signs))
	return len(list), nil
}

// updateDraining takes the signs of one list and returns those that hold.
func (l *vmLister) updateDraining(ids []string) map[string]bool {
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

// setDraining takes the upstreams that the list calls leaving.
func (l *vmLister) setDraining(signs map[string]bool) {
	l.mu.Lock()
	same := drainingHash(l.draining) == drainingHash(signs)
	l.draining = signs
	l.mu.Unlock()
	if !same {
		l.s.publish()
	}
}

// drainingUpstreams returns the signs; the map must not be changed.
func (l *vmLister) drainingUpstreams() map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.draining
}

func drainingHash(signs map[string]bool) uint64 {
	var h uint64
	for id := range signs {
		h ^= xxhash.Sum64String(id)
	}
	return h
}

func drainingToProto(signs map[string]bool) []*swpb.UpstreamSign {
	var out []*swpb.UpstreamSign
	for id := range signs {
		out = append(out, &swpb.UpstreamSign{Upstream: id, Leaving: true})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetUpstream() < out[j].GetUpstream() })
	return out
}

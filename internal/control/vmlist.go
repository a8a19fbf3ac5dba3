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

// Intervals of reading the list of VMs.
const (
	listInterval       = 2 * time.Second // for each listVMsPerInterval VMs, or part of them
	listVMsPerInterval = 500
	listCheckInterval  = 500 * time.Millisecond // until the next check whether this node reads the list
)

// vmLister reads the platform's list of VMs while this node is a relay or has no
// other members. The other nodes receive the draining upstreams from their relay.
type vmLister struct {
	s   *Service
	rng *rand.Rand

	mu       sync.Mutex // guards the fields below
	drain    *drain.Tracker
	draining map[string]bool // never changed, only replaced
}

func newVMLister(s *Service, rng *rand.Rand) *vmLister {
	return &vmLister{s: s, rng: rng, drain: drain.New(), draining: map[string]bool{}}
}

func (l *vmLister) run(ctx context.Context) {
	pacer := backoff.New(backoff.DefaultConfig(), l.rng)
	var next time.Time
	for sleepUntil(ctx, listCheckInterval, next) {
		now := time.Now()
		next = now.Add(listCheckInterval)
		if !l.s.tableSync.isRelay() && l.s.members.numOthers() > 0 {
			continue
		}
		pacer.Called(now)
		size, err := l.readList(ctx)
		pacer.Done(time.Now(), err == nil)
		next = pacer.Next(time.Now())
		if err == nil {
			next = now.Add(listPeriod(size))
		}
	}
}

// listPeriod returns the time between two reads of a list of size VMs. It grows
// with the list, so that the bytes read per second are bounded.
func listPeriod(size int) time.Duration {
	return listInterval * time.Duration((size-1)/listVMsPerInterval+1)
}

// sleepUntil waits until the given time, or for a hundredth of first if that is the
// zero time. It returns false if ctx ends before.
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

// readList reads the platform's list, applies it and returns the number of VMs.
func (l *vmLister) readList(ctx context.Context) (int, error) {
	list, err := l.s.platform.VMs().VMs(ctx)
	if err != nil {
		telemetry.Map(Name).Add("list_failures", 1)
		return 0, err
	}
	var system []membership.ListedNode
	var draining []string
	for _, vm := range list {
		leaving := vm.State == platform.VMLeaving
		switch {
		case vm.Kind == platform.KindSystem:
			system = append(system, membership.ListedNode{Node: vm.ID, Zone: vm.Zone, ControlAddr: vm.Control, Leaving: leaving})
		case leaving:
			draining = append(draining, vm.ID)
		}
	}
	l.s.members.applyList(system)
	l.setDraining(l.updateDraining(draining))
	return len(list), nil
}

// updateDraining records the upstreams that are draining by one list, and returns
// all whose signal from a list has not expired.
func (l *vmLister) updateDraining(ids []string) map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.drain.UpdateList(now, ids)
	draining := map[string]bool{}
	for _, id := range l.drain.Draining(now) {
		draining[id] = true
	}
	return draining
}

// setDraining sets the draining upstreams, from the list or from a relay, and
// publishes a change.
func (l *vmLister) setDraining(draining map[string]bool) {
	l.mu.Lock()
	same := drainingHash(l.draining) == drainingHash(draining)
	l.draining = draining
	l.mu.Unlock()
	if !same {
		l.s.publish()
	}
}

// drainingUpstreams returns the draining upstreams; the map must not be changed.
func (l *vmLister) drainingUpstreams() map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.draining
}

// drainingHash returns a hash that is equal for equal sets, 0 for none.
func drainingHash(draining map[string]bool) uint64 {
	var h uint64
	for id := range draining {
		h ^= xxhash.Sum64String(id)
	}
	return h
}

func drainingToProto(draining map[string]bool) []*swpb.UpstreamSign {
	var out []*swpb.UpstreamSign
	for id := range draining {
		out = append(out, &swpb.UpstreamSign{Upstream: id, Leaving: true})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetUpstream() < out[j].GetUpstream() })
	return out
}

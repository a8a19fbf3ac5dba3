package storerelay

import (
	"context"
	"slices"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/boottime"
	"github.com/sapphirewall/sapphirewall/internal/decide/apikey"
	"github.com/sapphirewall/sapphirewall/internal/decide/era"
	"github.com/sapphirewall/sapphirewall/internal/platform"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// ConfirmWithin makes the state of a prefix be confirmed so often that it is usable without
// interruption under a bound: there are further calls to the store, polls of other VMs wait
// for a shorter time, and other VMs get no state whose confirmation is too old. It must be called before
// Start.
func (s *Service) ConfirmWithin(prefix string, bound time.Duration) {
	if bound > 0 {
		s.bounds[prefix] = apikey.Bound(bound)
	}
}

// watchConfirming makes one watch call to the store. For a prefix with a bound it makes
// further calls beside it that don't wait: a reply without a change confirms the state as
// of the call. Watch calls that wait only for a short time would have to be twice as many
// for the same age, since a reply counts from the moment of its call.
func (s *Service) watchConfirming(ctx context.Context, prefix string, from uint64, wait time.Duration) (platform.Changes, error) {
	s.mu.Lock()
	bound, m := s.bounds[prefix], s.mirrors[prefix]
	s.mu.Unlock()
	if bound == 0 || m == nil {
		return s.stamped.Watch(ctx, prefix, from, wait)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watched := make(chan snapshotResult, 1)
	go func() {
		c, err := s.stamped.Watch(ctx, prefix, from, wait)
		watched <- snapshotResult{c, err}
	}()
	for {
		select {
		case r := <-watched:
			return r.c, r.err
		case <-time.After(bound.CheckIn(boottime.Now() - m.confirmedAsOf())):
		}
		c, err := s.stamped.Watch(ctx, prefix, from, firstWatchWait)
		if err != nil || len(c.Entries) > 0 {
			return c, err
		}
		m.Confirmed(c.AsOf)
	}
}

// confirmedAsOf returns the instant as of which the state is confirmed; 0: none.
func (m *Mirror) confirmedAsOf() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.asOf
}

// KeepNewer sets a function that reports whether a known entry is newer than one that the
// store has now, as after a restore from an older copy. The known value is then kept, here
// and for VMs that read through this one. It must be called before Start.
func (s *Service) KeepNewer(newer func(known, now platform.Entry) bool) { s.keeps = newer }

// adoptNewer replaces values of a state of the store by newer ones that other VMs know. A
// VM that has just started, or that missed changes before a restore, can't know by itself
// that the store has come back from an older copy. It is done only for prefixes with a
// bound, and costs a start the time until the slowest of a few VMs answers, at most
// peerTimeout.
func (s *Service) adoptNewer(ctx context.Context, prefix string, r *snapshotResult) {
	c := &r.c
	s.mu.Lock()
	m := s.mirrors[prefix]
	s.mu.Unlock()
	if r.err != nil || s.bounds[prefix] == 0 || s.keeps == nil || m == nil {
		return
	}
	if before := m.lastRevision(); before != 0 && era.Of(before) == era.Of(c.Revision) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	addrs := s.somePeers(prefix)
	states := make(chan platform.Changes, len(addrs))
	for _, addr := range addrs {
		go func() {
			_, state, err := s.read(ctx, addr, &swpb.StoreRequest{Prefix: prefix, Snapshot: true, Recall: true})
			if err != nil {
				s.log.Debug().Err(err).Str("neighbour", addr).Msg("peer did not say whether it has newer entries than the store")
			}
			states <- state
		}()
	}
	c.Entries = slices.Clone(c.Entries)
	for range addrs {
		s.takeNewer(prefix, <-states, c)
	}
}

// somePeers returns a few VMs that read a prefix from the store, or seeds while none is known.
func (s *Service) somePeers(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.peerAddrs(prefix)
	return out[:min(peersPerQuery, len(out))]
}

// takeNewer replaces the values in c that are older than those in the state of another VM.
func (s *Service) takeNewer(prefix string, state platform.Changes, c *platform.Changes) {
	for _, known := range state.Entries {
		i := slices.IndexFunc(c.Entries, func(e platform.Entry) bool { return e.Key == known.Key })
		if i < 0 || !s.keeps(known, c.Entries[i]) {
			continue
		}
		c.Entries[i].Value = known.Value
		s.log.Warn().Str("kind", "relay").Str("prefix", prefix).Str("key", known.Key).Uint64("store_revision", c.Revision).
			Msg("another VM knows a newer value than the store, which has come back from an older copy; it is kept")
	}
}

package storerelay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/era"
	"github.com/sapphirewall/sapphirewall/internal/decide/relay"
	"github.com/sapphirewall/sapphirewall/internal/platform"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// Snapshot implements platform.Watcher.
func (s *Service) Snapshot(ctx context.Context, prefix string) (platform.Changes, error) {
	req := &swpb.StoreRequest{Prefix: prefix, Snapshot: true}
	if c, err, ok := s.snapshotFromRelays(ctx, req); ok {
		s.setIndirect(prefix, true)
		return c, err
	}
	s.setIndirect(prefix, false)
	req.Recall = true
	if c, err, ok := s.readInKnownOutage(ctx, req); ok {
		return c, err
	}
	if s.storeUnavailable() {
		if c, err, ok := s.readDuringOutage(ctx, req); ok {
			return c, err
		}
		s.requestList()
	}
	results := make(chan snapshotResult, 1)
	go func() {
		begin := time.Now()
		c, err := s.stamped.Snapshot(ctx, prefix)
		s.logLarge(sourceStore, prefix, c, begin)
		results <- snapshotResult{c, err}
	}()
	r, ended := s.awaitSnapshot(results)
	if ended {
		s.recordResult(ctx, prefix, r.err)
		if !isFailure(r.err) {
			s.adoptNewer(ctx, prefix, &r)
			return r.c, r.err
		}
	}
	if c, err, ok := s.readFromPeers(ctx, req); ok {
		return c, err
	}
	if r.err != nil {
		return platform.Changes{}, r.err
	}
	if s.hasLastKnown(prefix) {
		return platform.Changes{}, fmt.Errorf("%w: no answer to a snapshot request within %s", platform.ErrUnavailable, storeHeadStart)
	}
	r = <-results
	s.recordResult(ctx, prefix, r.err)
	s.adoptNewer(ctx, prefix, &r)
	return r.c, r.err
}

// requestList lets the list of the VMs be read if there is none, since the store was away at
// the start. It reports whether there was one.
func (s *Service) requestList() (listed bool) {
	select {
	case <-s.listed:
		return true
	default:
		s.onAvailable()
		return false
	}
}

// awaitList waits for the list of the VMs if there is none, so that a VM that is no relay
// doesn't watch the store.
func (s *Service) awaitList(ctx context.Context) {
	if s.requestList() {
		return
	}
	select {
	case <-s.listed:
	case <-time.After(listWait):
	case <-ctx.Done():
	}
}

// awaitSnapshot waits for a snapshot of the store as long as bytes of it come in. ended is
// false if none do.
func (s *Service) awaitSnapshot(results <-chan snapshotResult) (r snapshotResult, ended bool) {
	for {
		select {
		case r = <-results:
			return r, true
		case <-time.After(storeHeadStart):
		}
		if time.Since(s.store.Heard()) > storeHeadStart {
			return r, false
		}
	}
}

// snapshotFromRelays reads a snapshot from the relays. It gives them time: when VMs
// start together, and after a restore of the store, the relays read everything at the
// same time, and the store must not get a snapshot call from every VM.
func (s *Service) snapshotFromRelays(ctx context.Context, req *swpb.StoreRequest) (c platform.Changes, err error, ok bool) {
	for try := range relayTries {
		if try > 0 {
			select {
			case <-ctx.Done():
				return platform.Changes{}, ctx.Err(), true
			case <-time.After(relayTryInterval):
			}
		}
		if c, err, ok = s.readFromRelays(ctx, req); ok || !s.pollsRelays(req.GetPrefix()) {
			return c, err, ok
		}
	}
	return platform.Changes{}, nil, false
}

// snapshotResult is the result of a Snapshot call to the store.
type snapshotResult struct {
	c   platform.Changes
	err error
}

// Watch implements platform.Watcher.
func (s *Service) Watch(ctx context.Context, prefix string, from uint64, wait time.Duration) (platform.Changes, error) {
	poll := min(wait, relayPollWait)
	if bound := s.bounds[prefix]; bound > 0 {
		poll = min(wait, bound.RelayWait())
	}
	req := &swpb.StoreRequest{Prefix: prefix, After: from, WaitMs: uint32(poll.Milliseconds())}
	s.awaitList(ctx)
	for {
		if c, err, ok := s.readFromRelays(ctx, req); ok {
			s.setIndirect(prefix, true)
			return c, err
		}
		switch {
		case s.isReader():
			return s.watchStore(ctx, req, s.readerWait(prefix, wait))
		case s.standsIn():
			return s.watchStore(ctx, req, min(wait, standInWait))
		}
		if c, err, ok := s.readInKnownOutage(ctx, req); ok {
			return c, err
		}
		if c, err, ok := s.readFromPeers(ctx, req); ok {
			return c, err
		}
		if s.allowPoll(prefix, time.Now()) {
			s.setIndirect(prefix, false)
			begin := time.Now()
			c, err := s.stamped.Watch(ctx, prefix, from, firstWatchWait)
			s.logLarge(sourceStore, prefix, c, begin)
			s.recordResult(ctx, prefix, err)
			return c, err
		}
		select {
		case <-ctx.Done():
			return platform.Changes{}, ctx.Err()
		case <-time.After(noStoreBackoff):
		}
	}
}

// watchStore watches the store, or while it is unavailable a peer that has it.
func (s *Service) watchStore(ctx context.Context, req *swpb.StoreRequest, wait time.Duration) (platform.Changes, error) {
	prefix := req.GetPrefix()
	if s.storeUnavailable() {
		if c, err, ok := s.readDuringOutage(ctx, req); ok {
			return c, err
		}
	}
	if s.setIndirect(prefix, false) {
		wait = min(wait, firstWatchWait)
	}
	begin := time.Now()
	c, err := s.watchConfirming(ctx, prefix, req.GetAfter(), wait)
	s.logLarge(sourceStore, prefix, c, begin)
	s.recordResult(ctx, prefix, err)
	if !isFailure(err) || ctx.Err() != nil {
		return c, err
	}
	if c, err, ok := s.readFromPeers(ctx, req); ok {
		return c, err
	}
	return c, err
}

// readDuringOutage probes the unavailable store and, if the probe fails, reads from
// peers instead. ok is false if the store answers the probe.
func (s *Service) readDuringOutage(ctx context.Context, req *swpb.StoreRequest) (c platform.Changes, err error, ok bool) {
	err = s.probe(ctx)
	if err == nil {
		return platform.Changes{}, nil, false
	}
	if c, err, ok := s.readFromPeers(ctx, req); ok {
		return c, err, true
	}
	return platform.Changes{}, err, true
}

// readInKnownOutage reads from peers while a relay of the zone says that the store doesn't
// answer it, which this VM need not find out by itself. ok is false if there is no such
// word, if this VM stands in for the relays, or if it is its turn to call the store and
// that answers.
func (s *Service) readInKnownOutage(ctx context.Context, req *swpb.StoreRequest) (c platform.Changes, err error, ok bool) {
	s.mu.Lock()
	known := !s.reader && !s.substitute && s.inKnownOutage(time.Now())
	s.mu.Unlock()
	if !known {
		return platform.Changes{}, nil, false
	}
	if c, err, ok := s.readFromPeers(ctx, req); ok {
		return c, err, true
	}
	if s.allowTurn(req.GetPrefix(), time.Now()) && s.probe(ctx) == nil {
		return platform.Changes{}, nil, false
	}
	return platform.Changes{}, fmt.Errorf("%w: it doesn't answer the relays of the zone", platform.ErrUnavailable), true
}

// allowTurn reports whether it is this VM's turn to call the store for its zone, and if so
// records the call.
func (s *Service) allowTurn(prefix string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.lastPoll[prefix]) < relay.PollInterval(s.zoneVMs, pollInterval) {
		return false
	}
	s.lastPoll[prefix] = now.Add(-pollInterval) // a poll follows
	return true
}

// hearOfOutage records that a relay says that the store doesn't answer it. The turns of
// the VMs of a zone to call the store begin at a random time of each. s.mu is held.
func (s *Service) hearOfOutage(now time.Time) {
	if !s.inKnownOutage(now) {
		interval := relay.PollInterval(s.zoneVMs, pollInterval)
		for prefix := range s.mirrors {
			s.lastPoll[prefix] = now.Add(-time.Duration(rand.Float64() * float64(interval)))
		}
	}
	s.outageTold = now
}

// standsIn reports whether this VM reads the store in place of the zone's relays, which say
// that it doesn't answer them.
func (s *Service) standsIn() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.substitute && s.inKnownOutage(time.Now())
}

// inKnownOutage reports whether a relay has said lately that the store doesn't answer it.
// s.mu is held.
func (s *Service) inKnownOutage(now time.Time) bool { return now.Sub(s.outageTold) < outageWordTime }

// isFailure reports whether an error means that the store did not answer; a
// compacted history is an answer.
func isFailure(err error) bool { return err != nil && !errors.Is(err, platform.ErrCompacted) }

// storeUnavailable reports whether the last call of this VM to the store failed.
func (s *Service) storeUnavailable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unavailable
}

// isReader reports whether this VM reads the store itself.
func (s *Service) isReader() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reader
}

// allowPoll reports whether a VM that is not a reader may call the store for a
// prefix now, and if so records the call.
func (s *Service) allowPoll(prefix string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.lastPoll[prefix]) < pollInterval {
		return false
	}
	s.lastPoll[prefix] = now
	return true
}

// ProbeEvery implements storewatch.Prober.
func (s *Service) ProbeEvery() time.Duration { return probeInterval }

// Coalesces implements storewatch.Coalescer: the VM that a prefix is read through pauses
// between two calls to the store, and polls of it are cheap.
func (s *Service) Coalesces(prefix string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.indirect[prefix]
}

// Probe implements storewatch.Prober. The watches of all prefixes share the
// probes; a prefix that is read through another VM needs none. The history that a
// watch waits in counts as compacted when the probe finds the store in a later era.
func (s *Service) Probe(ctx context.Context, prefix string) error {
	s.mu.Lock()
	reads := s.reader || s.substitute && s.inKnownOutage(time.Now())
	skip, m := !reads || s.indirect[prefix], s.mirrors[prefix]
	s.mu.Unlock()
	if skip {
		return nil
	}
	if err := s.probe(ctx); err != nil {
		return err
	}
	if m != nil && era.Of(m.lastRevision()) < s.store.Era() {
		return platform.ErrCompacted
	}
	return nil
}

// probe sends a probe to the store, or returns the result of a recent one.
func (s *Service) probe(ctx context.Context) error {
	s.probeMu.Lock()
	defer s.probeMu.Unlock()
	interval := probeInterval / 2
	if s.probeErr != nil {
		interval = outageProbeInterval
	}
	if time.Since(s.probedAt) < interval {
		return s.probeErr
	}
	// The watch that asks first may end meanwhile, which shows nothing about the store.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	begin := time.Now()
	s.probeErr, s.probedAt = s.store.Probe(ctx), time.Now()
	if ctx.Err() != nil && s.store.Heard().After(begin) {
		s.probeErr = nil // the answer waits behind another one that is coming in
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = s.probeErr != nil
	if s.unavailable {
		clear(s.authoritative)
	}
	return s.probeErr
}

// recordResult records whether the store answered a call for a prefix. A failure
// of a cancelled call is ignored, since it shows nothing about the store.
func (s *Service) recordResult(ctx context.Context, prefix string, err error) {
	if isFailure(err) && ctx.Err() != nil {
		return
	}
	if !isFailure(err) {
		s.setActivePeer("", prefix, "store available again")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = isFailure(err)
	s.authoritative[prefix] = !s.unavailable
}

// setIndirect records whether a prefix is read through another VM or from the
// store. It reports whether the prefix has just changed from another VM to the
// store.
func (s *Service) setIndirect(prefix string, indirect bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.indirect[prefix]
	s.indirect[prefix] = indirect
	if indirect {
		s.authoritative[prefix] = false
	}
	return before && !indirect
}

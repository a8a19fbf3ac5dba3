package storerelay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/platform"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// Snapshot implements platform.Watcher.
func (s *Service) Snapshot(ctx context.Context, prefix string) (platform.Changes, error) {
	req := &swpb.StoreRequest{Prefix: prefix, Snapshot: true}
	if c, err, told := s.ask(ctx, req); told {
		s.setSource(prefix, true)
		return c, err
	}
	s.setSource(prefix, false)
	req.Recall = true
	if s.hasLost() {
		if c, err, told := s.askInstead(ctx, req); told {
			return c, err
		}
	}
	read := make(chan reading, 1)
	go func() {
		c, err := s.store.Snapshot(ctx, prefix)
		read <- reading{c, err}
	}()
	var r reading
	select {
	case r = <-read:
		s.answered(ctx, prefix, r.err)
		if !isLost(r.err) {
			return r.c, r.err
		}
	case <-time.After(patience):
	}
	if c, err, told := s.askNeighbours(ctx, req); told {
		return c, err
	}
	if r.err != nil {
		return platform.Changes{}, r.err
	}
	if s.canRecall(prefix) {
		return platform.Changes{}, fmt.Errorf("%w: no answer within %s", platform.ErrUnavailable, patience)
	}
	r = <-read
	s.answered(ctx, prefix, r.err)
	return r.c, r.err
}

// reading is the end of a call to the store.
type reading struct {
	c   platform.Changes
	err error
}

// Watch implements platform.Watcher.
func (s *Service) Watch(ctx context.Context, prefix string, from uint64, wait time.Duration) (platform.Changes, error) {
	req := &swpb.StoreRequest{Prefix: prefix, After: from, WaitMs: uint32(min(wait, relayWait).Milliseconds())}
	for {
		if c, err, told := s.ask(ctx, req); told {
			s.setSource(prefix, true)
			return c, err
		}
		if s.isReader() {
			return s.watchStore(ctx, req, wait)
		}
		if c, err, told := s.askNeighbours(ctx, req); told {
			return c, err
		}
		if s.pollDue(prefix, time.Now()) {
			s.setSource(prefix, false)
			c, err := s.store.Watch(ctx, prefix, from, firstWait)
			s.answered(ctx, prefix, err)
			return c, err
		}
		select {
		case <-ctx.Done():
			return platform.Changes{}, ctx.Err()
		case <-time.After(askRelaysAgain):
		}
	}
}

// watchStore watches the store, or while it is lost a neighbour that has it.
func (s *Service) watchStore(ctx context.Context, req *swpb.StoreRequest, wait time.Duration) (platform.Changes, error) {
	prefix := req.GetPrefix()
	if s.hasLost() {
		if c, err, told := s.askInstead(ctx, req); told {
			return c, err
		}
	}
	if s.setSource(prefix, false) {
		wait = min(wait, firstWait)
	}
	c, err := s.store.Watch(ctx, prefix, req.GetAfter(), wait)
	s.answered(ctx, prefix, err)
	if !isLost(err) || ctx.Err() != nil {
		return c, err
	}
	if c, err, told := s.askNeighbours(ctx, req); told {
		return c, err
	}
	return c, err
}

// askInstead asks neighbours in place of a store that is lost, and tries the
// store by a probe. told is false when the store is back.
func (s *Service) askInstead(ctx context.Context, req *swpb.StoreRequest) (c platform.Changes, err error, told bool) {
	err = s.probe(ctx)
	if err == nil {
		return platform.Changes{}, nil, false
	}
	if c, err, told := s.askNeighbours(ctx, req); told {
		return c, err, true
	}
	return platform.Changes{}, err, true
}

// isLost reports whether an error says that the store can't tell.
func isLost(err error) bool { return err != nil && !errors.Is(err, platform.ErrCompacted) }

// hasLost reports whether the store did not answer this VM when it was last
// asked.
func (s *Service) hasLost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost
}

// isReader reports whether this VM reads the store itself.
func (s *Service) isReader() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reader
}

// pollDue reports whether a VM that is no reader may ask the store about a
// prefix, and takes the turn.
func (s *Service) pollDue(prefix string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.polled[prefix]) < pollEvery {
		return false
	}
	s.polled[prefix] = now
	return true
}

// ProbeEvery implements storewatch.Prober.
func (s *Service) ProbeEvery() time.Duration { return probeEvery }

// Probe implements storewatch.Prober. The watches of all prefixes share the
// probes; a VM that hears of another needs none.
func (s *Service) Probe(ctx context.Context, prefix string) error {
	s.mu.Lock()
	needless := !s.reader || s.byRelay[prefix]
	s.mu.Unlock()
	if needless {
		return nil
	}
	return s.probe(ctx)
}

// probe asks the store, unless that was done just now.
func (s *Service) probe(ctx context.Context) error {
	s.probing.Lock()
	defer s.probing.Unlock()
	fresh := probeEvery / 2
	if s.healthy != nil {
		fresh = probeLostEvery
	}
	if time.Since(s.probed) < fresh {
		return s.healthy
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	s.healthy, s.probed = s.store.Probe(ctx), time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = s.healthy != nil
	if s.lost {
		clear(s.reads)
	}
	return s.healthy
}

// answered notes whether the store told of a prefix. A call that was given up
// tells nothing.
func (s *Service) answered(ctx context.Context, prefix string, err error) {
	if isLost(err) && ctx.Err() != nil {
		return
	}
	if !isLost(err) {
		s.setNeighbour("", prefix, "the store answers again")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = isLost(err)
	s.reads[prefix] = !s.lost
}

// setSource notes where the news of a prefix last came from, and reports whether they
// come from the store now and came from a relay before.
func (s *Service) setSource(prefix string, byRelay bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.byRelay[prefix]
	s.byRelay[prefix] = byRelay
	if byRelay {
		s.reads[prefix] = false
	}
	return before && !byRelay
}

// Package roster tells a VM which others serve. Each VM keeps an entry of its own
// in the platform's store under a lease, and counts the entries of all. What the
// VMs share out among each other is worked out from the count.
package roster

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/sapphirewall/sapphirewall/internal/kernel"
	"github.com/sapphirewall/sapphirewall/internal/platform"
)

// ServiceName is the kernel name of the service.
const ServiceName = "roster"

// The times of the roster.
const (
	// ttl is the life of an entry without renewal: a VM that is restarted or
	// paused for a moment keeps its place.
	ttl = 10 * time.Second
	// renewEvery leaves room for two renewals that fail.
	renewEvery = 3 * time.Second
	// countEvery is the time between two counts: VMs come and go seldom.
	countEvery = 6 * time.Second
	// firstCount is how long after the start the others have entered too.
	firstCount = 1500 * time.Millisecond
	// keep is how long a VM is counted after its entry was last seen: what was
	// shared out among more VMs is safe among fewer, not the other way round.
	keep = 30 * time.Second
)

// Store is what the roster uses of the platform's store.
type Store interface {
	Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error)
	Renew(ctx context.Context, id platform.LeaseID) error
	CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte, lease platform.LeaseID) (platform.Entry, error)
	// Names returns the keys of a prefix; they may be seconds old.
	Names(ctx context.Context, prefix string) ([]string, error)
}

// Service keeps the entry and counts.
type Service struct {
	store  Store
	prefix string // of the entries
	self   string
	tell   func(nodes []string)
	log    zerolog.Logger

	lease platform.LeaseID // 0: none
	seen  map[string]time.Time
	lost  bool

	stop context.CancelFunc
	wg   sync.WaitGroup
}

// New returns the roster of a VM; tell is called with the names of all VMs,
// this one among them, whenever they have been counted.
func New(store Store, prefix, self string, tell func(nodes []string), log zerolog.Logger) *Service {
	return &Service{store: store, prefix: prefix, self: self, tell: tell, log: log, seen: map[string]time.Time{}}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return nil }

// Ready implements kernel.Service: a VM serves without the roster.
func (s *Service) Ready() error { return nil }

// Start implements kernel.Service.
func (s *Service) Start(ctx context.Context, _ *kernel.Kernel) error {
	ctx, s.stop = context.WithCancel(ctx)
	s.wg.Go(func() { s.run(ctx) })
	return nil
}

// Stop implements kernel.Service. The entry lapses with its lease: a VM that is
// back soon needs the same place.
func (s *Service) Stop(context.Context) error {
	s.stop()
	s.wg.Wait()
	return nil
}

func (s *Service) run(ctx context.Context) {
	s.report("enter", s.enter(ctx))
	renew := time.NewTicker(renewEvery)
	defer renew.Stop()
	count := time.NewTimer(firstCount)
	defer count.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-renew.C:
			s.report("renew", s.renew(ctx))
		case <-count.C:
			s.report("count", s.count(ctx, time.Now()))
			count.Reset(countEvery)
		}
	}
}

// enter makes the VM's entry. One of an earlier process of the VM stands until
// its lease ends, and counts as well.
func (s *Service) enter(ctx context.Context) error {
	lease, err := s.store.Grant(ctx, ttl)
	if err != nil {
		return err
	}
	_, err = s.store.CompareAndSwap(ctx, s.prefix+s.self, 0, []byte(s.self), lease)
	if err != nil && !errors.Is(err, platform.ErrUnknown) {
		return err
	}
	s.lease = lease
	return nil
}

func (s *Service) renew(ctx context.Context) error {
	if s.lease == 0 {
		return s.enter(ctx)
	}
	err := s.store.Renew(ctx, s.lease)
	if errors.Is(err, platform.ErrLeaseNotFound) {
		s.lease = 0
		return s.enter(ctx)
	}
	return err
}

func (s *Service) count(ctx context.Context, now time.Time) error {
	names, err := s.store.Names(ctx, s.prefix)
	if err != nil {
		return err
	}
	for _, name := range names {
		s.seen[strings.TrimPrefix(name, s.prefix)] = now
	}
	s.seen[s.self] = now
	nodes := make([]string, 0, len(s.seen))
	for node, at := range s.seen {
		if now.Sub(at) > keep {
			delete(s.seen, node)
			continue
		}
		nodes = append(nodes, node)
	}
	s.tell(nodes)
	return nil
}

// report logs when a call fails after others succeeded, and the return.
func (s *Service) report(what string, err error) {
	switch {
	case err != nil && !errors.Is(err, context.Canceled) && !s.lost:
		s.lost = true
		s.log.Warn().Err(err).Str("call", what).Msg("roster can't be kept; sharing out as before")
	case err == nil && s.lost:
		s.lost = false
		s.log.Info().Str("call", what).Msg("roster is kept again")
	}
}

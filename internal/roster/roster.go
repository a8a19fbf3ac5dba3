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
	ttl = 30 * time.Second
	// renewEvery leaves room for two renewals that fail.
	renewEvery = 10 * time.Second
	// countEvery is the time between two counts: VMs come and go seldom.
	countEvery = 10 * time.Second
	// nextCount is how long after the start all VMs that started together have
	// entered.
	nextCount = 1500 * time.Millisecond
	// keep is how long a VM is counted after its entry was last seen: what was
	// shared out among more VMs is safe among fewer, not the other way round.
	keep = 30 * time.Second
)

// Store is what the roster uses of the platform's store.
type Store interface {
	Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error)
	Renew(ctx context.Context, id platform.LeaseID) error
	// Put writes a key whatever it holds.
	Put(ctx context.Context, key string, value []byte, lease platform.LeaseID) error
	// ListStale returns the entries of a prefix as they were some seconds ago
	// at most.
	ListStale(ctx context.Context, prefix string) ([]platform.Entry, error)
}

// Node is one VM that serves. Its entry is "zone address".
type Node struct {
	Name string
	Zone string
	Addr string // IP:port, for other VMs
}

// Service keeps the entry and counts.
type Service struct {
	store  Store
	prefix string // of the entries
	self   Node
	tell   func(nodes []Node)
	log    zerolog.Logger

	lease platform.LeaseID // 0: none
	nodes map[string]Node
	seen  map[string]time.Time
	lost  bool

	stop context.CancelFunc
	wg   sync.WaitGroup
}

// New returns the roster of a VM; tell is called with all VMs, this one among
// them, whenever they have been counted, and once with none if the store can't
// be reached at the start.
func New(store Store, prefix string, self Node, tell func(nodes []Node), log zerolog.Logger) *Service {
	return &Service{store: store, prefix: prefix, self: self, tell: tell, log: log, nodes: map[string]Node{}, seen: map[string]time.Time{}}
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
	// A VM that is back finds the others at once; those that start together
	// find each other at the next count.
	err := s.count(ctx, time.Now())
	s.report("count", err)
	if err != nil {
		s.tell(nil) // nobody need wait for what can't be known now
	}
	s.report("enter", s.enter(ctx))
	renew := time.NewTicker(renewEvery)
	defer renew.Stop()
	count := time.NewTimer(nextCount)
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

// enter makes the VM's entry, or takes over that of an earlier process of it.
func (s *Service) enter(ctx context.Context) error {
	lease, err := s.store.Grant(ctx, ttl)
	if err != nil {
		return err
	}
	if err := s.store.Put(ctx, s.prefix+s.self.Name, []byte(s.self.Zone+" "+s.self.Addr), lease); err != nil {
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
	entries, err := s.store.ListStale(ctx, s.prefix)
	if err != nil {
		return err
	}
	for _, e := range entries {
		name := strings.TrimPrefix(e.Key, s.prefix)
		zone, addr, _ := strings.Cut(string(e.Value), " ")
		s.nodes[name] = Node{Name: name, Zone: zone, Addr: addr}
		s.seen[name] = now
	}
	if len(entries) == 0 {
		return nil // nobody has entered yet, not this VM either
	}
	s.nodes[s.self.Name], s.seen[s.self.Name] = s.self, now
	var nodes []Node
	for name, at := range s.seen {
		if now.Sub(at) > keep {
			delete(s.seen, name)
			delete(s.nodes, name)
			continue
		}
		nodes = append(nodes, s.nodes[name])
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

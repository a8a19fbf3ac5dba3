// Package vmregistry tells a VM which others serve. Each VM keeps an entry of its own
// in the platform's store under a lease, and counts the entries of all. What the
// VMs share out among each other is worked out from the count.
package vmregistry

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/sapphirewall/sapphirewall/internal/decide/census"
	"github.com/sapphirewall/sapphirewall/internal/kernel"
	"github.com/sapphirewall/sapphirewall/internal/platform"
)

// ServiceName is the kernel name of the service.
const ServiceName = "roster"

// The times of the roster.
const (
	// ttl is the life of an entry without renewal: a VM that is restarted or
	// paused for a moment keeps its place.
	ttl = census.Keep
	// renewEvery leaves room for two renewals that fail.
	renewEvery = 10 * time.Second
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
	lost  bool

	mu    sync.Mutex // guards the fields below, and the order of what is told
	knows bool       // all VMs have been counted once, here or by another one
	nodes map[string]Node
	book  *census.Book

	stop context.CancelFunc
	wg   sync.WaitGroup
}

// New returns the roster of a VM; tell is called with all VMs, this one among
// them, whenever they have been counted, and once with none if the store can't
// be reached at the start.
func New(store Store, prefix string, self Node, tell func(nodes []Node), log zerolog.Logger) *Service {
	return &Service{store: store, prefix: prefix, self: self, tell: tell, log: log, nodes: map[string]Node{}, book: census.New(self.Name)}
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
		s.giveUp()
	}
	s.report("enter", s.enter(ctx))
	renew := time.NewTicker(renewEvery)
	defer renew.Stop()
	count := time.NewTimer(census.NextCount)
	defer count.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-renew.C:
			s.report("renew", s.renew(ctx))
		case <-count.C:
			s.report("count", s.count(ctx, time.Now()))
			count.Reset(census.CountEvery)
		}
	}
}

// giveUp tells that nothing is known, so that nobody waits for it.
func (s *Service) giveUp() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.knows {
		s.tell(nil)
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
	nodes := make([]Node, 0, len(entries))
	for _, e := range entries {
		zone, addr, _ := strings.Cut(string(e.Value), " ")
		nodes = append(nodes, Node{Name: strings.TrimPrefix(e.Key, s.prefix), Zone: zone, Addr: addr})
	}
	s.take(now, nodes, true)
	return nil
}

// Observe takes VMs that another one counts, or that have been met. They are
// counted here too until they have not been seen for long, so that no bound is
// shared out among fewer when the entries of some have lapsed meanwhile. A VM
// that knows none doesn't take those that it has met for all.
func (s *Service) Observe(nodes []Node, all bool) { s.take(time.Now(), nodes, all) }

// take counts nodes as seen now, and tells all that count.
func (s *Service) take(now time.Time, seen []Node, all bool) {
	if len(seen) == 0 {
		return // nobody has entered yet, not this VM either
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]string, 0, len(seen))
	for _, n := range seen {
		s.nodes[n.Name] = n
		names = append(names, n.Name)
	}
	s.nodes[s.self.Name] = s.self
	s.book.Count(now, names)
	counted := map[string]Node{}
	nodes := make([]Node, 0, len(s.nodes))
	for _, name := range s.book.Nodes() {
		counted[name] = s.nodes[name]
		nodes = append(nodes, s.nodes[name])
	}
	s.nodes = counted
	if s.knows = s.knows || all; s.knows {
		s.tell(nodes)
	}
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

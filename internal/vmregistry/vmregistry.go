// Package vmregistry gives a VM the list of all VMs that serve. Each VM keeps a
// registration in the platform's store under a lease, and lists the registrations
// of all VMs. The VMs divide fleet-wide limits by the number of VMs in the list.
package vmregistry

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/sapphirewall/sapphirewall/internal/decide/backoff"
	"github.com/sapphirewall/sapphirewall/internal/decide/vmcount"
	"github.com/sapphirewall/sapphirewall/internal/kernel"
	"github.com/sapphirewall/sapphirewall/internal/platform"
)

// ServiceName is the kernel name of the service, as it appears in logs.
const ServiceName = "roster"

const (
	// ttl is how long a registration lasts without renewal: long enough for a VM
	// that is restarted or paused for a moment to stay in the list.
	ttl = vmcount.Retention
	// renewEvery lets two renewals fail before the lease expires.
	renewEvery = 10 * time.Second
	// eraCheckInterval is the time between two comparisons of the lease's era with
	// the store's, which cost no call.
	eraCheckInterval = 250 * time.Millisecond
	// callsPerRewrite is the number of calls that write a registration again, and
	// rewritesPerSecond the rate of these calls of all VMs: a quarter of the writes
	// that the store of a small deployment takes.
	callsPerRewrite   = 2
	rewritesPerSecond = 100
	// rewriteRetry is the least time between two attempts to write a registration
	// again.
	rewriteRetry = time.Second
	// maxRewriteDelay leaves time for a list before the VMs stop counting one whose
	// registration is missing.
	maxRewriteDelay = vmcount.Retention - vmcount.CountInterval
)

// joinPace limits the first listings, each of which costs a tenth of a call.
var joinPace = backoff.Config{Min: 500 * time.Millisecond, Max: 4 * time.Second, Rate: 2, Burst: 2}

// Store is the part of the platform's store that the registry uses.
type Store interface {
	Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error)
	Renew(ctx context.Context, id platform.LeaseID) error
	// Put writes a key unconditionally.
	Put(ctx context.Context, key string, value []byte, lease platform.LeaseID) error
	// ListStale returns the entries of a prefix, which may be some seconds out
	// of date.
	ListStale(ctx context.Context, prefix string) ([]platform.Entry, error)
	// Era returns the highest era of the store that this VM knows.
	Era() uint64
}

// Node is one VM that serves. The value of its registration is "zone address".
type Node struct {
	Name string
	Zone string
	Addr string // IP:port, for other VMs
}

// Service keeps the registration of this VM and lists those of all VMs.
type Service struct {
	store  Store
	prefix string // of the registrations' keys
	self   Node
	notify func(nodes []Node)
	log    zerolog.Logger

	lease   platform.LeaseID // 0: none
	era     uint64           // of the store in which lease was granted
	failing bool             // the last call to the store failed

	available chan struct{} // receives when the store answers again

	mu       sync.Mutex // guards the fields below and the order of the calls of notify
	complete bool       // a list of all VMs was received once, from the store or another VM
	nodes    map[string]Node
	counter  *vmcount.Counter

	stop context.CancelFunc
	wg   sync.WaitGroup
}

// New returns the registry service of a VM. notify is called with all VMs, including
// this one, after every listing, and once with none if the store is unavailable at
// the start.
func New(store Store, prefix string, self Node, notify func(nodes []Node), log zerolog.Logger) *Service {
	return &Service{store: store, prefix: prefix, self: self, notify: notify, log: log, nodes: map[string]Node{}, counter: vmcount.New(self.Name), available: make(chan struct{}, 1)}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return nil }

// Ready implements kernel.Service: a VM can serve without the registry.
func (s *Service) Ready() error { return nil }

// Start implements kernel.Service.
func (s *Service) Start(ctx context.Context, _ *kernel.Kernel) error {
	ctx, s.stop = context.WithCancel(ctx)
	s.wg.Go(func() { s.run(ctx) })
	return nil
}

// Stop implements kernel.Service. The registration is left to expire with its
// lease, so that a VM that restarts soon stays in the list.
func (s *Service) Stop(context.Context) error {
	s.stop()
	s.wg.Wait()
	return nil
}

func (s *Service) run(ctx context.Context) {
	s.join(ctx)
	renew := time.NewTicker(renewEvery)
	defer renew.Stop()
	listing := time.NewTimer(vmcount.RecountDelay)
	defer listing.Stop()
	eraCheck := time.NewTicker(eraCheckInterval)
	defer eraCheck.Stop()
	var rewrite <-chan time.Time // set while a registration is due to be written again
	for {
		select {
		case <-ctx.Done():
			return
		case <-renew.C:
			s.report("renew", s.renew(ctx))
		case <-eraCheck.C:
			if rewrite == nil && s.era != s.store.Era() {
				rewrite = time.After(s.rewriteDelay())
			}
		case <-rewrite:
			rewrite = s.rewrite(ctx)
		case <-listing.C:
			s.report("count", s.list(ctx, time.Now()))
			listing.Reset(vmcount.CountInterval)
		}
	}
}

// join lists the VMs and registers this one, and tries again until the store answers. A VM
// that restarts finds the others at once; VMs that start together find each other at the
// next listing.
func (s *Service) join(ctx context.Context) {
	pacer := backoff.New(joinPace, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	for first := true; ; first = false {
		err := s.list(ctx, time.Now())
		s.report("count", err)
		if err == nil {
			s.report("enter", s.register(ctx))
			return
		}
		if first {
			s.notifyUnknown()
		}
		now := time.Now()
		pacer.Called(now)
		pacer.Done(now, false)
		select {
		case <-ctx.Done():
			return
		case <-s.available:
		case <-time.After(pacer.Next(now).Sub(now)):
		}
	}
}

// StoreAvailable states that the store answers this VM again.
func (s *Service) StoreAvailable() {
	select {
	case s.available <- struct{}{}:
	default:
	}
}

// notifyUnknown passes on an empty list if there is none yet, so that nothing
// waits for it.
func (s *Service) notifyUnknown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.complete {
		s.notify(nil)
	}
}

// register writes the VM's registration, or replaces that of an earlier process on
// the same VM.
func (s *Service) register(ctx context.Context) error {
	before := s.store.Era()
	lease, err := s.store.Grant(ctx, ttl)
	if err != nil {
		return err
	}
	if err := s.store.Put(ctx, s.prefix+s.self.Name, []byte(s.self.Zone+" "+s.self.Addr), lease); err != nil {
		return err
	}
	s.lease, s.era = lease, before
	return nil
}

// rewrite writes the registration again after a restore of the store. If that fails,
// it returns when to try again.
func (s *Service) rewrite(ctx context.Context) <-chan time.Time {
	err := s.renew(ctx)
	s.report("enter again", err)
	if err != nil {
		return time.After(rewriteRetry + s.rewriteDelay())
	}
	s.log.Info().Str("kind", "era").Uint64("era", s.era).Msg("registration written again after a restore of the store")
	return nil
}

// rewriteDelay returns a random delay that spreads the registrations of all VMs after
// a restore of the store.
func (s *Service) rewriteDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	spread := time.Duration(len(s.nodes)) * callsPerRewrite * time.Second / rewritesPerSecond
	return time.Duration(rand.Float64() * float64(min(spread, maxRewriteDelay)))
}

// renew renews the registration. A lease of an earlier era of the store is lost, and
// another VM may have been given its ID.
func (s *Service) renew(ctx context.Context) error {
	if s.lease == 0 || s.era != s.store.Era() {
		return s.register(ctx)
	}
	err := s.store.Renew(ctx, s.lease)
	if errors.Is(err, platform.ErrLeaseNotFound) {
		s.lease = 0
		return s.register(ctx)
	}
	return err
}

func (s *Service) list(ctx context.Context, now time.Time) error {
	entries, err := s.store.ListStale(ctx, s.prefix)
	if err != nil {
		return err
	}
	nodes := make([]Node, 0, len(entries))
	for _, e := range entries {
		zone, addr, _ := strings.Cut(string(e.Value), " ")
		nodes = append(nodes, Node{Name: strings.TrimPrefix(e.Key, s.prefix), Zone: zone, Addr: addr})
	}
	s.record(nodes, true, func(names []string) { s.counter.ObserveList(now, names) })
	return nil
}

// Observe records VMs from another VM's list (all is true), or a VM that has made
// contact. They stay in the list until the store's lists have lacked them for
// vmcount.Retention, so that no fleet-wide limit is divided among fewer VMs because
// some registrations have expired. A VM that made contact is not taken for the list of all VMs: notify
// is not called before such a list was received.
func (s *Service) Observe(nodes []Node, all bool) { s.record(nodes, all, s.counter.Observe) }

// record records VMs by count, which is called with their names, and passes the list of
// all VMs to notify.
func (s *Service) record(seen []Node, all bool, count func(names []string)) {
	if len(seen) == 0 {
		return // no VM has registered yet, not even this one
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]string, 0, len(seen))
	for _, n := range seen {
		s.nodes[n.Name] = n
		names = append(names, n.Name)
	}
	s.nodes[s.self.Name] = s.self
	count(names)
	kept := map[string]Node{}
	nodes := make([]Node, 0, len(s.nodes))
	for _, name := range s.counter.VMs() {
		kept[name] = s.nodes[name]
		nodes = append(nodes, s.nodes[name])
	}
	s.nodes = kept
	if s.complete = s.complete || all; s.complete {
		s.notify(nodes)
	}
}

// report logs the first failure after calls that succeeded, and the recovery.
func (s *Service) report(what string, err error) {
	switch {
	case err != nil && !errors.Is(err, context.Canceled) && !s.failing:
		s.failing = true
		s.log.Warn().Err(err).Str("call", what).Msg("VM registry unavailable; dividing fleet-wide limits as before")
	case err == nil && s.failing:
		s.failing = false
		s.log.Info().Str("call", what).Msg("VM registry available again")
	}
}

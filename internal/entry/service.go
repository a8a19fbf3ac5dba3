package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/sapphirewall/sapphirewall/internal/callerhttp"
	"github.com/sapphirewall/sapphirewall/internal/fleetstate"
	"github.com/sapphirewall/sapphirewall/internal/kernel"
	"github.com/sapphirewall/sapphirewall/internal/launch"
	"github.com/sapphirewall/sapphirewall/internal/membudget"
	"github.com/sapphirewall/sapphirewall/internal/peer"
	"github.com/sapphirewall/sapphirewall/internal/settings"
	"github.com/sapphirewall/sapphirewall/internal/telemetry"
)

// ServiceName is the kernel name of the entry service.
const ServiceName = "entry"

// drainDelay is the time between not ready and the end of listening, in which
// the balancer stops sending callers here. It is cut to a quarter of the time
// allowed for the shutdown.
const drainDelay = 500 * time.Millisecond

// initialViewTimeout is how long after the start the service stays not ready
// while views of owners are missing. After that it is ready without them, since
// those owners may be down.
const initialViewTimeout = 5 * time.Second

// A session with outstanding replies that receives no byte for these times counts
// as stalled and is closed.
const (
	callStallTimeout = 150 * time.Millisecond // a fraction of common deadlines
	pollStallTimeout = 2 * time.Second        // long, so that the pings during a long poll cost little
)

// The errors of Ready and of view polls.
var (
	errStopping     = errors.New("shutting down")
	errNoTables     = errors.New("no tables are in force yet")
	errNoViews      = errors.New("not every egress process has told its view yet")
	errNotViewReply = errors.New("reply to a ViewRequest is not a ViewReply")
)

// Service is the entry service. Its methods are safe for concurrent use once
// it has started.
type Service struct {
	opts   settings.Entry
	self   peer.Identity
	log    zerolog.Logger
	tracer *telemetry.Tracer

	source       fleetstate.Source
	peers        *peer.Pool // calls
	viewPeers    *peer.Pool // long polls, separate so that they don't keep call sessions busy
	unreachable  unreachableOwners
	holdings     *holdings
	current      atomic.Pointer[catalogue]
	metrics      *metrics
	ids          requestIDs
	turn         atomic.Uint64 // round-robin policy: position in the rotation
	gate         *gate
	retryBudgets *retryBudgets
	hedgers      *hedgers
	poison       *poisonAggregator
	viewReceived sync.Map // set of the addresses of owners that have reported their view
	started      time.Time
	stopping     atomic.Bool

	server     *callerhttp.Server
	budget     *membudget.Budget // of bytes of requests and answers
	cancel     context.CancelFunc
	background sync.WaitGroup
}

// Register adds the entry service to env.Kernel.
func Register(env *launch.Env) error {
	return env.Kernel.Register(New(env))
}

// New returns the entry service of env's settings.
func New(env *launch.Env) *Service {
	node := env.Settings.Node
	incarnation := uint64(time.Now().UnixNano())
	self := peer.Identity{Fleet: node.Fleet, Node: node.ID, Zone: node.Zone, Role: peer.RoleEntry, Incarnation: incarnation}
	return &Service{
		opts:         env.Settings.Entry,
		self:         self,
		log:          env.Log.With().Str("service", ServiceName).Logger(),
		tracer:       env.Tracer,
		peers:        peer.NewPool(peer.Options{Self: self, Dial: env.Dial, StallTimeout: callStallTimeout}),
		viewPeers:    peer.NewPool(peer.Options{Self: self, Dial: env.Dial, StallTimeout: pollStallTimeout, Streams: 1}),
		holdings:     newHoldings(),
		metrics:      newMetrics(),
		gate:         newGate(env.Settings.Entry),
		retryBudgets: newRetryBudgets(),
		hedgers:      newHedgers(),
		poison:       newPoisonAggregator(),
		ids:          requestIDs{prefix: fmt.Sprintf("%s-%08x-", node.ID, rand.Uint32())},
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return []string{fleetstate.ServiceName} }

// Addr returns the listening address. It must not be called before Start.
func (s *Service) Addr() string { return s.server.Addr() }

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	source, err := kernel.Lookup[fleetstate.Source](k, fleetstate.ServiceName)
	if err != nil {
		return err
	}
	s.source = source
	s.started = time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.current.Store(newCatalogue(nil, source.Current(), s.holdings.collect(true)))
	s.background.Add(1)
	go s.maintainCatalogue(ctx)
	s.server = s.newServer()
	if err := s.server.Listen(s.opts.Listen); err != nil {
		return eris.Wrapf(err, "[entry] listen = %s", s.opts.Listen)
	}
	s.log.Info().Str("listen", s.Addr()).Msg("serving callers")
	return nil
}

// Stop implements kernel.Service. It turns readiness off, lets requests in flight
// finish, and then stops the rest.
func (s *Service) Stop(ctx context.Context) error {
	s.stopping.Store(true)
	s.server.Drain()
	sleep(ctx, drainDelayFor(ctx))
	err := s.server.Shutdown(ctx)
	s.cancel()
	s.background.Wait()
	s.peers.Close()
	s.viewPeers.Close()
	return err
}

// Ready implements kernel.Service.
func (s *Service) Ready() error {
	if s.stopping.Load() {
		return errStopping
	}
	c := s.current.Load()
	if c == nil || c.state.Tables == nil {
		return errNoTables
	}
	if time.Since(s.started) < initialViewTimeout && !s.hasAllViews(c) {
		return errNoViews
	}
	return nil
}

// hasAllViews reports whether there are owners and all have reported their view.
func (s *Service) hasAllViews(c *catalogue) bool {
	for _, addr := range c.owners.addrs {
		if _, ok := s.viewReceived.Load(addr); !ok {
			return false
		}
	}
	return len(c.owners.addrs) > 0
}

// drainDelayFor returns how long Stop waits for the balancer to notice that the
// service is not ready.
func drainDelayFor(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return drainDelay
	}
	return min(drainDelay, time.Until(deadline)/4)
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// requestIDs generates request IDs that are unique in the fleet.
type requestIDs struct {
	prefix string
	last   atomic.Uint64
}

func (r *requestIDs) next() string {
	return fmt.Sprintf("%s%d", r.prefix, r.last.Add(1))
}

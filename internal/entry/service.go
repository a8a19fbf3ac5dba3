package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/sapphirewall/sapphirewall/internal/fleetstate"
	"github.com/sapphirewall/sapphirewall/internal/kernel"
	"github.com/sapphirewall/sapphirewall/internal/launch"
	"github.com/sapphirewall/sapphirewall/internal/peer"
	"github.com/sapphirewall/sapphirewall/internal/settings"
	"github.com/sapphirewall/sapphirewall/internal/telemetry"
)

// ServiceName is the kernel name of the entry service.
const ServiceName = "entry"

// drainNotice is the time between readiness off and the end of listening, in
// which the balancer stops to send callers here. At most a quarter of the
// time for the shutdown is spent on it.
const drainNotice = 500 * time.Millisecond

// viewsWait is how long after its start an entry that lacks the view of some
// owner is not ready; later, owners that are down don't matter.
const viewsWait = 5 * time.Second

// A session that owes replies and brings no byte is given up after these times:
// for calls a part of the usual deadline, for long polls long enough that the
// signs of life asked for meanwhile cost little.
const (
	callSilentAfter = 150 * time.Millisecond
	pollSilentAfter = 2 * time.Second
)

// readBufferBytes bounds the headers of a request.
const readBufferBytes = 16 << 10

// The errors of readiness and of polls.
var (
	errStopping    = errors.New("shutting down")
	errNoTables    = errors.New("no tables are in force yet")
	errNoViews     = errors.New("not every egress process has told its view yet")
	errNoViewReply = errors.New("reply to a ViewRequest is of another kind")
)

// Service is the entry service. Its methods are safe for concurrent use once
// it has started.
type Service struct {
	opts   settings.Entry
	self   peer.Identity
	log    zerolog.Logger
	tracer *telemetry.Tracer

	source   fleetstate.Source
	peers    *peer.Pool // calls
	polls    *peer.Pool // long polls, apart so that they don't keep calls' sessions busy
	lost     lostOwners
	holdings *holdings
	current  atomic.Pointer[catalogue]
	metrics  *metrics
	ids      requestIDs
	turn     atomic.Uint64 // of the round-robin policy
	gate     *gate
	budgets  *budgets
	hedgers  *hedgers
	poison   *poisonBoard
	heard    sync.Map // addresses of owners that have told their view
	started  time.Time
	stopping atomic.Bool

	ln     net.Listener
	server *fasthttp.Server
	cancel context.CancelFunc
	work   sync.WaitGroup
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
		opts:     env.Settings.Entry,
		self:     self,
		log:      env.Log.With().Str("service", ServiceName).Logger(),
		tracer:   env.Tracer,
		peers:    peer.NewPool(peer.Options{Self: self, Dial: env.Dial, StallTimeout: callSilentAfter}),
		polls:    peer.NewPool(peer.Options{Self: self, Dial: env.Dial, StallTimeout: pollSilentAfter, Streams: 1}),
		holdings: newHoldings(),
		metrics:  newMetrics(),
		gate:     newGate(env.Settings.Entry),
		budgets:  newBudgets(),
		hedgers:  newHedgers(),
		poison:   newPoisonBoard(),
		ids:      requestIDs{prefix: fmt.Sprintf("%s-%08x-", node.ID, rand.Uint32())},
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return []string{fleetstate.ServiceName} }

// Addr returns the address listened on, once started.
func (s *Service) Addr() string { return s.ln.Addr().String() }

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	source, err := kernel.Lookup[fleetstate.Source](k, fleetstate.ServiceName)
	if err != nil {
		return err
	}
	s.source = source
	ln, err := net.Listen("tcp", s.opts.Listen)
	if err != nil {
		return eris.Wrapf(err, "listen on [entry] listen = %s", s.opts.Listen)
	}
	s.ln = ln
	s.started = time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.current.Store(newCatalogue(nil, source.Current(), s.holdings.take(true)))
	s.work.Add(1)
	go s.follow(ctx)
	s.server = s.newServer()
	go func() { _ = s.server.Serve(ln) }()
	s.log.Info().Str("listen", s.Addr()).Msg("serving callers")
	return nil
}

// Stop implements kernel.Service: readiness goes off, requests in hand finish,
// then everything else ends.
func (s *Service) Stop(ctx context.Context) error {
	s.stopping.Store(true)
	sleep(ctx, noticeTime(ctx))
	err := s.server.ShutdownWithContext(ctx)
	s.cancel()
	s.work.Wait()
	s.peers.Close()
	s.polls.Close()
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
	if time.Since(s.started) < viewsWait && !s.hasViews(c) {
		return errNoViews
	}
	return nil
}

// hasViews reports whether every owner has told which snapshots are held.
func (s *Service) hasViews(c *catalogue) bool {
	for _, addr := range c.owners.addrs {
		if _, ok := s.heard.Load(addr); !ok {
			return false
		}
	}
	return len(c.owners.addrs) > 0
}

// noticeTime is how long the balancer gets to see that readiness is off.
func noticeTime(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return drainNotice
	}
	return min(drainNotice, time.Until(deadline)/4)
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// requestIDs makes request ids that are unique in the fleet.
type requestIDs struct {
	prefix string
	last   atomic.Uint64
}

func (r *requestIDs) next() string {
	return fmt.Sprintf("%s%d", r.prefix, r.last.Add(1))
}

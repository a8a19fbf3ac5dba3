package control

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/sapphirewall/sapphirewall/internal/decide/membership"
	"github.com/sapphirewall/sapphirewall/internal/fleetstate"
	"github.com/sapphirewall/sapphirewall/internal/kernel"
	"github.com/sapphirewall/sapphirewall/internal/launch"
	"github.com/sapphirewall/sapphirewall/internal/peer"
	"github.com/sapphirewall/sapphirewall/internal/platform"
	"github.com/sapphirewall/sapphirewall/internal/platform/platformsvc"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// Name is the kernel name of the service. It is also a fleetstate.Source.
const Name = "control"

// The kernel names of the services that take calls which this service routes.
const (
	ServiceRollout = "rollout"
	ServiceClaims  = "claims"
)

// silentAfter closes a session that owes answers; it is longer than a heartbeat
// may take, so that a busy machine costs heartbeats and not sessions.
const silentAfter = 2 * beatTimeout

// ErrNotReady means that no tables are in force yet.
var ErrNotReady = errors.New("control: no tables in force yet")

// Reporter takes the sums that egress processes report for judging rollouts,
// and what other controls pass on of them.
type Reporter interface {
	Report(from peer.Identity, r *swpb.StatsReport) *swpb.StatsReply
}

// StatusReporter tells the state of the rollouts for StatusReply.
type StatusReporter interface {
	RolloutStatus() []*swpb.RolloutStatus
}

// Platform is what the service named platformsvc.Name gives.
type Platform interface {
	KV() platform.KV
	VMs() platform.VMList
}

// Config is what a control process is made of.
type Config struct {
	Fleet      string
	Node       string
	Zone       string
	Listen     string // IP:port for peers
	EgressAddr string // told to the fleet while the process polls
	EntryAddr  string
	Interval   time.Duration // between heartbeats
	Relays     int           // nodes of a zone that talk to the platform
	Prefix     string        // of the platform's keys
	Log        zerolog.Logger
	Peer       peer.Options // Dial and times; Self is filled in
	// WrapListener, if set, replaces the listener, for TLS.
	WrapListener func(net.Listener) net.Listener
}

// Service implements kernel.Service, fleetstate.Source and peer.Handler.
type Service struct {
	*state
	cfg      Config
	self     peer.Identity
	kernel   *kernel.Kernel
	platform Platform
	server   *peer.Server
	pool     *peer.Pool
	members  *members
	procs    *procs
	vetoes   *vetoes
	source   *source
	list     *lister
	cancel   context.CancelFunc
	stopping chan struct{} // closed at Stop; ends the long polls
	work     sync.WaitGroup
}

// Register adds the service to env.Kernel. It needs the service of
// platformsvc.
func Register(env *launch.Env) error {
	s := env.Settings
	return env.Kernel.Register(New(Config{
		Fleet: s.Node.Fleet, Node: s.Node.ID, Zone: s.Node.Zone,
		Listen: s.Control.Listen, EgressAddr: s.Egress.Listen, EntryAddr: s.Entry.Listen,
		Interval: s.Control.HeartbeatInterval, Relays: s.Control.Relays,
		Prefix: s.Platform.Prefix, Log: env.Log,
		Peer: peer.Options{Dial: env.Dial}, WrapListener: env.WrapListener,
	}))
}

// New returns the service of a configuration.
func New(cfg Config) *Service {
	now := time.Now()
	s := &Service{cfg: cfg, state: newState(uint64(now.UnixNano())), procs: newProcs(), vetoes: newVetoes(), stopping: make(chan struct{})}
	s.self = peer.Identity{Fleet: cfg.Fleet, Node: cfg.Node, Zone: cfg.Zone, Role: peer.RoleControl, Incarnation: uint64(now.UnixMilli())}
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return []string{platformsvc.Name} }

// Start implements kernel.Service.
func (s *Service) Start(ctx context.Context, k *kernel.Kernel) error {
	p, err := kernel.Lookup[Platform](k, platformsvc.Name)
	if err != nil {
		return err
	}
	s.kernel = k
	return s.start(ctx, p)
}

// start brings the service up on a platform.
func (s *Service) start(ctx context.Context, p Platform) error {
	ln, err := net.Listen("tcp", s.cfg.Listen)
	if err != nil {
		return eris.Wrapf(err, "listen on [control] listen = %s", s.cfg.Listen)
	}
	addr := ln.Addr().String()
	if s.cfg.WrapListener != nil {
		ln = s.cfg.WrapListener(ln)
	}
	s.platform = p
	ctx, s.cancel = context.WithCancel(ctx)
	opts := s.cfg.Peer
	opts.Self, opts.Streams, opts.StallTimeout = s.self, 1, silentAfter
	refused := newRefusals(opts.Dial)
	opts.Dial = refused.dial
	s.pool = peer.NewPool(opts)
	seed := uint64(time.Now().UnixNano())
	rng := rand.New(rand.NewPCG(seed, s.self.Incarnation))
	s.members = newMembers(s, addr, refused, membership.DefaultConfig(s.cfg.Interval), rng)
	s.list = newLister(s, rand.New(rand.NewPCG(seed, 1)))
	s.source = newSource(s, rand.New(rand.NewPCG(seed, 2)))
	s.server = peer.Serve(ln, opts, s)
	for _, run := range []func(context.Context){s.members.run, s.list.run, s.source.run} {
		s.work.Go(func() { run(ctx) })
	}
	s.publishMetrics()
	return nil
}

// Addr returns the address listened on, once started.
func (s *Service) Addr() string { return s.server.Addr() }

// Stop implements kernel.Service. Peers are told that this node leaves.
func (s *Service) Stop(ctx context.Context) error {
	s.members.leave(ctx)
	close(s.stopping)
	s.cancel()
	err := s.server.Shutdown(ctx)
	s.work.Wait()
	s.pool.Close()
	return err
}

// Ready implements kernel.Service.
func (s *Service) Ready() error {
	if s.Current().Tables == nil {
		return ErrNotReady
	}
	return nil
}

// Vetoes returns the vetoes that this node knows.
func (s *Service) Vetoes() []fleetstate.Veto { return s.vetoes.all() }

// AddVetoes takes vetoes and passes new ones on to peers at once.
func (s *Service) AddVetoes(list ...fleetstate.Veto) {
	if s.vetoes.merge(list, s.Current().Tables) {
		s.publish()
		s.members.spread()
	}
}

// SetStages sets how far the rollouts have come, for the processes of the VM.
func (s *Service) SetStages(list []fleetstate.RolloutStage) {
	s.update(func(v *fleetstate.State) { v.Stages = list })
}

// Members returns the members of the fleet as this node believes them.
func (s *Service) Members() []fleetstate.Member { return s.members.list() }

// publish puts members, vetoes and signs into the state.
func (s *Service) publish() {
	s.update(func(v *fleetstate.State) {
		v.Members = s.members.list()
		v.Vetoes = s.vetoes.all()
		v.Draining = s.list.leaving()
	})
}

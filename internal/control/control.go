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

// Kernel names of the services to which this service forwards peer calls.
const (
	ServiceRollout = "rollout"
	ServiceClaims  = "claims"
)

// stallTimeout is the time after which a session with outstanding calls and no
// received bytes is closed. It is longer than heartbeatTimeout, so that on a busy
// host heartbeats fail rather than sessions.
const stallTimeout = 2 * heartbeatTimeout

// ErrNotReady means that no tables are in force yet.
var ErrNotReady = errors.New("control: no tables in force yet")

// Reporter receives the statistics by which rollouts are judged, from egress
// processes and from other control processes.
type Reporter interface {
	Report(from peer.Identity, r *swpb.StatsReport) *swpb.StatsReply
}

// StatusReporter returns the state of the rollouts for StatusReply.
type StatusReporter interface {
	RolloutStatus() []*swpb.RolloutStatus
}

// Platform is the part of the service named platformsvc.Name that this service
// uses.
type Platform interface {
	KV() platform.KV
	VMs() platform.VMList
}

// Config configures a Service.
type Config struct {
	Fleet      string
	Node       string
	Zone       string
	Listen     string        // IP:port for peers
	EgressAddr string        // announced to the fleet while the egress process polls
	EntryAddr  string        // likewise for the entry process
	Interval   time.Duration // between heartbeats
	Relays     int           // nodes of an availability zone that call the platform
	Prefix     string        // of the platform's keys
	Log        zerolog.Logger
	Peer       peer.Options // Dial and timeouts; Self, Streams and StallTimeout are set by the service
	// WrapListener, if set, wraps the listener, for TLS.
	WrapListener func(net.Listener) net.Listener
}

// Service implements kernel.Service, fleetstate.Source and peer.Handler.
type Service struct {
	*state
	cfg       Config
	self      peer.Identity
	kernel    *kernel.Kernel
	platform  Platform
	server    *peer.Server
	pool      *peer.Pool
	members   *members
	procs     *localProcs
	vetoes    *vetoes
	tableSync *tableSync
	vmLister  *vmLister
	cancel    context.CancelFunc
	stopping  chan struct{} // closed by Stop to end the long polls
	work      sync.WaitGroup
}

// Register adds the service to env.Kernel. The service needs that of package
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

// New returns a service with the given configuration.
func New(cfg Config) *Service {
	now := time.Now()
	s := &Service{cfg: cfg, state: newState(uint64(now.UnixNano())), procs: newLocalProcs(), vetoes: newVetoes(), stopping: make(chan struct{})}
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

// start starts the service with the given platform.
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
	opts.Self, opts.Streams, opts.StallTimeout = s.self, 1, stallTimeout
	dialer := newRefusalDialer(opts.Dial)
	opts.Dial = dialer.dial
	s.pool = peer.NewPool(opts)
	seed := uint64(time.Now().UnixNano())
	rng := rand.New(rand.NewPCG(seed, s.self.Incarnation))
	s.members = newMembers(s, addr, dialer, membership.DefaultConfig(s.cfg.Interval), rng)
	s.vmLister = newVMLister(s, rand.New(rand.NewPCG(seed, 1)))
	s.tableSync = newTableSync(s, rand.New(rand.NewPCG(seed, 2)))
	s.server = peer.Serve(ln, opts, s)
	for _, run := range []func(context.Context){s.members.run, s.vmLister.run, s.tableSync.run} {
		s.work.Go(func() { run(ctx) })
	}
	s.publishMetrics()
	return nil
}

// Addr returns the listening address. The service must have been started.
func (s *Service) Addr() string { return s.server.Addr() }

// Stop implements kernel.Service. It notifies peers that this node shuts down.
func (s *Service) Stop(ctx context.Context) error {
	s.members.announceLeave(ctx)
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

// Vetoes returns the vetoes known to this node.
func (s *Service) Vetoes() []fleetstate.Veto { return s.vetoes.all() }

// AddVetoes adds vetoes and sends new ones to peers at once.
func (s *Service) AddVetoes(list ...fleetstate.Veto) {
	if s.vetoes.merge(list, s.Current().Tables) {
		s.publish()
		s.members.heartbeatPeers()
	}
}

// SetStages sets the stages that the rollouts have reached, for the processes of
// the VM.
func (s *Service) SetStages(list []fleetstate.RolloutStage) {
	s.update(func(st *fleetstate.State) { st.Stages = list })
}

// Members returns the members of the fleet in the states that this node assumes.
func (s *Service) Members() []fleetstate.Member { return s.members.list() }

// publish copies members, vetoes and draining upstreams into the state.
func (s *Service) publish() {
	s.update(func(st *fleetstate.State) {
		st.Members = s.members.list()
		st.Vetoes = s.vetoes.all()
		st.Draining = s.vmLister.drainingUpstreams()
	})
}

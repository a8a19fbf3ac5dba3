package egress

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/sapphirewall/sapphirewall/internal/decide/coldstart"
	"github.com/sapphirewall/sapphirewall/internal/fleetstate"
	"github.com/sapphirewall/sapphirewall/internal/kernel"
	"github.com/sapphirewall/sapphirewall/internal/launch"
	"github.com/sapphirewall/sapphirewall/internal/peer"
	"github.com/sapphirewall/sapphirewall/internal/settings"
	"github.com/sapphirewall/sapphirewall/internal/telemetry"
	"github.com/sapphirewall/sapphirewall/internal/upstreamclient"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// ServiceName is the kernel name of the service.
const ServiceName = "egress"

// The reasons why the service is not ready.
var (
	ErrNoTables = errors.New("egress: no tables in force yet")
	ErrHandover = errors.New("egress: waiting for former owners to end")
	ErrStopping = errors.New("egress: stopping")
)

// Service is the kernel service of this package.
type Service struct {
	settings    *settings.Settings
	log         zerolog.Logger
	tracer      *telemetry.Tracer
	dial        upstreamclient.DialFunc
	listen      func(addr string) (net.Listener, error)
	dialPeer    peer.DialFunc
	incarnation uint64
	startedAt   time.Time

	stopMu  sync.Mutex // guards stopped; once it is set, nothing is added to wg
	stopped bool

	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	source   fleetstate.Source
	server   *peer.Server
	control  *peer.Client
	replicas *replicaSet
	stats    *stats
	suspects *suspects
	stopping atomic.Bool
}

// New returns the service. Processes use Register.
func New(env *launch.Env) *Service {
	s := &Service{
		settings: env.Settings, log: env.Log, tracer: env.Tracer,
		dial: upstreamclient.DialTCP, listen: env.Listen, dialPeer: env.Dial, incarnation: uint64(time.Now().UnixNano()),
		stats: newStats(), suspects: newSuspects(),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Register adds the service to the kernel of a process. The kernel must have a
// service named fleetstate.ServiceName that is a fleetstate.Source.
func Register(env *launch.Env) error {
	return env.Kernel.Register(New(env))
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return []string{fleetstate.ServiceName} }

// Addr returns the address listened on, once started.
func (s *Service) Addr() string { return s.server.Addr() }

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	svc, err := kernel.Lookup[kernel.Service](k, fleetstate.ServiceName)
	if err != nil {
		return err
	}
	source, ok := svc.(fleetstate.Source)
	if !ok {
		return eris.Wrapf(kernel.ErrServiceType, "service %q is not a fleetstate.Source", fleetstate.ServiceName)
	}
	ln, err := s.listen(s.settings.Egress.Listen)
	if err != nil {
		return eris.Wrapf(err, "listen on [egress] listen = %s", s.settings.Egress.Listen)
	}
	s.source = source
	s.startedAt = time.Now()
	s.replicas = newReplicaSet(s)
	self := peer.Identity{
		Fleet: s.settings.Node.Fleet, Node: s.settings.Node.ID, Zone: s.settings.Node.Zone,
		Role: peer.RoleEgress, Incarnation: s.incarnation,
	}
	s.control = peer.NewClient(s.settings.Control.Listen, peer.Options{Self: self, Dial: s.dialPeer})
	s.replicas.update(source.Current())
	s.background(s.followState)
	s.background(s.reportStats)
	s.server = peer.Serve(ln, peer.Options{Self: self}, peer.HandlerFunc(s.handle))
	return nil
}

// Stop implements kernel.Service. Calls in flight are finished first.
func (s *Service) Stop(ctx context.Context) error {
	s.stopping.Store(true)
	s.replicas.publish()
	err := s.server.Shutdown(ctx)
	s.cancel()
	s.control.Close()
	s.replicas.close()
	s.stopMu.Lock()
	s.stopped = true
	s.stopMu.Unlock()
	s.wg.Wait()
	return err
}

// Ready implements kernel.Service.
func (s *Service) Ready() error {
	switch {
	case s.stopping.Load():
		return ErrStopping
	case s.source == nil || s.source.Current().Tables == nil:
		return ErrNoTables
	case s.settings.Egress.Limits && time.Since(s.startedAt) < coldstart.HandoverQuiet:
		return ErrHandover
	}
	return nil
}

// background runs f in a goroutine that Stop waits for. After Stop it does
// nothing.
func (s *Service) background(f func()) {
	s.stopMu.Lock()
	defer s.stopMu.Unlock()
	if s.stopped {
		return
	}
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		f()
	}()
}

// followState applies every change of the fleet's state to the replicas.
func (s *Service) followState() {
	changed, unsubscribe := s.source.Subscribe()
	defer unsubscribe()
	s.replicas.update(s.source.Current())
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-changed:
			s.replicas.update(s.source.Current())
		}
	}
}

// handle answers calls from peers.
func (s *Service) handle(ctx context.Context, _ peer.Identity, req *swpb.Envelope) (*swpb.Envelope, error) {
	switch body := req.GetBody().(type) {
	case *swpb.Envelope_SubRequest:
		reply := s.serve(ctx, body.SubRequest)
		return &swpb.Envelope{Body: &swpb.Envelope_SubReply{SubReply: reply}}, nil
	case *swpb.Envelope_ViewRequest:
		reply := s.replicas.awaitView(ctx, body.ViewRequest)
		return &swpb.Envelope{Body: &swpb.Envelope_ViewReply{ViewReply: reply}}, nil
	}
	return nil, nil
}

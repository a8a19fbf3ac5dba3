package handover

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/sapphirewall/sapphirewall/internal/decide/helpers"
	"github.com/sapphirewall/sapphirewall/internal/decide/reach"
	"github.com/sapphirewall/sapphirewall/internal/direct"
	"github.com/sapphirewall/sapphirewall/internal/kernel"
	"github.com/sapphirewall/sapphirewall/internal/membudget"
	"github.com/sapphirewall/sapphirewall/internal/peer"
	"github.com/sapphirewall/sapphirewall/internal/telemetry"
	"github.com/sapphirewall/sapphirewall/internal/vmregistry"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// ServiceName is the kernel name of the service.
const ServiceName = "handover"

// The intervals and timeouts of the service.
const (
	// tickInterval is the time between two looks at what this VM is cut off from.
	tickInterval = 50 * time.Millisecond
	// probeInterval is the time between two connections that are opened to find the end
	// of a cut.
	probeInterval = 250 * time.Millisecond
	// askTimeout bounds a question to another VM: a few trips between regions and a new
	// connection.
	askTimeout = 400 * time.Millisecond
	// stopPollInterval is how often Stop looks for requests of other VMs.
	stopPollInterval = 10 * time.Millisecond
	// stallTimeout is how long a VM with requests of this one may send no byte.
	stallTimeout = 600 * time.Millisecond
)

// Tier is the part of package direct that the service uses.
type Tier interface {
	Serve(req *direct.Request) *direct.Answer
	Cuts() reach.Cuts
	NeedOf(req *direct.Request) (direct.Need, bool)
	Priority(req *direct.Request) (priority, most int)
	ProbeCut(ctx context.Context)
	// Stalled returns how long something that is handled now may have waited for the
	// process.
	Stalled(now time.Time) time.Duration
	StartHandover(req *direct.Request, vm string) (end func(outcome string))
}

// Config configures a Service.
type Config struct {
	Self    vmregistry.Node
	Fleet   string            // name of the fleet
	Regions map[string]string // zone to region
	// Draining reports whether the process is about to stop, and takes no more requests
	// of other VMs.
	Draining func() bool
	// Split takes the fields that name an API key and a team out of the header of a request
	// of another VM, and reads its credential; nil: there are no such fields.
	Split func(*direct.Request)
	// SingleFields are the header fields of a replica's reply that have one value.
	SingleFields []string
	Wrap         func(net.Conn) net.Conn // of connections to other VMs; nil: none
	// Budget has the bytes that requests of other VMs draw too; nil: no limit.
	Budget *membudget.Budget
	Log    zerolog.Logger
}

// Service serves callers' requests, here or through another VM. It implements
// kernel.Service.
type Service struct {
	cfg     Config
	tier    Tier
	pool    *peer.Pool
	log     *telemetry.RateLimitedLogger
	metrics interface{ Add(string, int64) }

	cut  atomic.Pointer[reach.Cuts] // nil: none
	busy atomic.Int64               // requests that are served for other VMs

	mu      sync.Mutex // guards the fields below
	rng     *rand.Rand
	helpers *helpers.Set
	// leave is closed when requests that wait for replicas should be handed over.
	leave   chan struct{}
	leaving bool // leave is closed
	// regions has the regions of the VMs, by name.
	regions map[string]string

	stop context.CancelFunc
	wg   sync.WaitGroup
}

// New returns the service of a VM.
func New(cfg Config, tier Tier) *Service {
	o := peer.Options{
		Self:    peer.Identity{Fleet: cfg.Fleet, Node: cfg.Self.Name, Zone: cfg.Self.Zone, Role: peer.RoleControl, Incarnation: uint64(time.Now().UnixNano())},
		Streams: 2, StallTimeout: stallTimeout, Wrap: cfg.Wrap,
	}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Service{
		rng: rng, cfg: cfg, tier: tier, pool: peer.NewPool(o), log: telemetry.NewRateLimitedLogger(cfg.Log), metrics: telemetry.Map("handover"),
		helpers: helpers.New(rng), leave: make(chan struct{}),
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return nil }

// Ready implements kernel.Service: a VM can serve without it.
func (s *Service) Ready() error { return nil }

// Start implements kernel.Service.
func (s *Service) Start(ctx context.Context, _ *kernel.Kernel) error {
	ctx, s.stop = context.WithCancel(ctx)
	s.wg.Go(func() { s.run(ctx) })
	return nil
}

// Stop implements kernel.Service. It waits for the requests of other VMs.
func (s *Service) Stop(ctx context.Context) error {
	s.stop()
	s.wg.Wait()
	for s.busy.Load() > 0 && ctx.Err() == nil {
		time.Sleep(stopPollInterval)
	}
	s.pool.Close()
	s.log.Flush()
	return nil
}

// SetNodes sets the VMs that serve, including this one.
func (s *Service) SetNodes(nodes []vmregistry.Node) {
	var all []helpers.Candidate
	keep, regions := map[string]bool{}, map[string]string{}
	for _, n := range nodes {
		if n.Name != s.cfg.Self.Name && n.Addr != "" {
			all = append(all, helpers.Candidate{Name: n.Name, Addr: n.Addr, Distance: s.distance(n.Zone)})
			keep[n.Addr], regions[n.Name] = true, s.cfg.Regions[n.Zone]
		}
	}
	s.mu.Lock()
	s.helpers.SetCandidates(all)
	s.regions = regions
	s.mu.Unlock()
	s.pool.Retain(keep)
}

func (s *Service) distance(zone string) int {
	switch {
	case zone == s.cfg.Self.Zone:
		return 0
	case s.cfg.Regions[zone] == s.cfg.Regions[s.cfg.Self.Zone]:
		return 1
	}
	return 2
}

// run looks for help, and for the end of a cut, while the VM is cut off from replicas.
func (s *Service) run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	var lastProbe time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := time.Now()
		s.log.Tick(now)
		cuts := s.tier.Cuts()
		if !cuts.Any() {
			s.ended()
			continue
		}
		s.cut.Store(&cuts)
		s.ask(ctx, now)
		if now.Sub(lastProbe) >= probeInterval {
			lastProbe = now
			s.wg.Go(func() { s.tier.ProbeCut(ctx) })
		}
		s.leaveReplicas(now, cuts)
	}
}

// ended records that the VM reaches the replicas.
func (s *Service) ended() {
	if s.cut.Swap(nil) == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.helpers.Clear()
	s.stay()
}

// leaveReplicas has the requests that wait for replicas handed over while the VM is cut
// off from all of them and another VM can help.
func (s *Service) leaveReplicas(now time.Time, cuts reach.Cuts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	leave := cuts.All && s.helpers.Any(now, func(map[string]bool) bool { return true })
	switch {
	case leave && !s.leaving:
		s.leaving = true
		close(s.leave)
	case !leave:
		s.stay()
	}
}

// stay has the requests that follow wait for replicas here. s.mu is held.
func (s *Service) stay() {
	if s.leaving {
		s.leave, s.leaving = make(chan struct{}), false
	}
}

// ask asks other VMs whether they can help.
func (s *Service) ask(ctx context.Context, now time.Time) {
	s.mu.Lock()
	due := s.helpers.Ask(now)
	s.mu.Unlock()
	for _, c := range due {
		s.wg.Go(func() { s.askOne(ctx, c) })
	}
}

// timedAsk asks a VM whether it reaches the replicas, and returns how long that took.
func timedAsk(ctx context.Context, client *peer.Client) (*swpb.Envelope, time.Duration, error) {
	begin := time.Now()
	env, err := client.Call(ctx, &swpb.Envelope{Body: &swpb.Envelope_ReachRequest{ReachRequest: &swpb.ReachRequest{}}})
	return env, time.Since(begin), err
}

// askOne asks a VM whether it can help.
func (s *Service) askOne(ctx context.Context, c helpers.Candidate) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	client := s.pool.Get(c.Addr)
	_, open := client.Peer()
	env, took, err := timedAsk(ctx, client)
	if !open && err == nil {
		env, took, err = timedAsk(ctx, client) // without the time to open the session
	}
	if err != nil {
		s.log.Info("handover").Err(err).Str("vm", c.Name).Msg("VM did not say whether it reaches the replicas")
		return
	}
	w := helpers.Word{CutOff: true, RoundTrip: took} // also of a build that doesn't know the question
	if r := env.GetReachReply(); r != nil {
		w.CutOff, w.Busy, w.LostPools = r.GetCutOff(), int(r.GetBusy()), map[string]bool{}
		for _, pool := range r.GetLostPools() {
			w.LostPools[pool] = true
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.helpers.Answered(time.Now(), c.Name, w)
}

package usagereport

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/sapphirewall/sapphirewall/internal/decide/ownership"
	"github.com/sapphirewall/sapphirewall/internal/decide/usage"
	"github.com/sapphirewall/sapphirewall/internal/kernel"
	"github.com/sapphirewall/sapphirewall/internal/platform"
	"github.com/sapphirewall/sapphirewall/internal/telemetry"
	"github.com/sapphirewall/sapphirewall/internal/vmregistry"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// ServiceName is the kernel name of the service.
const ServiceName = "usage-report"

const (
	tickInterval = 250 * time.Millisecond
	// termShare is the term of the lease in the store as a share of the time in which no
	// two VMs may report in turn. A longer term needs fewer writes; a shorter one lets
	// another VM take over before the next window is due.
	termShare = 1.5
	// callTimeShare bounds a call to the service, as a share of the same time. It must
	// fit into what is left of the lease when it is extended.
	callTimeShare = 1.0 / 3
	// storeTimeout bounds a call to the store, so that a lease can be extended once more
	// after a call without a reply.
	storeTimeout = time.Second
)

// Store is the part of the platform's store that the service uses.
type Store interface {
	Get(ctx context.Context, key string) (platform.Entry, error)
	Snapshot(ctx context.Context, prefix string) (platform.Changes, error)
	// CompareAndSwap writes key if it is at the revision expect (0: missing).
	CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte, lease platform.LeaseID) (platform.Entry, error)
	// CompareAndSwapWith is CompareAndSwap of key that writes another key with it, and
	// returns the revision of key.
	CompareAndSwapWith(ctx context.Context, key string, expect uint64, value []byte, otherKey string, otherValue []byte) (uint64, error)
	// Era returns the highest era of the store that this VM knows.
	Era() uint64
}

// CallFunc calls the service of another VM, at an address.
type CallFunc func(ctx context.Context, addr string, env *swpb.Envelope) (*swpb.Envelope, error)

// ReportFunc calls the service that takes the reports. It must end by timeout, and must ask
// mayCall just before it writes the call to the network.
type ReportFunc func(c usage.Call, timeout time.Duration, mayCall func() bool) usage.CallResult

// Config configures a Service.
type Config struct {
	Self     string // name of this VM
	Prefix   string // of the keys in the store
	Windows  usage.Windows
	Lease    time.Duration // time in which no two VMs may report in turn
	CallRate float64       // calls a second that the service takes; 0: not known
	Log      zerolog.Logger
	Boot     func() time.Duration // time since boot; nil: CLOCK_BOOTTIME
	Wall     func() time.Time     // nil: time.Now
}

// Service implements kernel.Service.
type Service struct {
	cfg    Config
	self   usage.CellID
	store  Store
	call   CallFunc
	report ReportFunc
	log    *telemetry.RateLimitedLogger

	mu       sync.Mutex // guards the fields below
	clock    *usage.Clock
	clocks   int           // that the estimate of true time comes from
	offset   time.Duration // of true time from the time since boot
	ledger   *usage.Ledger
	reporter *usage.Reporter
	addrs    map[string]string // by VM
	ranked   []string          // VMs that may be targets, by rank
	links    map[string]*link
	handed   uint64 // token whose handover was sent at least once
	reading  bool   // a call to the store is being made
	nextCall time.Duration

	wake chan struct{} // a call has ended
	stop context.CancelFunc
	wg   sync.WaitGroup
}

// New returns the service of a VM.
func New(cfg Config, store Store, call CallFunc, report ReportFunc) *Service {
	if cfg.Boot == nil {
		cfg.Boot = sinceBoot
	}
	if cfg.Wall == nil {
		cfg.Wall = time.Now
	}
	id := usage.CellID{VM: cfg.Self, Incarnation: uint64(cfg.Wall().UnixNano())}
	s := &Service{
		cfg: cfg, self: id, store: store, call: call, report: report, log: telemetry.NewRateLimitedLogger(cfg.Log),
		clock: usage.NewClock(cfg.Self), ledger: usage.NewLedger(id), addrs: map[string]string{}, links: map[string]*link{}, wake: make(chan struct{}, 1),
	}
	s.reporter = usage.NewReporter(usage.Config{
		Self: id, Windows: cfg.Windows, Term: time.Duration(termShare * float64(cfg.Lease)), CallTimeout: s.callTimeout(),
	}, s.ledger, cfg.Boot())
	s.readClocks()
	return s
}

func (s *Service) callTimeout() time.Duration {
	return time.Duration(callTimeShare * float64(s.cfg.Lease))
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

// Stop implements kernel.Service. It sends the last counts to other VMs, which report them.
func (s *Service) Stop(ctx context.Context) error {
	s.stop()
	s.wg.Wait()
	s.mu.Lock()
	s.ledger.Close()
	now := s.now()
	for _, l := range s.links {
		l.next = now.Boot
	}
	s.exchange(ctx, now, false)
	s.mu.Unlock()
	s.wg.Wait()
	return nil
}

// SetNodes sets the VMs that serve, including this one.
func (s *Service) SetNodes(nodes []vmregistry.Node) {
	candidates := make([]ownership.Candidate, 0, len(nodes))
	addrs := make(map[string]string, len(nodes))
	for _, n := range nodes {
		candidates = append(candidates, ownership.Candidate{Node: n.Name})
		addrs[n.Name] = n.Addr
	}
	ranked := ownership.Rank("usage", "", candidates, len(candidates))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addrs, s.ranked = addrs, ranked
	s.reporter.SetVMs(ranked)
}

// Began counts a request of a team that began to run. It is direct.Options.Began.
func (s *Service) Began(team string, at time.Time) {
	age := max(0, time.Since(at)) // by the monotonic clock, which is not set
	boot := s.cfg.Boot()
	s.mu.Lock()
	defer s.mu.Unlock()
	window := s.cfg.Windows.At(time.Unix(0, int64(s.offset+boot-age)))
	if s.ledger.Add(window, team) {
		telemetry.Map("usage").Add("counted", 1)
		return
	}
	telemetry.Map("usage").Add("too_late", 1)
	s.log.Warn("usage").Int64("window", window).Dur("age", age).Msg("request not counted: its window is closed")
}

// readClocks updates the estimate of true time and returns the present time. s.mu is held.
func (s *Service) readClocks() usage.Now {
	boot := s.cfg.Boot()
	s.clock.ObserveOwn(boot, s.cfg.Wall())
	t, clocks := s.clock.Now(boot)
	s.offset, s.clocks = time.Duration(t.UnixNano())-boot, clocks
	return usage.Now{Boot: boot, True: t}
}

// now returns the present time by the last estimate. s.mu is held.
func (s *Service) now() usage.Now {
	boot := s.cfg.Boot()
	return usage.Now{Boot: boot, True: time.Unix(0, int64(s.offset+boot))}
}

func (s *Service) run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			s.log.Tick(now)
		case <-s.wake:
		}
		s.step(ctx)
	}
}

// step begins the calls that are due.
func (s *Service) step(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.readClocks()
	w := s.cfg.Windows
	closed := s.ledger.Advance(w.At(now.True), func(window int64) bool { return w.Final(now.True, window) }, s.reporter.SealedBefore())
	s.exchange(ctx, now, closed)
	if !s.reading {
		released := s.reporter.Released()
		a := s.reporter.StoreAction(now, s.store.Era())
		if s.reporter.Released() != released {
			s.wakeUp() // to tell the successor at once
		}
		if a.Kind != usage.None {
			s.reading = true
			s.wg.Go(func() { s.useStore(ctx, a) })
		}
	}
	if now.Boot >= s.nextCall {
		if c, ok := s.reporter.Call(now); ok {
			if s.cfg.CallRate > 0 {
				s.nextCall = now.Boot + time.Duration(float64(time.Second)/s.cfg.CallRate)
			}
			s.wg.Go(func() { s.callService(c) })
		}
	}
	s.logEvents()
}

// callService makes a report.
func (s *Service) callService(c usage.Call) {
	timeout := min(c.Until-s.cfg.Boot(), s.callTimeout())
	result := usage.NotSent
	if timeout > 0 {
		result = s.report(c, timeout, func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.reporter.MayCall(s.cfg.Boot(), c)
		})
	}
	s.mu.Lock()
	now := s.now()
	s.reporter.Called(now, c, result)
	if wait := s.nextCall - now.Boot; wait > 0 {
		time.AfterFunc(wait, s.wakeUp) // several windows may be due after a takeover
	}
	s.mu.Unlock()
	telemetry.Map("usage").Add("calls_"+result.String(), 1)
	if result != usage.Accepted {
		s.log.Warn("usage").Int64("window", c.Window).Uint64("token", c.Token).Stringer("result", result).Msg("usage report not accepted")
	}
	s.wakeUp()
}

// wakeUp lets the loop take the next step at once.
func (s *Service) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// logEvents logs and counts what has happened. s.mu is held.
func (s *Service) logEvents() {
	for _, e := range s.reporter.Events() {
		m := telemetry.Map("usage")
		m.Add(e.Kind.String(), 1)
		switch e.Kind {
		case usage.Acquired, usage.Lost, usage.Released, usage.Yielded:
			s.log.Info("usage").Uint64("token", e.Token).Stringer("event", e.Kind).Msg("lease of the usage reporter changed")
		case usage.SealedWindow:
			m.Add("open_vms", int64(len(e.Open)))
			s.log.Info("usage").Int64("window", e.Window).Uint64("requests", e.Total).Int("processes", e.Cells).Int("missing", len(e.Open)).
				Strs("missing_vms", e.Open[:min(len(e.Open), maxLogged)]).Msg("usage of a window sealed")
		case usage.Reported:
			s.log.Info("usage").Int64("window", e.Window).Uint64("requests", e.Total).Dur("after", e.Late).Bool("late", e.Late > s.cfg.Windows.Due).Msg("usage report accepted")
		case usage.Missing:
			m.Add("missing_windows", e.Until-e.Window+1)
			s.log.Warn("usage").Int64("window", e.Window).Int64("until", e.Until).Msg("usage of windows is missing")
		case usage.Unreported:
			s.log.Warn("usage").Int64("window", e.Window).Msg("usage of a window was not accepted and is given up")
		case usage.NoToken:
			s.log.Warn("usage").Msg("no fencing token is left")
		}
	}
}

// maxLogged bounds the names of VMs in a log line.
const maxLogged = 10

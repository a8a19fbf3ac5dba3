package direct

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/sapphirewall/sapphirewall/internal/connpool"
	"github.com/sapphirewall/sapphirewall/internal/decide/apikey"
	"github.com/sapphirewall/sapphirewall/internal/decide/discovery"
	"github.com/sapphirewall/sapphirewall/internal/decide/evidence"
	"github.com/sapphirewall/sapphirewall/internal/decide/lag"
	"github.com/sapphirewall/sapphirewall/internal/decide/reach"
	"github.com/sapphirewall/sapphirewall/internal/decide/retry"
	"github.com/sapphirewall/sapphirewall/internal/decide/upstreamlimit"
	"github.com/sapphirewall/sapphirewall/internal/decide/zonehold"
	"github.com/sapphirewall/sapphirewall/internal/kernel"
	"github.com/sapphirewall/sapphirewall/internal/routes"
	"github.com/sapphirewall/sapphirewall/internal/suspects"
	"github.com/sapphirewall/sapphirewall/internal/tables"
	"github.com/sapphirewall/sapphirewall/internal/telemetry"
)

// ServiceName is the kernel name of the service.
const ServiceName = "direct"

// Errors of Ready.
var (
	ErrNoTables    = errors.New("direct: no tables in force yet")
	ErrNoUpstreams = errors.New("direct: upstreams not read yet")
)

// tablesRevision is one revision of the tables with its route index. It is
// immutable.
type tablesRevision struct {
	tables *tables.Tables
	index  *routes.Index
	since  time.Time // when it came into force
}

// Service serves requests. It is safe for concurrent use.
type Service struct {
	opts    Options
	log     *telemetry.RateLimitedLogger
	metrics metrics
	tracer  *telemetry.Tracer // nil: none
	// suspects has the requests that are suspected of crashing replicas.
	suspects *suspects.Board
	// admission decides which requests are begun; guarded by mu.
	admission admitter

	startedAt time.Time // of the process

	keys            atomic.Pointer[teamKeys] // of inForce; nil: it has no teams
	keysUsableUntil atomic.Int64             // of package boottime, in nanoseconds
	keysOutdated    atomic.Bool              // a request was refused since the last confirmation

	lagMu sync.Mutex // guards lag
	lag   *lag.Tracker

	mu                sync.Mutex       // guards the fields up to unavailableSince
	inForce           *tablesRevision  // nil: no tables yet
	knowledge         apikey.Knowledge // of the keys in inForce
	upstreams         *discovery.Machine
	upstreamsRead     bool // the registrations have been read at least once
	zones             *zonehold.Holder
	zonesOutOfService map[string]bool                      // by zones
	replicas          map[string]*replica                  // by upstream ID
	limits            map[incarnation]*upstreamlimit.Limit // also of upstreams that are not usable now
	retired           []*connpool.Pool                     // of former replicas, until their attempts have ended
	pools             map[string]*pool
	backlog           retry.Backlog
	routes            map[string]*routeStats
	rng               *rand.Rand
	vms               []VM           // that serve; empty: not known
	fleet             []string       // their names
	regionVMs         map[string]int // their number by region
	reach             reach.Machine
	reachJudgedAt     time.Time
	evidence          *evidence.Board // of replicas that reject requests
	limitsChangedAt   time.Time       // when a limit in limits last changed
	joined            bool            // the other VMs count this one
	versionsReported  time.Time       // last report of the pools with several versions
	unavailableSince  time.Time       // start of the store's outage; zero: available

	wake chan struct{} // makes maintain call refresh
	stop context.CancelFunc
	done chan struct{}
}

// New returns a service without tables and upstreams.
func New(o Options, log zerolog.Logger) *Service {
	if o.StartedAt.IsZero() {
		o.StartedAt = time.Now()
	}
	return &Service{
		startedAt: o.StartedAt, lag: lag.New(sweepInterval),
		opts: o, log: telemetry.NewRateLimitedLogger(log), metrics: newMetrics(),
		upstreams: discovery.New(), zones: zonehold.New(), zonesOutOfService: map[string]bool{}, replicas: map[string]*replica{}, limits: map[incarnation]*upstreamlimit.Limit{},
		pools: map[string]*pool{}, routes: map[string]*routeStats{},
		suspects: suspects.NewBoard(), evidence: evidence.New(o.Node), admission: newAdmitter(o.Admission),
		rng:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		wake: make(chan struct{}, 1), done: make(chan struct{}),
	}
}

// Suspects returns the requests that are suspected of crashing replicas, for the
// service that shares them with the other VMs.
func (s *Service) Suspects() *suspects.Board { return s.suspects }

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return nil }

// Start implements kernel.Service.
func (s *Service) Start(ctx context.Context, _ *kernel.Kernel) error {
	ctx, s.stop = context.WithCancel(ctx)
	go s.maintain(ctx)
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.stop()
	<-s.done
	s.report("counters at shutdown")
	s.log.Flush()
	return nil
}

// Ready implements kernel.Service.
func (s *Service) Ready() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.inForce == nil:
		return ErrNoTables
	case !s.upstreamsRead:
		return ErrNoUpstreams
	}
	return nil
}

// maintain periodically closes overdue connections and logs the counters, and
// refreshes the replicas when their status changes or is due to change.
func (s *Service) maintain(ctx context.Context) {
	defer close(s.done)
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	reports := time.NewTicker(reportInterval)
	defer reports.Stop()
	refresh := time.NewTimer(time.Hour)
	defer refresh.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			s.observeWaits(now)
			s.sweep(now)
			s.reportVersions(now)
			s.log.Tick(now)
			continue
		case <-reports.C:
			s.report("periodic counters")
			continue
		case <-s.wake:
		case <-refresh.C:
		}
		if next := s.refresh(time.Now()); !next.IsZero() {
			refresh.Reset(max(time.Until(next), time.Millisecond))
		}
	}
}

// report logs all counters.
func (s *Service) report(msg string) {
	s.reportZoneShare()
	s.log.Info("counters").RawJSON("counters", []byte(s.metrics.counters.String())).Msg(msg)
}

// observeRunning records that the process runs now, and logs the end of a pause. A
// wall clock that steps forward looks like a suspended VM. s.mu is held.
func (s *Service) observeRunning(now time.Time) {
	if d := s.backlog.Run(now); d > 0 {
		s.metrics.add("pauses", 1)
		s.reach.Paused(now)
		s.dropEvidence(now)
		s.log.Warn("paused").Dur("for", d).Msg("process was paused or the wall clock stepped; requests that waited meanwhile count as sent when that began")
	}
}

func (s *Service) sweep(now time.Time) {
	s.mu.Lock()
	s.observeRunning(now)
	s.joinFleet(now)
	s.judgeReach(now)
	s.retired = slices.DeleteFunc(s.retired, (*connpool.Pool).Ended)
	pools := slices.Clone(s.retired)
	for _, r := range s.replicas {
		if !r.conns.Empty() {
			pools = append(pools, r.conns)
		}
	}
	s.mu.Unlock()
	for _, p := range pools {
		p.Sweep(now)
	}
}

// Reload applies changed limits on extra attempts. Changes of other options apply
// from the next start.
func (s *Service) Reload(o Options) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.opts.RetryShare != o.RetryShare || s.opts.RetrySlack != o.RetrySlack
	s.opts.RetryShare, s.opts.RetrySlack = o.RetryShare, o.RetrySlack
	if changed {
		for _, p := range s.pools {
			p.budget.SetLimits(s.extraLimits())
		}
	}
	s.log.Info("settings").Bool("changed", changed).Float64("retry_share", o.RetryShare).Float64("retry_slack", o.RetrySlack).Msg("settings in force")
}

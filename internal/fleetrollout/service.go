package fleetrollout

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/sapphirewall/sapphirewall/internal/decide/backoff"
	"github.com/sapphirewall/sapphirewall/internal/decide/ownership"
	"github.com/sapphirewall/sapphirewall/internal/decide/rollout"
	"github.com/sapphirewall/sapphirewall/internal/kernel"
	"github.com/sapphirewall/sapphirewall/internal/storewatch"
	"github.com/sapphirewall/sapphirewall/internal/telemetry"
	"github.com/sapphirewall/sapphirewall/internal/vmregistry"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// ServiceName is the kernel name of the service.
const ServiceName = "fleet-rollout"

// The intervals and timeouts of the service.
const (
	tickInterval = 50 * time.Millisecond
	// idleInterval is the time between two looks for orders while there are none.
	idleInterval = 250 * time.Millisecond
	// numJudges is two, so that one has all samples when the other fails.
	numJudges = 2
	// trialReportInterval is the time between two reports of a VM to a judge,
	// takeoverReportInterval during takeover and commit, where the new version gets
	// nearly all requests.
	trialReportInterval    = 250 * time.Millisecond
	takeoverReportInterval = 100 * time.Millisecond
	// reportsPerSecond bounds the reports that a judge gets about an order, and
	// maxReportInterval the time between two of a VM: a fifth of the time to roll a
	// version back.
	reportsPerSecond  = 500
	maxReportInterval = time.Second
	// finalReportInterval is the time between two reports of a VM on which a final
	// phase is in force that the store does not have yet.
	finalReportInterval = 2 * time.Second
	// writeFailureHold is how long after a failed write the store counts as
	// unavailable.
	writeFailureHold = time.Second
	// callTimeout bounds a report and its reply.
	callTimeout = time.Second
	// leaderTimeout is the time without a reply of the first judge after which a VM
	// goes by the second one.
	leaderTimeout = 750 * time.Millisecond
)

// writePace limits the calls of a VM to the store.
var writePace = backoff.Config{Min: 100 * time.Millisecond, Max: time.Second, Rate: 4, Burst: 8}

// Tier is the part of package direct that the service uses.
type Tier interface {
	Rollouts() map[rollout.Order]rollout.Phase
	RolloutReport(now time.Time, o rollout.Order) (r rollout.Report, ok bool)
	RolloutCapacity(now time.Time, o rollout.Order) rollout.Capacity
	ApplyGuidance(now time.Time, o rollout.Order, g rollout.Guidance, recorded bool)
}

// CallFunc calls the service of another VM, at an address.
type CallFunc func(ctx context.Context, addr string, env *swpb.Envelope) (*swpb.Envelope, error)

// FollowFunc watches a prefix of the store until ctx ends.
type FollowFunc func(ctx context.Context, prefix string, h storewatch.Handler)

// Config configures a Service.
type Config struct {
	Self   string // name of this VM
	Prefix string // of the keys of records
	Limits rollout.Limits
	Log    zerolog.Logger
}

// judgeLink is what this VM knows of a judge of an order.
type judgeLink struct {
	sending bool      // a report is on its way
	sent    time.Time // when the last report was sent
	heard   time.Time // when it last stated a phase
}

// task is an order that is being carried out.
type task struct {
	order  rollout.Order
	judges []string // VMs, the first of which leads
	links  map[string]*judgeLink
	judge  *rollout.FleetJudge // nil: this VM has not been a judge of it
	logged string              // last reason logged why the next phase waits
	heldAt time.Time           // since when the store lacks a final phase

	record  record // as last read or written
	writing bool
	pacer   *backoff.Pacer
}

// Service implements kernel.Service.
type Service struct {
	cfg    Config
	tier   Tier
	store  Store
	call   CallFunc
	follow FollowFunc
	rng    *rand.Rand

	mu            sync.Mutex // guards the fields below
	ctx           context.Context
	nodes         map[string]string // address by VM
	vms           []string
	tasks         map[rollout.Order]*task
	records       map[string]record // by pool, as read from the store
	following     bool
	unavailable   bool      // the records can't be read
	writeFailedAt time.Time // when a write last failed

	stop context.CancelFunc
	wg   sync.WaitGroup
}

// New returns the service.
func New(cfg Config, tier Tier, store Store, call CallFunc, follow FollowFunc) *Service {
	return &Service{
		cfg: cfg, tier: tier, store: store, call: call, follow: follow, rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		nodes: map[string]string{}, tasks: map[rollout.Order]*task{}, records: map[string]record{},
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
	s.mu.Lock()
	s.ctx = ctx
	s.mu.Unlock()
	s.wg.Go(func() { s.run(ctx) })
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.stop()
	s.wg.Wait()
	return nil
}

// SetNodes sets the VMs that serve, including this one.
func (s *Service) SetNodes(nodes []vmregistry.Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes, s.vms = make(map[string]string, len(nodes)), s.vms[:0:0]
	for _, n := range nodes {
		s.nodes[n.Name] = n.Addr
		s.vms = append(s.vms, n.Name)
	}
	for _, t := range s.tasks {
		s.chooseJudges(t)
	}
}

// chooseJudges chooses the judges of an order among the known VMs. s.mu is held.
func (s *Service) chooseJudges(t *task) {
	candidates := make([]ownership.Candidate, 0, len(s.vms))
	for _, vm := range s.vms {
		candidates = append(candidates, ownership.Candidate{Node: vm})
	}
	t.judges = ownership.Rank("rollout/"+t.order.Pool+"/"+t.order.Version, "", candidates, numJudges)
	for _, name := range t.judges {
		if t.links[name] == nil {
			t.links[name] = &judgeLink{}
		}
	}
	if t.judge != nil {
		t.judge.SetVMs(s.vms)
	}
}

func (s *Service) run(ctx context.Context) {
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		next := idleInterval
		if s.tick(ctx, time.Now()) {
			next = tickInterval
		}
		timer.Reset(next)
	}
}

// tick reports on all orders and decides on those that this VM judges. It reports
// whether there are any.
func (s *Service) tick(ctx context.Context, now time.Time) bool {
	orders := s.tier.Rollouts()
	s.mu.Lock()
	defer s.mu.Unlock()
	for o := range s.tasks {
		if _, given := orders[o]; !given {
			delete(s.tasks, o)
		}
	}
	for o, phase := range orders {
		t := s.taskOf(now, o)
		s.report(ctx, now, t, phase)
		s.decide(ctx, now, t)
	}
	return len(orders) > 0
}

// taskOf returns the task of an order. s.mu is held.
func (s *Service) taskOf(now time.Time, o rollout.Order) *task {
	if t := s.tasks[o]; t != nil {
		return t
	}
	t := &task{order: o, links: map[string]*judgeLink{}, pacer: backoff.New(writePace, s.rng)}
	s.tasks[o] = t
	s.chooseJudges(t)
	if !s.following {
		s.following = true
		ctx := s.ctx
		s.wg.Go(func() { s.follow(ctx, s.cfg.Prefix, recordHandler{s}) })
	}
	s.applyRecord(now, t, s.records[o.Pool])
	return t
}

// reportInterval returns the time between two reports to a judge. s.mu is held.
func (s *Service) reportInterval(t *task, phase rollout.Phase) time.Duration {
	interval := trialReportInterval
	switch {
	case phase.Final() && t.record.phase == phase && t.record.isOf(t.order):
		return time.Hour // everyone can read it
	case phase.Final():
		return finalReportInterval
	case phase == rollout.Takeover || phase == rollout.Commit:
		interval = takeoverReportInterval
	}
	return min(max(interval, time.Duration(len(s.vms))*time.Second/reportsPerSecond), maxReportInterval)
}

// report sends this VM's report to the judges of an order that are due for one. s.mu
// is held.
func (s *Service) report(ctx context.Context, now time.Time, t *task, phase rollout.Phase) {
	interval := s.reportInterval(t, phase)
	for _, name := range t.judges {
		link := t.links[name]
		if link.sending || now.Sub(link.sent) < interval {
			continue
		}
		r, ok := s.tier.RolloutReport(now, t.order)
		if !ok {
			return
		}
		link.sent = now
		if name == s.cfg.Self {
			g, _ := s.receive(now, t, r)
			s.heard(now, t, name, g)
			continue
		}
		link.sending = true
		addr := s.nodes[name]
		s.wg.Go(func() { s.send(ctx, t, name, addr, toProto(t.order, &r)) })
	}
}

// send sends a report to a judge and applies its reply.
func (s *Service) send(ctx context.Context, t *task, judge, addr string, r *swpb.RolloutReport) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := s.call(ctx, addr, &swpb.Envelope{Body: &swpb.Envelope_RolloutReport{RolloutReport: r}})
	s.mu.Lock()
	defer s.mu.Unlock()
	t.links[judge].sending = false
	if err != nil {
		s.cfg.Log.Debug().Err(err).Str("judge", judge).Msg("judge of a rollout did not answer")
		return
	}
	if g := reply.GetRolloutGuidance(); g.GetKnown() {
		s.heard(time.Now(), t, judge, toGuidance(g))
	}
}

// heard applies what a judge has stated. The second judge's phase counts while the
// first one is not heard; its veto always does. s.mu is held.
func (s *Service) heard(now time.Time, t *task, judge string, g rollout.Guidance) {
	link := t.links[judge]
	link.heard = now
	rank := slices.Index(t.judges, judge)
	leads := rank == 0 || rank > 0 && now.Sub(t.links[t.judges[0]].heard) >= leaderTimeout
	if leads || g.Phase.Final() {
		s.tier.ApplyGuidance(now, t.order, g, false)
	}
}

// Handle answers the report of another VM.
func (s *Service) Handle(r *swpb.RolloutReport) *swpb.RolloutGuidance {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.tasks {
		if sent := toOrder(r); sent.Repeats(t.order) || t.order.Repeats(sent) {
			if g, ok := s.receive(now, t, toReport(r)); ok {
				return fromGuidance(g)
			}
		}
	}
	return &swpb.RolloutGuidance{}
}

// receive passes a report to this VM's judge of an order and returns its guidance.
// s.mu is held.
func (s *Service) receive(now time.Time, t *task, r rollout.Report) (rollout.Guidance, bool) {
	if t.judge == nil {
		t.judge = rollout.NewFleetJudge(t.order, s.cfg.Limits, now)
		t.judge.SetVMs(s.vms)
		if t.record.isOf(t.order) {
			t.judge.Recorded(now, t.record.phase, t.record.reason)
			t.judge.SetAge(now, t.record.age)
		}
	}
	t.judge.Report(now, r)
	return t.judge.Guidance(now), true
}

// decide lets this VM's judge of an order decide, applies its phase here, and has the
// record written. s.mu is held.
func (s *Service) decide(ctx context.Context, now time.Time, t *task) {
	if t.judge == nil {
		return
	}
	leads := s.leads(now, t)
	before := t.judge.Phase()
	t.judge.SetCapacity(s.tier.RolloutCapacity(now, t.order))
	t.judge.SetStoreAvailable(!s.unavailable && now.Sub(s.writeFailedAt) >= writeFailureHold)
	t.judge.Decide(now, leads)
	g := t.judge.Guidance(now)
	if g.Phase != before {
		s.logPhase(t, before, g)
		t.links[s.cfg.Self] = &judgeLink{heard: now}
		s.tier.ApplyGuidance(now, t.order, g, false)
	}
	if held := t.judge.Held(); held != t.logged {
		t.logged = held
		s.cfg.Log.Info().Str("kind", "rollout").Str("pool", t.order.Pool).Str("version", t.order.Version).Stringer("phase", g.Phase).
			Bool("leads", leads).Dur("age", g.Age).Str("why", held).Msg("judge waits with the next phase")
	}
	s.sync(ctx, now, t, leads)
}

// leads reports whether this VM's judge decides on the phases of an order: it ranks
// first, or has not heard the first one for a while. s.mu is held.
func (s *Service) leads(now time.Time, t *task) bool {
	rank := slices.Index(t.judges, s.cfg.Self)
	return rank == 0 || rank > 0 && !t.judge.Hears(now, t.judges[0])
}

func (s *Service) logPhase(t *task, before rollout.Phase, g rollout.Guidance) {
	firsts, sent := t.judge.Totals()
	telemetry.Map("rollout").Add(g.Phase.String(), 1)
	s.cfg.Log.Info().Str("kind", "rollout").Str("pool", t.order.Pool).Str("version", t.order.Version).Stringer("before", before).
		Stringer("phase", g.Phase).Dur("age", g.Age).Int("requests", firsts).Int("sent", sent).Str("reason", g.Reason).Msg("judge has decided")
}

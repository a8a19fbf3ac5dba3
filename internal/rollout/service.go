package rollout

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/rs/zerolog"

	decide "github.com/sapphirewall/sapphirewall/internal/decide/rollout"
	"github.com/sapphirewall/sapphirewall/internal/fleetstate"
	"github.com/sapphirewall/sapphirewall/internal/kernel"
	"github.com/sapphirewall/sapphirewall/internal/launch"
	"github.com/sapphirewall/sapphirewall/internal/peer"
	"github.com/sapphirewall/sapphirewall/internal/platform"
	"github.com/sapphirewall/sapphirewall/internal/platform/platformsvc"
	"github.com/sapphirewall/sapphirewall/internal/rolloutstore"
	"github.com/sapphirewall/sapphirewall/internal/tables"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// Name is the kernel name of the service, and controlName that of the service
// it builds on.
const (
	Name        = "rollout"
	controlName = "control"
)

// The times of the service.
const (
	tickInterval   = 100 * time.Millisecond
	recordInterval = 2 * time.Second
	callTimeout    = time.Second
	recordTimeout  = 5 * time.Second
)

// Control is what the service needs of the control service.
type Control interface {
	fleetstate.Source
	Members() []fleetstate.Member
	AddVetoes(list ...fleetstate.Veto)
	SetStages(list []fleetstate.RolloutStage)
}

// Platform gives the key-value service.
type Platform interface {
	KV() platform.KV
}

// Config is what the service is made of.
type Config struct {
	Node   string
	Prefix string // of the platform's keys
	Log    zerolog.Logger
	Peer   peer.Options
	Now    func() time.Time
}

// id names a rollout.
type id struct {
	pool, version string
	start         int64
}

// rollout is one rollout of the tables in force.
type rollout struct {
	id       id
	plan     tables.Rollout
	progress decide.Progress
	reason   string        // why the version was taken back
	by       string        // which judge took it back
	judge    *decide.Judge // set while this node is a judge
	proved   bool
	phase    rolloutstore.Phase // recorded, as far as this node knows
	stored   bool               // the record has been read or written
	// recordedStage is the stage of the record.
	recordedStage int
}

// Service implements kernel.Service.
type Service struct {
	cfg     Config
	control Control
	peers   *peer.Pool
	record  *recorder
	cancel  context.CancelFunc
	work    sync.WaitGroup

	mu       sync.Mutex // guards the fields below
	rollouts map[id]*rollout
	latest   *swpb.StatsReport // of this VM's egress, not yet passed on
	reports  uint64
	wake     chan struct{}
}

// Register adds the service to env.Kernel. It needs the services control and
// platform.
func Register(env *launch.Env) error {
	n := env.Settings.Node
	self := peer.Identity{Fleet: n.Fleet, Node: n.ID, Zone: n.Zone, Role: peer.RoleControl, Incarnation: uint64(time.Now().UnixNano())}
	return env.Kernel.Register(New(Config{
		Node: n.ID, Prefix: env.Settings.Platform.Prefix, Log: env.Log,
		Peer: peer.Options{Self: self, Streams: 1, Dial: env.Dial},
	}))
}

// New returns the service of a configuration.
func New(cfg Config) *Service {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Service{cfg: cfg, rollouts: map[id]*rollout{}, wake: make(chan struct{}, 1)}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return []string{controlName, platformsvc.Name} }

// Ready implements kernel.Service.
func (s *Service) Ready() error { return nil }

// Start implements kernel.Service.
func (s *Service) Start(ctx context.Context, k *kernel.Kernel) error {
	c, err := kernel.Lookup[Control](k, controlName)
	if err != nil {
		return err
	}
	p, err := kernel.Lookup[Platform](k, platformsvc.Name)
	if err != nil {
		return err
	}
	s.start(ctx, c, p.KV())
	return nil
}

func (s *Service) start(ctx context.Context, c Control, kv platform.KV) {
	s.control = c
	s.peers = peer.NewPool(s.cfg.Peer)
	s.record = newRecorder(kv, s.cfg.Prefix, s.cfg.Node)
	ctx, s.cancel = context.WithCancel(ctx)
	s.work.Go(func() { every(ctx, tickInterval, func() { s.tick(ctx) }) })
	s.work.Go(func() { every(ctx, recordInterval, func() { s.recordOutcomes(ctx) }) })
	s.work.Go(func() { s.passOn(ctx) })
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.work.Wait()
	s.peers.Close()
	return nil
}

// every calls f each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, f func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			f()
		case <-ctx.Done():
			return
		}
	}
}

// tick follows the tables, decides what this node judges and tells news.
func (s *Service) tick(ctx context.Context) {
	state := s.control.Current()
	if state.Tables == nil {
		return
	}
	now := s.cfg.Now()
	members := s.control.Members()
	s.mu.Lock()
	s.follow(state.Tables, members)
	s.learnVetoes(state.Vetoes)
	news := false
	for _, r := range s.rollouts {
		if r.judge == nil {
			continue
		}
		p := r.judge.Decide(now)
		r.proved = r.proved || r.judge.Complete(now)
		if p.Vetoed && !r.progress.Vetoed {
			r.reason, r.by = r.judge.Reason(), s.cfg.Node
			s.cfg.Log.Warn().Str("pool", r.id.pool).Str("version", r.id.version).Str("reason", r.reason).Msg("version taken back")
		}
		news = r.learn(p) || news
	}
	stages, vetoes := s.stages(), s.vetoes(state.Tables.Revision)
	s.mu.Unlock()
	s.publish(state, stages, vetoes)
	s.closeUnlisted(members)
	if news {
		s.tell(ctx, members, stages, vetoes)
	}
}

// follow keeps one rollout for each that the tables hold, and a judge for each
// that this node judges.
func (s *Service) follow(t *tables.Tables, members []fleetstate.Member) {
	live := map[id]bool{}
	for _, pool := range t.Pools {
		if pool.Rollout == nil {
			continue
		}
		k := id{pool.Name, pool.Rollout.To, pool.Rollout.Start.Unix()}
		live[k] = true
		r := s.rollouts[k]
		if r == nil {
			r = &rollout{id: k}
			s.rollouts[k] = r
		}
		if r.judge != nil && r.plan != *pool.Rollout {
			r.judge = nil
		}
		r.plan = *pool.Rollout
		switch rank := judgeRank(k, s.cfg.Node, members); {
		case rank < 0:
			r.judge = nil
		case r.judge == nil:
			r.judge = decide.NewJudge(r.plan, r.progress)
		}
	}
	for k := range s.rollouts {
		if !live[k] {
			delete(s.rollouts, k)
		}
	}
}

// learn merges progress and reports whether it brought anything new.
func (r *rollout) learn(p decide.Progress) bool {
	merged := r.progress.Merge(p)
	changed := merged != r.progress
	r.progress = merged
	if r.judge != nil && changed {
		r.judge.MergeProgress(merged)
	}
	return changed
}

func (s *Service) learnVetoes(list []fleetstate.Veto) {
	for _, v := range list {
		for k, r := range s.rollouts {
			sameStart := v.Start.IsZero() || v.Start.Unix() == k.start
			if k.pool == v.Pool && k.version == v.Version && sameStart {
				r.learn(decide.Progress{Vetoed: true})
				if r.reason == "" {
					r.reason, r.by = v.Reason, v.By
				}
			}
		}
	}
}

// publish puts what is known into the view of this VM.
func (s *Service) publish(state *fleetstate.State, stages []fleetstate.RolloutStage, vetoes []fleetstate.Veto) {
	if !sameStages(state.Stages, stages) {
		s.control.SetStages(stages)
	}
	known := map[id]bool{}
	for _, v := range state.Vetoes {
		known[id{v.Pool, v.Version, v.Start.Unix()}] = true
	}
	var fresh []fleetstate.Veto
	for _, v := range vetoes {
		if !known[id{v.Pool, v.Version, v.Start.Unix()}] {
			fresh = append(fresh, v)
		}
	}
	if len(fresh) > 0 {
		s.control.AddVetoes(fresh...)
	}
}

func sameStages(a, b []fleetstate.RolloutStage) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// stages returns the progress of all rollouts, in a fixed order.
func (s *Service) stages() []fleetstate.RolloutStage {
	var out []fleetstate.RolloutStage
	for k, r := range s.rollouts {
		out = append(out, fleetstate.RolloutStage{Pool: k.pool, Version: k.version, Start: time.Unix(k.start, 0), Stage: r.progress.Stage, HoldUntil: r.progress.HoldUntil})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Pool < out[j].Pool })
	return out
}

func (s *Service) vetoes(revision uint64) []fleetstate.Veto {
	var out []fleetstate.Veto
	for k, r := range s.rollouts {
		if r.progress.Vetoed {
			out = append(out, fleetstate.Veto{Pool: k.pool, Version: k.version, Start: time.Unix(k.start, 0), Reason: r.reason, Revision: revision, By: r.by})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Pool < out[j].Pool })
	return out
}

// RolloutStatus tells the state of the rollouts for swctl.
func (s *Service) RolloutStatus() []*swpb.RolloutStatus {
	now := s.cfg.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*swpb.RolloutStatus
	for k, r := range s.rollouts {
		out = append(out, &swpb.RolloutStatus{
			Pool: k.pool, Version: k.version, Phase: string(r.wanted()),
			Share: decide.Share(&r.plan, r.progress, now), Reason: r.reason,
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetPool() < out[j].GetPool() })
	return out
}

// wanted is the phase that the record should have.
func (r *rollout) wanted() rolloutstore.Phase {
	switch {
	case r.progress.Vetoed:
		return rolloutstore.TakenBack
	case r.proved || r.phase == rolloutstore.Done:
		return rolloutstore.Done
	default:
		return rolloutstore.Moving
	}
}

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

// Name is the kernel name of this service and controlName that of the control
// service, which it uses.
const (
	Name        = "rollout"
	controlName = "control"
)

// Intervals and timeouts of the service.
const (
	tickInterval   = 100 * time.Millisecond
	recordInterval = 2 * time.Second
	callTimeout    = time.Second
	recordTimeout  = 5 * time.Second
)

// Control is the part of the control service that this service uses.
type Control interface {
	fleetstate.Source
	Members() []fleetstate.Member
	AddVetoes(list ...fleetstate.Veto)
	SetStages(list []fleetstate.RolloutStage)
}

// Platform provides the platform's key-value service.
type Platform interface {
	KV() platform.KV
}

// Config configures a Service.
type Config struct {
	Node   string
	Prefix string // of the keys in the platform
	Log    zerolog.Logger
	Peer   peer.Options
	Now    func() time.Time
}

// rolloutID identifies a rollout.
type rolloutID struct {
	pool, version string
	start         int64 // Unix time in seconds
}

// rollout is the state of one rollout of the tables in force.
type rollout struct {
	id          rolloutID
	plan        tables.Rollout
	progress    decide.Progress
	reason      string        // of the veto
	vetoedBy    string        // node whose judge vetoed, or that recorded the veto
	judge       *decide.Judge // set while this node is a judge
	complete    bool
	phase       rolloutstore.Phase // last known phase of the record
	recordKnown bool               // the record has been read or written
	// recordedStage is the last known stage of the record.
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

	mu          sync.Mutex // guards the fields below
	rollouts    map[rolloutID]*rollout
	latest      *swpb.StatsReport // last report of this VM's egress process
	reports     uint64
	reportReady chan struct{}
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

// New returns a service with the given configuration.
func New(cfg Config) *Service {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Service{cfg: cfg, rollouts: map[rolloutID]*rollout{}, reportReady: make(chan struct{}, 1)}
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
	s.work.Go(func() { s.forwardReports(ctx) })
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.work.Wait()
	s.peers.Close()
	return nil
}

// every calls f at each interval until ctx ends.
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

// tick applies the tables in force, evaluates the rollouts that this node judges
// and notifies all members of new stages and vetoes.
func (s *Service) tick(ctx context.Context) {
	state := s.control.Current()
	if state.Tables == nil {
		return
	}
	now := s.cfg.Now()
	members := s.control.Members()
	s.mu.Lock()
	s.syncRollouts(state.Tables, members)
	s.applyVetoes(state.Vetoes)
	changed := false
	for _, r := range s.rollouts {
		if r.judge == nil {
			continue
		}
		p := r.judge.Decide(now)
		r.complete = r.complete || r.judge.Complete(now)
		if p.Vetoed && !r.progress.Vetoed {
			r.reason, r.vetoedBy = r.judge.Reason(), s.cfg.Node
			s.cfg.Log.Warn().Str("pool", r.id.pool).Str("version", r.id.version).Str("reason", r.reason).Msg("version rolled back")
		}
		changed = r.mergeProgress(p) || changed
	}
	stages, vetoes := s.stages(), s.vetoes(state.Tables.Revision)
	s.mu.Unlock()
	s.updateState(state, stages, vetoes)
	s.closeUnlisted(members)
	if changed {
		s.notifyMembers(ctx, members, stages, vetoes)
	}
}

// syncRollouts keeps one rollout for each of the tables, and a judge for each
// that this node judges.
func (s *Service) syncRollouts(t *tables.Tables, members []fleetstate.Member) {
	current := map[rolloutID]bool{}
	for _, pool := range t.Pools {
		if pool.Rollout == nil {
			continue
		}
		id := rolloutID{pool.Name, pool.Rollout.To, pool.Rollout.Start.Unix()}
		current[id] = true
		r := s.rollouts[id]
		if r == nil {
			r = &rollout{id: id}
			s.rollouts[id] = r
		}
		if r.judge != nil && r.plan != *pool.Rollout {
			r.judge = nil
		}
		r.plan = *pool.Rollout
		switch rank := judgeRank(id, s.cfg.Node, members); {
		case rank < 0:
			r.judge = nil
		case r.judge == nil:
			r.judge = decide.NewJudge(r.plan, r.progress)
		}
	}
	for id := range s.rollouts {
		if !current[id] {
			delete(s.rollouts, id)
		}
	}
}

// mergeProgress merges p and reports whether it changed the progress.
func (r *rollout) mergeProgress(p decide.Progress) bool {
	merged := r.progress.Merge(p)
	changed := merged != r.progress
	r.progress = merged
	if r.judge != nil && changed {
		r.judge.MergeProgress(merged)
	}
	return changed
}

func (s *Service) applyVetoes(list []fleetstate.Veto) {
	for _, v := range list {
		for id, r := range s.rollouts {
			sameStart := v.Start.IsZero() || v.Start.Unix() == id.start
			if id.pool == v.Pool && id.version == v.Version && sameStart {
				r.mergeProgress(decide.Progress{Vetoed: true})
				if r.reason == "" {
					r.reason, r.vetoedBy = v.Reason, v.By
				}
			}
		}
	}
}

// updateState writes the stages and the new vetoes to the fleet state of this VM.
func (s *Service) updateState(state *fleetstate.State, stages []fleetstate.RolloutStage, vetoes []fleetstate.Veto) {
	if !sameStages(state.Stages, stages) {
		s.control.SetStages(stages)
	}
	existing := map[rolloutID]bool{}
	for _, v := range state.Vetoes {
		existing[rolloutID{v.Pool, v.Version, v.Start.Unix()}] = true
	}
	var added []fleetstate.Veto
	for _, v := range vetoes {
		if !existing[rolloutID{v.Pool, v.Version, v.Start.Unix()}] {
			added = append(added, v)
		}
	}
	if len(added) > 0 {
		s.control.AddVetoes(added...)
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

// stages returns the progress of all rollouts, ordered by pool.
func (s *Service) stages() []fleetstate.RolloutStage {
	var out []fleetstate.RolloutStage
	for id, r := range s.rollouts {
		out = append(out, fleetstate.RolloutStage{Pool: id.pool, Version: id.version, Start: time.Unix(id.start, 0), Stage: r.progress.Stage, HoldUntil: r.progress.HoldUntil})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Pool < out[j].Pool })
	return out
}

func (s *Service) vetoes(revision uint64) []fleetstate.Veto {
	var out []fleetstate.Veto
	for id, r := range s.rollouts {
		if r.progress.Vetoed {
			out = append(out, fleetstate.Veto{Pool: id.pool, Version: id.version, Start: time.Unix(id.start, 0), Reason: r.reason, Revision: revision, By: r.vetoedBy})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Pool < out[j].Pool })
	return out
}

// RolloutStatus returns the state of the rollouts for swctl.
func (s *Service) RolloutStatus() []*swpb.RolloutStatus {
	now := s.cfg.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*swpb.RolloutStatus
	for id, r := range s.rollouts {
		out = append(out, &swpb.RolloutStatus{
			Pool: id.pool, Version: id.version, Phase: string(r.targetPhase()),
			Share: decide.Share(&r.plan, r.progress, now), Reason: r.reason,
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetPool() < out[j].GetPool() })
	return out
}

// targetPhase returns the phase that the record should have.
func (r *rollout) targetPhase() rolloutstore.Phase {
	switch {
	case r.progress.Vetoed:
		return rolloutstore.RolledBack
	case r.complete || r.phase == rolloutstore.Done:
		return rolloutstore.Done
	default:
		return rolloutstore.InProgress
	}
}

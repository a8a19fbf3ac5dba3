package egress

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/connect"
	"github.com/sapphirewall/sapphirewall/internal/decide/stall"
	"github.com/sapphirewall/sapphirewall/internal/tables"
	"github.com/sapphirewall/sapphirewall/internal/upstream"
	"github.com/sapphirewall/sapphirewall/internal/upstreamclient"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// statusTimeout bounds one question for an upstream's status.
const statusTimeout = 500 * time.Millisecond

// replicaConfig is what the tables and the fleet say of a replica.
type replicaConfig struct {
	id      string
	addr    string
	zone    string
	version string
	shard   int
	pool    *tables.Pool
	first   bool // this process is ranked first
	leaving bool
	zoneOut bool
}

// replica is one upstream that this process may send to.
type replica struct {
	id     string
	s      *Service
	cfg    atomic.Pointer[replicaConfig]
	gate   *gate
	conns  *conns
	ctx    context.Context
	cancel context.CancelFunc
	kick   chan struct{} // asks for a look at once

	mu        sync.Mutex // guards the fields below
	heardAt   time.Time  // of the last report; zero: none yet
	startID   string
	startedAt time.Time // when startID was first heard
	warmed    bool      // the gate was warm since startedAt
	state     string    // as reported
	down      bool      // the last status could not be had
	snapshots []upstream.Held
	latency   time.Duration // smoothed
	givenUp   float64       // smoothed share of runs that askers gave up
	guesses   stall.RetryBudget
	lost      []lostRun // since the last look
}

func newReplica(s *Service, cfg replicaConfig) *replica {
	r := &replica{id: cfg.id, s: s, kick: make(chan struct{}, 1)}
	r.ctx, r.cancel = context.WithCancel(s.ctx)
	r.cfg.Store(&cfg)
	r.gate = newGate(&cfg, s.settings.Egress.Limits, time.Now())
	r.conns = newConns(cfg.addr, s.dial, s.connectConfig(&cfg))
	s.background(r.poll)
	return r
}

// connectConfig is how a replica's connections are limited; the baseline
// without limits keeps only to what the replica accepts.
func (s *Service) connectConfig(cfg *replicaConfig) connect.Config {
	if !s.settings.Egress.Limits {
		return connect.Config{Connections: 2 * cfg.pool.Connections}
	}
	return connect.Config{Connections: cfg.pool.Connections, Cost: cfg.pool.ConnectCost}
}

func (r *replica) config() *replicaConfig { return r.cfg.Load() }

// configure takes changed tables or ranks.
func (r *replica) configure(cfg replicaConfig) {
	r.cfg.Store(&cfg)
	r.gate.configure(&cfg, time.Now())
	r.conns.configure(r.s.connectConfig(&cfg))
}

// close ends the connections that are idle; those in use end with their runs.
func (r *replica) close() {
	r.cancel()
	r.conns.close()
}

// poll looks at the upstream's status until the replica is let go.
func (r *replica) poll() {
	interval := r.s.settings.Egress.StatusInterval
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-timer.C:
		case <-r.kick:
		}
		r.look()
		timer.Reset(interval/2 + rand.N(interval))
	}
}

// look asks for the status and tells peers when it brought news. A look that
// the limits on connections forbid says nothing about the upstream.
func (r *replica) look() {
	st, err := r.askStatus()
	if r.ctx.Err() != nil {
		return
	}
	v := verdict.Of(err)
	switch {
	case v == nil:
		r.gate.reported(st.StartID, st.State == upstream.StateCold)
	case v.Cause == verdict.Overload:
		count("status_postponed")
		return
	default:
		count("status_failed")
	}
	news := false
	if v == nil || v.Cause == verdict.ConnectFailed {
		crashed := crashedBeneath(r.takeLost(), st.StartID, v != nil)
		news = r.s.suspects.crashed(crashed)
	}
	if r.takeStatus(st, err) || news {
		r.s.fleet.wake()
	}
}

// askStatus asks on an open connection, and when that fails on a new one: an
// idle connection may have been lost without the upstream.
func (r *replica) askStatus() (upstream.Status, error) {
	ctx, cancel := context.WithTimeout(r.ctx, statusTimeout)
	defer cancel()
	st, err := r.conns.status(ctx, true)
	if err == nil || verdict.Of(err).Outcome == verdict.NotRun {
		return st, err
	}
	again, cancelAgain := context.WithTimeout(r.ctx, statusTimeout)
	defer cancelAgain()
	return r.conns.status(again, false)
}

func (r *replica) startIDNow() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.startID
}

// takeStatus stores a status and reports whether peers should hear of it.
func (r *replica) takeStatus(st upstream.Status, err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		changed := !r.down
		r.down = true
		return changed
	}
	changed := r.down || r.heardAt.IsZero() || r.state != st.State || r.startID != st.StartID || !sameHeld(r.snapshots, st.Snapshots)
	r.down = false
	r.heardAt = time.Now()
	r.state = st.State
	r.takeStartID(st.StartID)
	r.snapshots = st.Snapshots
	return changed
}

func sameHeld(a, b []upstream.Held) bool {
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

// takeReport stores what an answer's headers say and reports whether peers
// should hear of it.
func (r *replica) takeReport(rep *upstreamclient.Report) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rep.State == "" {
		return false
	}
	r.gate.reported(rep.StartID, rep.State == upstream.StateCold)
	changed := rep.State != r.state || (rep.StartID != "" && rep.StartID != r.startID)
	r.state = rep.State
	r.heardAt = time.Now()
	if rep.StartID != "" {
		r.takeStartID(rep.StartID)
	}
	return changed
}

// takeStartID stores the id of the upstream's start; r.mu is held.
func (r *replica) takeStartID(id string) {
	if id == r.startID {
		return
	}
	r.startID = id
	r.startedAt = time.Now()
	r.warmed = false
}

// warming reports whether the upstream says that it is cold, which is believed
// for warmUpTime after its start: a version must not hide its slowness longer.
func (r *replica) warming(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state == upstream.StateCold && now.Sub(r.startedAt) < warmUpTime
}

// takeLatency learns the time that a run took. That of a run that was given up
// is only a lower bound, and counts when it is above what is known.
func (r *replica) takeLatency(d time.Duration, v *verdict.Error) {
	const weight = 8 // of the past beside one new value
	if v != nil && v.Outcome == verdict.NotRun {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	lost := 0.0
	if v != nil && v.Cause == verdict.Cancelled {
		lost = 1
	}
	r.givenUp += (lost - r.givenUp) / weight
	switch {
	case v != nil && d <= r.latency:
	case r.latency == 0:
		r.latency = d
	default:
		r.latency += (d - r.latency) / weight
	}
}

// stateNow is the state that peers are told; r.mu is held.
func (r *replica) stateNow() swpb.ReplicaState {
	switch {
	case r.down:
		return swpb.ReplicaState_REPLICA_STATE_DOWN
	case r.state == upstream.StateDraining || r.config().leaving:
		return swpb.ReplicaState_REPLICA_STATE_DRAINING
	case r.state == upstream.StateReady:
		return swpb.ReplicaState_REPLICA_STATE_READY
	}
	return swpb.ReplicaState_REPLICA_STATE_COLD
}

// draining reports whether the replica wants no new work.
func (r *replica) draining() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stateNow() == swpb.ReplicaState_REPLICA_STATE_DRAINING
}

// load is the reading that goes with every reply.
func (r *replica) load() *swpb.ReplicaLoad {
	limit, inFlight, waiting, cold := r.gate.counts()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.warmed = r.warmed || !cold
	return &swpb.ReplicaLoad{
		Replica: r.id, Limit: uint32(limit), InFlight: uint32(inFlight), Waiting: uint32(waiting),
		LatencyUs: uint64(r.latency / time.Microsecond), State: r.loadState(cold),
		GivenUpPermille: uint32(1000 * r.givenUp),
	}
}

// loadState is the state told beside a load; r.mu is held. A replica whose gate
// has gone cold again by its slowness is not told as cold: cold ones get work to
// warm up, while a straggler is to be left out.
func (r *replica) loadState(cold bool) swpb.ReplicaState {
	state := r.stateNow()
	if state == swpb.ReplicaState_REPLICA_STATE_READY && cold && !r.warmed {
		return swpb.ReplicaState_REPLICA_STATE_COLD
	}
	return state
}

// view is the slow-moving knowledge of the replica.
func (r *replica) view() *swpb.ReplicaView {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := &swpb.ReplicaView{Replica: r.id, Pool: r.config().pool.Name, State: r.stateNow(), StartId: r.startID}
	for _, h := range r.snapshots {
		out.Snapshots = append(out.Snapshots, &swpb.HeldSnapshot{
			Snapshot: h.Snapshot, Range: &swpb.KeyRange{Lo: h.Lo, Hi: h.Hi}, Shard: h.Shard, ShardCount: h.ShardCount,
		})
	}
	return out
}

// heldIDs are the numbers of the snapshots held, as last heard.
func (r *replica) heldIDs() []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]uint64, len(r.snapshots))
	for i, h := range r.snapshots {
		out[i] = h.Snapshot
	}
	return out
}

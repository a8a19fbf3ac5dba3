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

// statusTimeout limits one request for the status of an upstream.
const statusTimeout = 500 * time.Millisecond

// replicaConfig is what the tables and the state of the fleet determine about a
// replica.
type replicaConfig struct {
	id         string
	addr       string
	zone       string
	version    string
	shard      int
	pool       *tables.Pool
	firstOwner bool // this process is the first owner
	draining   bool
	zoneOut    bool
}

// replica is one upstream that this process may send to.
type replica struct {
	id      string
	s       *Service
	cfg     atomic.Pointer[replicaConfig]
	gate    *gate
	conns   *conns
	ctx     context.Context
	cancel  context.CancelFunc
	pollNow chan struct{} // triggers a status poll at once

	mu           sync.Mutex // guards the fields below
	reportedAt   time.Time  // of the last report; zero if there is none
	startID      string
	startedAt    time.Time // when startID was first reported
	warmed       bool      // the gate has been warm at some time since startedAt
	state        string    // as reported by the upstream
	down         bool      // the last status request failed
	snapshots    []upstream.HeldSnapshot
	latency      time.Duration // smoothed
	abandonRate  float64       // smoothed share of attempts that entry processes cancelled
	retryBudget  stall.RetryBudget
	lostAttempts []lostAttempt // since the last status poll
}

func newReplica(s *Service, cfg replicaConfig) *replica {
	r := &replica{id: cfg.id, s: s, pollNow: make(chan struct{}, 1)}
	r.ctx, r.cancel = context.WithCancel(s.ctx)
	r.cfg.Store(&cfg)
	r.gate = newGate(&cfg, s.settings.Egress.Limits, time.Now())
	r.conns = newConns(cfg.addr, s.dial, s.connectConfig(&cfg))
	s.background(r.poll)
	return r
}

// connectConfig returns the limits on the connections to a replica. In the
// baseline, which has no limits, one owner may open as many as the replica
// accepts in total.
func (s *Service) connectConfig(cfg *replicaConfig) connect.Config {
	if !s.settings.Egress.Limits {
		return connect.Config{Connections: 2 * cfg.pool.Connections}
	}
	return connect.Config{Connections: cfg.pool.Connections, Cost: cfg.pool.ConnectCost}
}

func (r *replica) config() *replicaConfig { return r.cfg.Load() }

// configure applies changed tables or a changed rank.
func (r *replica) configure(cfg replicaConfig) {
	r.cfg.Store(&cfg)
	r.gate.configure(&cfg, time.Now())
	r.conns.configure(r.s.connectConfig(&cfg))
}

// close closes the idle connections; those in use are closed when their
// attempts end.
func (r *replica) close() {
	r.cancel()
	r.conns.close()
}

// poll polls the upstream's status until the replica is closed.
func (r *replica) poll() {
	interval := r.s.settings.Egress.StatusInterval
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-timer.C:
		case <-r.pollNow:
		}
		r.pollOnce()
		timer.Reset(interval/2 + rand.N(interval))
	}
}

// pollOnce requests the status and notifies peers of a change. A request that
// fails because of the limits on connections shows nothing about the upstream.
func (r *replica) pollOnce() {
	st, err := r.fetchStatus()
	if r.ctx.Err() != nil {
		return
	}
	v := verdict.Of(err)
	switch {
	case v == nil:
		r.gate.observeReport(st.StartID, st.State == upstream.StateCold)
	case v.Cause == verdict.Overload:
		count("status_postponed")
		return
	default:
		count("status_failed")
	}
	suspectsChanged := false
	if v == nil || v.Cause == verdict.ConnectFailed {
		crashed := crashedFingerprints(r.popLostAttempts(), st.StartID, v != nil)
		suspectsChanged = r.s.suspects.recordCrash(crashed)
	}
	if r.applyStatus(st, err) || suspectsChanged {
		r.s.replicas.publish()
	}
}

// fetchStatus requests the status on an open connection and, if that fails, on
// a new one, because an idle connection can be lost while the upstream is well.
func (r *replica) fetchStatus() (upstream.Status, error) {
	ctx, cancel := context.WithTimeout(r.ctx, statusTimeout)
	defer cancel()
	st, err := r.conns.status(ctx, true)
	if err == nil || verdict.Of(err).Outcome == verdict.NotRun {
		return st, err
	}
	retryCtx, cancelRetry := context.WithTimeout(r.ctx, statusTimeout)
	defer cancelRetry()
	return r.conns.status(retryCtx, false)
}

func (r *replica) currentStartID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.startID
}

// applyStatus stores a status and reports whether peers must be notified.
func (r *replica) applyStatus(st upstream.Status, err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		changed := !r.down
		r.down = true
		return changed
	}
	changed := r.down || r.reportedAt.IsZero() || r.state != st.State || r.startID != st.StartID || !sameSnapshots(r.snapshots, st.Snapshots)
	r.down = false
	r.reportedAt = time.Now()
	r.state = st.State
	r.setStartID(st.StartID)
	r.snapshots = st.Snapshots
	return changed
}

func sameSnapshots(a, b []upstream.HeldSnapshot) bool {
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

// applyReport stores the report from the headers of an answer and returns
// whether peers must be notified.
func (r *replica) applyReport(rep *upstreamclient.Report) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rep.State == "" {
		return false
	}
	r.gate.observeReport(rep.StartID, rep.State == upstream.StateCold)
	changed := rep.State != r.state || (rep.StartID != "" && rep.StartID != r.startID)
	r.state = rep.State
	r.reportedAt = time.Now()
	if rep.StartID != "" {
		r.setStartID(rep.StartID)
	}
	return changed
}

// setStartID stores the ID of the upstream's current start; r.mu must be held.
func (r *replica) setStartID(id string) {
	if id == r.startID {
		return
	}
	r.startID = id
	r.startedAt = time.Now()
	r.warmed = false
}

// warming reports whether the upstream reports itself as cold. Reports later
// than warmUpTime after its start are ignored, so that a version can't hide its
// slowness behind them.
func (r *replica) warming(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state == upstream.StateCold && now.Sub(r.startedAt) < warmUpTime
}

// recordLatency updates the smoothed latency and abandon rate with a finished
// attempt, unless it was not executed. The time of a failed attempt is only a
// lower bound of its latency and counts only if it is above the smoothed
// latency.
func (r *replica) recordLatency(elapsed time.Duration, v *verdict.Error) {
	const weight = 8 // a new value counts 1/weight
	if v != nil && v.Outcome == verdict.NotRun {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	cancelled := 0.0
	if v != nil && v.Cause == verdict.Cancelled {
		cancelled = 1
	}
	r.abandonRate += (cancelled - r.abandonRate) / weight
	switch {
	case v != nil && elapsed <= r.latency:
	case r.latency == 0:
		r.latency = elapsed
	default:
		r.latency += (elapsed - r.latency) / weight
	}
}

// currentState returns the state that peers receive; r.mu must be held.
func (r *replica) currentState() swpb.ReplicaState {
	switch {
	case r.down:
		return swpb.ReplicaState_REPLICA_STATE_DOWN
	case r.state == upstream.StateDraining || r.config().draining:
		return swpb.ReplicaState_REPLICA_STATE_DRAINING
	case r.state == upstream.StateReady:
		return swpb.ReplicaState_REPLICA_STATE_READY
	}
	return swpb.ReplicaState_REPLICA_STATE_COLD
}

// draining reports whether the replica accepts no new requests.
func (r *replica) draining() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.currentState() == swpb.ReplicaState_REPLICA_STATE_DRAINING
}

// load returns the load report that is sent with every reply. It also records
// whether the gate is warm, which loadState needs.
func (r *replica) load() *swpb.ReplicaLoad {
	limit, inFlight, waiting, cold := r.gate.counts()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.warmed = r.warmed || !cold
	return &swpb.ReplicaLoad{
		Replica: r.id, Limit: uint32(limit), InFlight: uint32(inFlight), Waiting: uint32(waiting),
		LatencyUs: uint64(r.latency / time.Microsecond), State: r.loadState(cold),
		GivenUpPermille: uint32(1000 * r.abandonRate),
	}
}

// loadState returns the state for a load report; r.mu must be held. A replica
// whose gate is cold again because it became slow is not reported as cold: cold
// replicas receive requests to warm up, whereas a straggler is to be avoided.
func (r *replica) loadState(cold bool) swpb.ReplicaState {
	state := r.currentState()
	if state == swpb.ReplicaState_REPLICA_STATE_READY && cold && !r.warmed {
		return swpb.ReplicaState_REPLICA_STATE_COLD
	}
	return state
}

// view returns the part of the replica's state that changes slowly.
func (r *replica) view() *swpb.ReplicaView {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := &swpb.ReplicaView{Replica: r.id, Pool: r.config().pool.Name, State: r.currentState(), StartId: r.startID}
	for _, h := range r.snapshots {
		out.Snapshots = append(out.Snapshots, &swpb.HeldSnapshot{
			Snapshot: h.Snapshot, Range: &swpb.KeyRange{Lo: h.Lo, Hi: h.Hi}, Shard: h.Shard, ShardCount: h.ShardCount,
		})
	}
	return out
}

// snapshotIDs returns the IDs of the snapshots in the last status.
func (r *replica) snapshotIDs() []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]uint64, len(r.snapshots))
	for i, h := range r.snapshots {
		out[i] = h.Snapshot
	}
	return out
}

package entry

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/eject"
	"github.com/sapphirewall/sapphirewall/internal/decide/pick"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// The constants of what is learned of a replica.
const (
	// avoidFor is how long a replica is left out after its owner could not
	// reach it, or could not be reached.
	avoidFor = time.Second
	// coldShare is the share of a shard's requests that a cold replica gets
	// while it has room, so that it warms up.
	coldShare = 0.1
	// permille is the unit of shares on the wire.
	permille = 1000.0
)

// replica is what this process learns of one upstream. It outlives changes of
// the tables as long as its shard has the same upstreams.
type replica struct {
	id      string
	version string
	zone    string
	group   *shardGroup
	index   int // in group

	own        atomic.Int32
	others     atomic.Int32
	limit      atomic.Int32
	cold       atomic.Bool
	closed     atomic.Bool  // takes no new work, by its owner's last word
	reportedAt atomic.Int64 // nanoseconds since the epoch
	avoidUntil atomic.Int64 // nanoseconds since the epoch
}

// shardGroup is the evidence about stragglers among the replicas of one shard
// of the tables. It is safe for concurrent use.
type shardGroup struct {
	size  int
	mu    sync.Mutex // guards group
	group *eject.Group
}

// standing says whether a replica may be chosen, and whether it is on trial.
func (g *shardGroup) standing(now time.Time, i int, rng *rand.Rand) (allowed, trial bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	allowed = g.group.Allowed(now, i, rng)
	return allowed, allowed && g.group.Probing(i)
}

// tell takes in the share of runs given up at a replica, as its owner sees it.
func (g *shardGroup) tell(i int, loss float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.group.SetReportedAbandonRate(i, loss)
}

// observe takes in a run.
func (g *shardGroup) observe(now time.Time, i int, took time.Duration, complete bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.group.Observe(now, i, took, complete)
}

// onTrial reports whether the replica was left out and is tried again.
func (r *replica) onTrial() bool {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	return r.group.group.Probing(r.index)
}

// candidate returns what the pick needs. first is whether this is the first
// attempt of a part: later ones try no replica out. lost is whether the owner
// could not be reached a moment ago.
func (r *replica) candidate(now time.Time, rng *rand.Rand, first, lost bool) pick.Candidate {
	c := pick.Candidate{
		Own:    int(r.own.Load()),
		Others: int(r.others.Load()),
		Age:    time.Duration(now.UnixNano() - r.reportedAt.Load()),
		Limit:  int(r.limit.Load()),
		Avoid:  lost || r.closed.Load() || now.UnixNano() < r.avoidUntil.Load(),
	}
	switch {
	case c.Avoid:
	case r.cold.Load():
		c.Probe = first && c.Own+c.Others < max(c.Limit, 1) && rng.Float64() < coldShare
		c.Avoid = !c.Probe
	default:
		allowed, trial := r.group.standing(now, r.index, rng)
		c.Probe = trial && first
		c.Avoid = !allowed || (trial && !first)
	}
	return c
}

// answered takes in a reply that took elapsed.
func (r *replica) answered(now time.Time, elapsed time.Duration, l *swpb.ReplicaLoad) {
	r.heard(now, l)
	r.learn(now, elapsed, true)
}

// learn takes in the time of a run; one that was given up is a lower bound.
// Runs of a cold replica say nothing about a warm one.
func (r *replica) learn(now time.Time, elapsed time.Duration, complete bool) {
	if !r.cold.Load() {
		r.group.observe(now, r.index, elapsed, complete)
	}
}

// heard takes in a load reading of the owner.
func (r *replica) heard(now time.Time, l *swpb.ReplicaLoad) {
	if l == nil {
		return
	}
	at := now.Add(-time.Duration(l.GetAgeUs()) * time.Microsecond)
	r.reportedAt.Store(at.UnixNano())
	busy := int32(l.GetInFlight()) + int32(l.GetWaiting())
	r.others.Store(max(0, busy-r.own.Load()))
	r.limit.Store(int32(l.GetLimit()))
	r.group.tell(r.index, float64(l.GetGivenUpPermille())/permille)
	r.setState(now, l.GetState())
}

// setState takes in the owner's word on the replica's state.
func (r *replica) setState(now time.Time, state swpb.ReplicaState) {
	if state == swpb.ReplicaState_REPLICA_STATE_UNSPECIFIED {
		return
	}
	r.setCold(state == swpb.ReplicaState_REPLICA_STATE_COLD)
	r.closed.Store(takesNoWork(state))
	if state == swpb.ReplicaState_REPLICA_STATE_EJECTED {
		r.avoid(now)
	}
}

// failed takes in a verdict on a request to the replica. One that ran into its
// deadline proves a latency of at least elapsed.
func (r *replica) failed(now time.Time, elapsed time.Duration, v *verdict.Error) {
	switch v.Cause {
	case verdict.PeerLost, verdict.ConnectFailed, verdict.ConnectionLost, verdict.ConnectionSilent, verdict.Draining, verdict.ShuttingDown:
		r.avoid(now)
	case verdict.Deadline, verdict.Cancelled:
		r.learn(now, elapsed, false)
	}
}

// setCold notes whether the replica is cold; one that has just become cold is
// learned anew.
func (r *replica) setCold(cold bool) {
	if r.cold.Swap(cold) || !cold {
		return
	}
	r.group.mu.Lock()
	r.group.group.Reset(r.index)
	r.group.mu.Unlock()
}

func (r *replica) avoid(now time.Time) {
	r.avoidUntil.Store(now.Add(avoidFor).UnixNano())
}

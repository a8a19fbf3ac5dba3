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

// The constants of choosing replicas.
const (
	// replicaAvoidTime is how long a replica is avoided after its owner could not
	// reach it or could not be reached itself.
	replicaAvoidTime = time.Second
	// coldShare is the share of a shard's requests that a cold replica receives
	// while it has room, so that it warms up.
	coldShare = 0.1
	// permille converts shares on the wire to fractions.
	permille = 1000.0
)

// replica is the state of one upstream as observed by this process and reported by
// the upstream's owner. It is kept across changes of the tables as long as its
// shard has the same upstreams.
type replica struct {
	id      string
	version string
	zone    string
	group   *shardGroup
	index   int // within group

	ownInFlight   atomic.Int32
	otherInFlight atomic.Int32
	limit         atomic.Int32
	cold          atomic.Bool
	unavailable   atomic.Bool  // gets no new requests, as last reported by its owner
	reportedAt    atomic.Int64 // nanoseconds since the epoch
	avoidUntil    atomic.Int64 // nanoseconds since the epoch
}

// shardGroup detects stragglers among the replicas of one shard of the tables. It
// is safe for concurrent use.
type shardGroup struct {
	size  int
	mu    sync.Mutex // guards group
	group *eject.Group
}

// status reports whether replica i may be chosen now, and whether that would be a
// probe.
func (g *shardGroup) status(now time.Time, i int, rng *rand.Rand) (allowed, probing bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	allowed = g.group.Allowed(now, i, rng)
	return allowed, allowed && g.group.Probing(i)
}

// setReportedAbandonRate records the share of abandoned attempts at replica i, as
// reported by its owner.
func (g *shardGroup) setReportedAbandonRate(i int, rate float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.group.SetReportedAbandonRate(i, rate)
}

// observe records the latency of an attempt at replica i. If the attempt was
// abandoned, complete is false and the latency is a lower bound.
func (g *shardGroup) observe(now time.Time, i int, took time.Duration, complete bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.group.Observe(now, i, took, complete)
}

// probing reports whether the replica gets probes after an ejection.
func (r *replica) probing() bool {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	return r.group.group.Probing(r.index)
}

// candidate returns the input for choosing among replicas. first reports whether
// this is the first attempt of a part, since later attempts are never probes.
// ownerUnreachable reports whether the replica's owner could not be reached
// recently.
func (r *replica) candidate(now time.Time, rng *rand.Rand, first, ownerUnreachable bool) pick.Candidate {
	c := pick.Candidate{
		Own:    int(r.ownInFlight.Load()),
		Others: int(r.otherInFlight.Load()),
		Age:    time.Duration(now.UnixNano() - r.reportedAt.Load()),
		Limit:  int(r.limit.Load()),
		Avoid:  ownerUnreachable || r.unavailable.Load() || now.UnixNano() < r.avoidUntil.Load(),
	}
	switch {
	case c.Avoid:
	case r.cold.Load():
		c.Probe = first && c.Own+c.Others < max(c.Limit, 1) && rng.Float64() < coldShare
		c.Avoid = !c.Probe
	default:
		allowed, probing := r.group.status(now, r.index, rng)
		c.Probe = probing && first
		c.Avoid = !allowed || (probing && !first)
	}
	return c
}

// onReply records a reply and its latency.
func (r *replica) onReply(now time.Time, elapsed time.Duration, l *swpb.ReplicaLoad) {
	r.applyLoad(now, l)
	r.observeLatency(now, elapsed, true)
}

// observeLatency records the latency of an attempt, a lower bound unless it is
// complete. Attempts at a cold replica are ignored, since their latency shows
// nothing about the warm replica.
func (r *replica) observeLatency(now time.Time, elapsed time.Duration, complete bool) {
	if !r.cold.Load() {
		r.group.observe(now, r.index, elapsed, complete)
	}
}

// applyLoad records the load that the owner reports.
func (r *replica) applyLoad(now time.Time, l *swpb.ReplicaLoad) {
	if l == nil {
		return
	}
	at := now.Add(-time.Duration(l.GetAgeUs()) * time.Microsecond)
	r.reportedAt.Store(at.UnixNano())
	busy := int32(l.GetInFlight()) + int32(l.GetWaiting())
	r.otherInFlight.Store(max(0, busy-r.ownInFlight.Load()))
	r.limit.Store(int32(l.GetLimit()))
	r.group.setReportedAbandonRate(r.index, float64(l.GetGivenUpPermille())/permille)
	r.setState(now, l.GetState())
}

// setState records the state that the owner reports.
func (r *replica) setState(now time.Time, state swpb.ReplicaState) {
	if state == swpb.ReplicaState_REPLICA_STATE_UNSPECIFIED {
		return
	}
	r.setCold(state == swpb.ReplicaState_REPLICA_STATE_COLD)
	r.unavailable.Store(isUnavailable(state))
	if state == swpb.ReplicaState_REPLICA_STATE_EJECTED {
		r.avoid(now)
	}
}

// onFailure records a failed attempt. An attempt that was cancelled or reached its
// deadline shows a latency of at least elapsed.
func (r *replica) onFailure(now time.Time, elapsed time.Duration, v *verdict.Error) {
	switch v.Cause {
	case verdict.PeerLost, verdict.ConnectFailed, verdict.ConnectionLost, verdict.ConnectionSilent, verdict.Draining, verdict.ShuttingDown:
		r.avoid(now)
	case verdict.Deadline, verdict.Cancelled:
		r.observeLatency(now, elapsed, false)
	}
}

// setCold records whether the replica is cold. When it becomes cold, its
// observations are discarded.
func (r *replica) setCold(cold bool) {
	if r.cold.Swap(cold) || !cold {
		return
	}
	r.group.mu.Lock()
	r.group.group.Reset(r.index)
	r.group.mu.Unlock()
}

func (r *replica) avoid(now time.Time) {
	r.avoidUntil.Store(now.Add(replicaAvoidTime).UnixNano())
}

package egress

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/coldstart"
	"github.com/sapphirewall/sapphirewall/internal/decide/limit"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// unlimited is the limit in the baseline, which enforces none.
const unlimited = math.MaxInt32

// gate admits attempts to one replica in order of arrival, within the limit
// that packages limit and coldstart determine.
type gate struct {
	enforced bool // false in the baseline, which has no limits

	mu          sync.Mutex // guards the fields below
	limiter     *limit.Limiter
	warmup      *coldstart.Warmup
	waiters     []chan struct{} // each is closed when its slot is granted
	firstOwner  bool            // this process is the first owner
	zoneOut     bool            // the replica's availability zone is out of service
	lastArrival time.Time
}

// slot permits one attempt in flight; release gives it back.
type slot struct {
	full bool // it was the last free slot
}

// newGate returns the gate of a replica without any observations. It starts
// with a handover because another process may still be sending to the replica.
func newGate(cfg *replicaConfig, enforced bool, now time.Time) *gate {
	g := &gate{enforced: enforced, limiter: limit.New(unlimited), firstOwner: cfg.firstOwner, zoneOut: cfg.zoneOut}
	g.warmup = coldstart.New(warmupConfig(cfg), now)
	g.warmup.StartHandover(now)
	return g
}

func warmupConfig(cfg *replicaConfig) coldstart.Config {
	return coldstart.Config{Cold: cfg.pool.ColdSlots, Warm: cfg.pool.Slots}
}

// configure applies changed tables or a changed rank. A change of rank starts a
// handover: this process becomes the first owner, or another one does.
func (g *gate) configure(cfg *replicaConfig, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.warmup.Configure(warmupConfig(cfg))
	if g.zoneOut && !cfg.zoneOut {
		g.warmup.BackInService(now)
	}
	g.zoneOut = cfg.zoneOut
	if g.firstOwner != cfg.firstOwner {
		g.firstOwner = cfg.firstOwner
		g.warmup.StartHandover(now)
	}
	g.grantSlots(now)
}

// acquire takes a slot. It waits only as long as enough of the budget is left
// for the execution. Its errors have the outcome NotRun.
func (g *gate) acquire(ctx context.Context, budget time.Duration) (slot, error) {
	now := time.Now()
	g.mu.Lock()
	if !g.firstOwner && now.Sub(g.lastArrival) > coldstart.HandoverSettle {
		g.warmup.StartHandover(now) // the first owner may still be sending
	}
	g.lastArrival = now
	g.updateLimit(now)
	if n, _, _ := g.limiter.Counts(); n == 0 {
		retryIn := g.warmup.NextChange(now).Sub(now)
		g.mu.Unlock()
		return slot{}, verdict.New(verdict.NotRun, verdict.Cold, "the replica changes its owner").WithRetryAfter(retryIn)
	}
	d := g.limiter.Arrive(budget)
	full := g.limiter.Full()
	if d.Action == limit.Admit {
		g.mu.Unlock()
		return slot{full: full}, nil
	}
	if d.Action == limit.Reject {
		g.mu.Unlock()
		return slot{}, verdict.New(verdict.NotRun, verdict.Overload, "no slot in time").WithRetryAfter(d.RetryAfter)
	}
	granted := make(chan struct{})
	g.waiters = append(g.waiters, granted)
	g.mu.Unlock()
	return g.await(ctx, granted, d.MaxWait)
}

// await waits for at most maxWait until granted is closed.
func (g *gate) await(ctx context.Context, granted chan struct{}, maxWait time.Duration) (slot, error) {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case <-granted:
		return slot{full: true}, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, w := range g.waiters {
		if w == granted {
			g.waiters = append(g.waiters[:i], g.waiters[i+1:]...)
			g.limiter.CancelWait()
			return slot{}, verdict.New(verdict.NotRun, verdict.Overload, "no slot in time").WithRetryAfter(maxWait)
		}
	}
	return slot{full: true}, nil // granted at the same moment
}

// release gives a slot back and records the result of its attempt.
func (g *gate) release(sl slot, elapsed time.Duration, v *verdict.Error) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	executed := elapsed
	if v != nil {
		executed = 0
	}
	g.limiter.Done(executed)
	updateWarmup(g.warmup, sl, now, elapsed, v)
	g.grantSlots(now)
}

// updateWarmup records the result of an attempt in the warm-up.
func updateWarmup(w *coldstart.Warmup, sl slot, now time.Time, elapsed time.Duration, v *verdict.Error) {
	if v == nil {
		w.Succeeded(now, elapsed, sl.full)
		return
	}
	switch v.Cause {
	case verdict.Shed:
		w.Rejected(now)
	case verdict.ConnectionLost, verdict.ConnectFailed, verdict.ConnectionSilent:
		w.Disconnected(now)
	case verdict.Deadline, verdict.Cancelled:
		w.Unanswered(now, elapsed)
	}
}

// observeReport records the start ID and the state that the upstream reports.
func (g *gate) observeReport(startID string, cold bool) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.warmup.Reported(now, startID, cold)
	g.grantSlots(now)
}

// grantSlots grants free slots to the attempts that have waited longest; g.mu
// must be held.
func (g *gate) grantSlots(now time.Time) {
	g.updateLimit(now)
	for len(g.waiters) > 0 && g.limiter.Next() {
		close(g.waiters[0])
		g.waiters = g.waiters[1:]
	}
}

// updateLimit applies the current limit of the warm-up; g.mu must be held.
func (g *gate) updateLimit(now time.Time) {
	if g.enforced {
		g.limiter.SetLimit(g.warmup.Limit(now))
	}
}

// counts returns the limit, the attempts in flight and waiting, and whether the
// replica is cold.
func (g *gate) counts() (limit, inFlight, waiting int, cold bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateLimit(time.Now())
	limit, inFlight, waiting = g.limiter.Counts()
	return limit, inFlight, waiting, g.enforced && g.warmup.IsCold()
}

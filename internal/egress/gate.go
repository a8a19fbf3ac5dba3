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

// unlimited is the limit of the baseline.
const unlimited = math.MaxInt32

// gate lets requests to a replica through, in order, as decide/limit and
// decide/coldstart say.
type gate struct {
	enforced bool // false: the baseline without limits

	mu      sync.Mutex // guards the fields below
	limiter *limit.Limiter
	warmup  *coldstart.Warmup
	waiters []chan struct{} // closed when the slot is given
	first   bool            // ranked first
	zoneOut bool            // the tables take the replica's zone out
	usedAt  time.Time       // of the last arrival
}

// ticket is one slot, given back by leave.
type ticket struct {
	full bool // the slot was the last one
}

// newGate returns the gate of a replica that this process knows nothing of.
func newGate(cfg *replicaConfig, enforced bool, now time.Time) *gate {
	g := &gate{enforced: enforced, limiter: limit.New(unlimited), first: cfg.first, zoneOut: cfg.zoneOut}
	g.warmup = coldstart.New(warmConfig(cfg), now)
	g.warmup.StartHandover(now)
	return g
}

func warmConfig(cfg *replicaConfig) coldstart.Config {
	return coldstart.Config{Cold: cfg.pool.ColdSlots, Warm: cfg.pool.Slots}
}

// configure takes changed tables or ranks. With its rank the process becomes
// another owner, or ceases to be the only one.
func (g *gate) configure(cfg *replicaConfig, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.warmup.Configure(warmConfig(cfg))
	if g.zoneOut && !cfg.zoneOut {
		g.warmup.BackInService(now)
	}
	g.zoneOut = cfg.zoneOut
	if g.first != cfg.first {
		g.first = cfg.first
		g.warmup.StartHandover(now)
	}
	g.hand(now)
}

// enter takes a slot, waiting for no longer than leaves time for the run. The
// verdict of a refusal is always NotRun.
func (g *gate) enter(ctx context.Context, budget time.Duration) (ticket, error) {
	now := time.Now()
	g.mu.Lock()
	if !g.first && now.Sub(g.usedAt) > coldstart.HandoverSettle {
		g.warmup.StartHandover(now) // the first owner may still be sending
	}
	g.usedAt = now
	g.refresh(now)
	if n, _, _ := g.limiter.Counts(); n == 0 {
		again := g.warmup.NextChange(now).Sub(now)
		g.mu.Unlock()
		return ticket{}, verdict.New(verdict.NotRun, verdict.Cold, "the replica changes its owner").After(again)
	}
	d := g.limiter.Arrive(budget)
	full := g.limiter.Full()
	if d.Action == limit.Admit {
		g.mu.Unlock()
		return ticket{full: full}, nil
	}
	if d.Action == limit.Reject {
		g.mu.Unlock()
		return ticket{}, verdict.New(verdict.NotRun, verdict.Overload, "no slot in time").After(d.RetryAfter)
	}
	turn := make(chan struct{})
	g.waiters = append(g.waiters, turn)
	g.mu.Unlock()
	return g.await(ctx, turn, d.MaxWait)
}

// await waits for a turn.
func (g *gate) await(ctx context.Context, turn chan struct{}, patience time.Duration) (ticket, error) {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-turn:
		return ticket{full: true}, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, w := range g.waiters {
		if w == turn {
			g.waiters = append(g.waiters[:i], g.waiters[i+1:]...)
			g.limiter.CancelWait()
			return ticket{}, verdict.New(verdict.NotRun, verdict.Overload, "no slot in time").After(patience)
		}
	}
	return ticket{full: true}, nil // the turn came at the same moment
}

// leave gives a slot back with what its run showed.
func (g *gate) leave(t ticket, took time.Duration, v *verdict.Error) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	served := took
	if v != nil {
		served = 0
	}
	g.limiter.Done(served)
	learn(g.warmup, t, now, took, v)
	g.hand(now)
}

// learn passes the end of a run on to the warm-up.
func learn(w *coldstart.Warmup, t ticket, now time.Time, took time.Duration, v *verdict.Error) {
	if v == nil {
		w.Succeeded(now, took, t.full)
		return
	}
	switch v.Cause {
	case verdict.Shed:
		w.Rejected(now)
	case verdict.ConnectionLost, verdict.ConnectFailed, verdict.ConnectionSilent:
		w.Disconnected(now)
	case verdict.Deadline, verdict.Cancelled:
		w.Unanswered(now, took)
	}
}

// reported takes what the upstream says of itself.
func (g *gate) reported(startID string, cold bool) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.warmup.Reported(now, startID, cold)
	g.hand(now)
}

// hand gives free slots to the longest waiting; g.mu is held.
func (g *gate) hand(now time.Time) {
	g.refresh(now)
	for len(g.waiters) > 0 && g.limiter.Next() {
		close(g.waiters[0])
		g.waiters = g.waiters[1:]
	}
}

// refresh brings the limiter to the limit of this moment; g.mu is held.
func (g *gate) refresh(now time.Time) {
	if g.enforced {
		g.limiter.SetLimit(g.warmup.Limit(now))
	}
}

// counts returns the limit and the requests in flight and waiting.
func (g *gate) counts() (limit, inFlight, waiting int, cold bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refresh(time.Now())
	limit, inFlight, waiting = g.limiter.Counts()
	return limit, inFlight, waiting, g.enforced && g.warmup.IsCold()
}

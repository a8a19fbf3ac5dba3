package trial

import (
	"context"
	"sort"
	"syscall"
	"time"

	standinplatform "github.com/sapphirewall/sapphirewall/internal/standin/platform"
	standin "github.com/sapphirewall/sapphirewall/internal/standin/upstream"
)

// scenario brings something about while the load runs.
type scenario func(ctx context.Context, e *Env) error

var scenarios = map[string]scenario{
	"calm":            func(context.Context, *Env) error { return nil },
	"stragglers":      stragglers,
	"zone-out":        zoneOut,
	"cold-pool":       coldPool,
	"platform-outage": platformOutage,
	"vm-killed":       vmKilled,
	"vm-frozen":       vmFrozen,
	"good-version":    rollout(nil),
	"bad-at-once":     rollout(badAtOnce),
	"bad-late":        rollout(badLate),
	"bad-one-route":   rollout(badOnOneRoute),
	"bad-under-load":  rollout(badUnderLoad),
}

// ScenarioNames lists the scenarios, calm first.
func ScenarioNames() []string {
	out := []string{"calm"}
	for name := range scenarios {
		if name != "calm" {
			out = append(out, name)
		}
	}
	sort.Strings(out[1:])
	return out
}

// The shares of the run at which things happen.
const (
	outAt  = 0.2
	backAt = 0.6
)

// at waits for a share of the run and says whether ctx let it.
func (e *Env) at(ctx context.Context, share float64) bool {
	t := time.NewTimer(time.Until(e.Began.Add(time.Duration(share * float64(e.Length)))))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// note keeps the time of an event, in seconds of the run.
func (e *Env) note(name string) { e.notes[name] = time.Since(e.Began).Seconds() }

// The stragglers: one replica in each of a tenth of the shard services.
const (
	slowFactor     = 10
	stragglerShare = 10 // one shard service in this many
)

func stragglers(_ context.Context, e *Env) error {
	n := 0
	for _, pool := range e.Deployment.PoolNames() {
		p := e.Deployment.Tables.Pools[pool]
		for shard := 0; shard < p.Shards && p.Shards > 1; shard++ {
			if n%stragglerShare == 0 {
				id := p.ByShard(shard)[n/stragglerShare%len(p.ByShard(shard))].ID
				e.Fleet.UpdateFaults(standin.Selector{ID: id}, func(f *standin.Faults) { f.SlowFactor = slowFactor })
			}
			n++
		}
	}
	return nil
}

// zoneOut takes the first zone out by the tables and brings it back. Its
// upstreams stop a while after they get no more work, and start cold.
func zoneOut(ctx context.Context, e *Env) error {
	zone := e.Deployment.Zones[0]
	text := string(e.Deployment.Tables.Text)
	if !e.at(ctx, outAt) {
		return nil
	}
	e.note("zone_out_at")
	if err := e.Commit(ctx, []byte("[fleet]\nzones-out = "+zone+"\n"+text)); err != nil {
		return err
	}
	if !e.at(ctx, (outAt+backAt)/2) {
		return nil
	}
	for _, r := range e.Fleet.Select(standin.Selector{Zone: zone}) {
		r.Kill()
	}
	if !e.at(ctx, backAt) {
		return nil
	}
	for _, r := range e.Fleet.Select(standin.Selector{Zone: zone}) {
		if err := r.Start(false); err != nil {
			return err
		}
	}
	e.note("zone_back_at")
	return e.Commit(ctx, []byte(text))
}

// coldPool makes every replica of one shard pool cold, without a restart.
func coldPool(ctx context.Context, e *Env) error {
	if !e.at(ctx, outAt) {
		return nil
	}
	for _, pool := range e.Deployment.PoolNames() {
		if e.Deployment.Tables.Pools[pool].Shards > 1 {
			for _, r := range e.Fleet.Select(standin.Selector{Pool: pool}) {
				r.ResetWarmup()
			}
			break
		}
	}
	e.note("cold_at")
	return nil
}

func platformOutage(ctx context.Context, e *Env) error {
	if !e.at(ctx, outAt) {
		return nil
	}
	e.note("platform_down_at")
	e.Platform.SetFaults(standinplatform.Faults{Down: true})
	if e.at(ctx, backAt) {
		e.Platform.SetFaults(standinplatform.Faults{})
		e.note("platform_up_at")
	}
	return nil
}

// balancerDelay is the time until the platform's balancer sees a dead VM.
const balancerDelay = time.Second

// vmKilled kills one VM; the balancer follows after its delay.
func vmKilled(ctx context.Context, e *Env) error {
	victim := 0
	if !e.at(ctx, outAt) {
		return nil
	}
	e.note("vm_killed_at")
	e.KillVM(victim)
	time.Sleep(balancerDelay)
	e.SetTargets(&victim)
	if !e.at(ctx, backAt) {
		return nil
	}
	e.note("vm_started_at")
	return e.StartVM(victim)
}

// vmFrozen pauses one VM and lets it go on.
func vmFrozen(ctx context.Context, e *Env) error {
	victim := 0
	if !e.at(ctx, outAt) {
		return nil
	}
	e.note("vm_paused_at")
	if err := e.Signal(victim, syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(balancerDelay)
	e.SetTargets(&victim)
	e.at(ctx, backAt)
	e.note("vm_resumed_at")
	return e.Signal(victim, syscall.SIGCONT)
}

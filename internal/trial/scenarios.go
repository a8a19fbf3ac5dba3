package trial

import (
	"context"
	"sort"
	"syscall"
	"time"

	standinplatform "github.com/sapphirewall/sapphirewall/internal/standin/platform"
	standin "github.com/sapphirewall/sapphirewall/internal/standin/upstream"
)

// scenarioFunc injects the faults of a scenario while the load runs.
type scenarioFunc func(ctx context.Context, e *Env) error

var scenarios = map[string]scenarioFunc{
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

// ScenarioNames returns the names of all scenarios, sorted, with calm first.
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

// The start and the end of a fault, as fractions of the run.
const (
	faultStart = 0.2
	faultEnd   = 0.6
)

// waitUntil waits until a fraction of the run has passed. It reports false if ctx
// ends first.
func (e *Env) waitUntil(ctx context.Context, share float64) bool {
	t := time.NewTimer(time.Until(e.StartedAt.Add(time.Duration(share * float64(e.Length)))))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// noteTime notes the current time, in seconds since the start of the run, under
// the given name.
func (e *Env) noteTime(name string) { e.notes[name] = time.Since(e.StartedAt).Seconds() }

// In the scenario stragglers, one replica in each of a tenth of the shards is
// slow.
const (
	slowFactor     = 10
	stragglerShare = 10 // one shard in this many has a slow replica
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

// zoneOut takes the first availability zone out of service in the tables and puts
// it back. The upstreams of the zone are killed halfway between, when they get no
// more requests, and start cold before the zone is back in service.
func zoneOut(ctx context.Context, e *Env) error {
	zone := e.Deployment.Zones[0]
	text := string(e.Deployment.Tables.Text)
	if !e.waitUntil(ctx, faultStart) {
		return nil
	}
	e.noteTime("zone_out_at")
	if err := e.Commit(ctx, []byte("[fleet]\nzones-out = "+zone+"\n"+text)); err != nil {
		return err
	}
	if !e.waitUntil(ctx, (faultStart+faultEnd)/2) {
		return nil
	}
	for _, r := range e.Fleet.Select(standin.Selector{Zone: zone}) {
		r.Kill()
	}
	if !e.waitUntil(ctx, faultEnd) {
		return nil
	}
	for _, r := range e.Fleet.Select(standin.Selector{Zone: zone}) {
		if err := r.Start(false); err != nil {
			return err
		}
	}
	e.noteTime("zone_back_at")
	return e.Commit(ctx, []byte(text))
}

// coldPool makes every replica of the first pool with more than one shard cold,
// without a restart.
func coldPool(ctx context.Context, e *Env) error {
	if !e.waitUntil(ctx, faultStart) {
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
	e.noteTime("cold_at")
	return nil
}

func platformOutage(ctx context.Context, e *Env) error {
	if !e.waitUntil(ctx, faultStart) {
		return nil
	}
	e.noteTime("platform_down_at")
	e.Platform.SetFaults(standinplatform.Faults{Down: true})
	if e.waitUntil(ctx, faultEnd) {
		e.Platform.SetFaults(standinplatform.Faults{})
		e.noteTime("platform_up_at")
	}
	return nil
}

// balancerDelay is the time until the platform's load balancer detects a failed
// VM.
const balancerDelay = time.Second

// vmKilled kills one VM and starts it again. The load balancer removes the VM
// after balancerDelay.
func vmKilled(ctx context.Context, e *Env) error {
	victim := 0
	if !e.waitUntil(ctx, faultStart) {
		return nil
	}
	e.noteTime("vm_killed_at")
	e.KillVM(victim)
	time.Sleep(balancerDelay)
	e.SetTargets(&victim)
	if !e.waitUntil(ctx, faultEnd) {
		return nil
	}
	e.noteTime("vm_started_at")
	return e.StartVM(victim)
}

// vmFrozen pauses the process of one VM and resumes it. The load balancer removes
// the VM after balancerDelay.
func vmFrozen(ctx context.Context, e *Env) error {
	victim := 0
	if !e.waitUntil(ctx, faultStart) {
		return nil
	}
	e.noteTime("vm_paused_at")
	if err := e.Signal(victim, syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(balancerDelay)
	e.SetTargets(&victim)
	e.waitUntil(ctx, faultEnd)
	e.noteTime("vm_resumed_at")
	return e.Signal(victim, syscall.SIGCONT)
}

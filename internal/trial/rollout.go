package trial

import (
	"context"
	"fmt"
	"strings"
	"time"

	standin "github.com/sapphirewall/sapphirewall/internal/standin/upstream"
	"github.com/sapphirewall/sapphirewall/internal/tables"
)

// newVersion is the target version of the rollout scenarios.
const newVersion = "v2"

// newVersionOffset is added to the second byte of an upstream's address to get
// the address of its counterpart of the new version.
const newVersionOffset = 10

// The times of a rollout, as fractions of the run.
const (
	rolloutStart = 0.1
	rolloutEnd   = 0.7
	lateFaultAt  = 0.45
)

// rolloutPool returns the pool with more than one shard that the most routes
// use, so that a fault on one route leaves other routes unaffected. Among equals
// it returns the first.
func (e *Env) rolloutPool() string {
	best, mostRoutes := "", 0
	for _, name := range e.Deployment.PoolNames() {
		n := 0
		for _, r := range e.Deployment.Tables.Routes {
			for _, p := range r.Pools {
				if p == name && e.Deployment.Tables.Pools[name].Shards > 1 {
					n++
				}
			}
		}
		if n > mostRoutes {
			best, mostRoutes = name, n
		}
	}
	return best
}

// rolloutTables returns the tables with a rollout of a pool to the new version.
// They contain an upstream of the new version for each upstream of the pool.
func rolloutTables(t *tables.Tables, pool string, start, end time.Time) []byte {
	var b strings.Builder
	header := "[pool " + pool + "]"
	for _, line := range strings.SplitAfter(string(t.Text), "\n") {
		b.WriteString(line)
		if strings.TrimSpace(line) != header {
			continue
		}
		fmt.Fprintf(&b, "version = %s\nversion-from = v1\nversion-share = 100%%\nversion-start = %s\nversion-by = %s\n",
			newVersion, start.UTC().Format(time.RFC3339), end.UTC().Format(time.RFC3339))
		for _, u := range t.Pools[pool].Upstreams {
			fmt.Fprintf(&b, "upstream.%s-%s = %s zone=%s shard=%d version=%s\n", u.ID, newVersion, newVersionAddr(u.Addr), u.Zone, u.Shard, newVersion)
		}
	}
	return []byte(b.String())
}

// newVersionAddr returns the address of the upstream of the new version that is
// the counterpart of the upstream at addr.
func newVersionAddr(addr string) string {
	var net int
	var rest string
	_, _ = fmt.Sscanf(addr, "127.%d.%s", &net, &rest)
	return fmt.Sprintf("127.%d.%s", net+newVersionOffset, rest)
}

// rollout returns a scenario that starts a rollout to the new version and then
// injects fault, if it is not nil. The upstreams of the new version run before
// the tables contain them.
func rollout(fault func(ctx context.Context, e *Env, s standin.Selector)) scenarioFunc {
	return func(ctx context.Context, e *Env) error {
		s := standin.Selector{Version: newVersion}
		if !e.waitUntil(ctx, rolloutStart) {
			return nil
		}
		end := e.StartedAt.Add(time.Duration(rolloutEnd * float64(e.Length)))
		e.noteTime("rollout_start_at")
		e.notes["rollout_by_at"] = rolloutEnd * e.Length.Seconds()
		if err := e.Commit(ctx, rolloutTables(e.Deployment.Tables, e.rolloutPool(), time.Now(), end)); err != nil {
			return err
		}
		if fault != nil {
			fault(ctx, e, s)
		}
		return nil
	}
}

// The faults of a bad new version.
const (
	badErrors   = 0.5
	badSlow     = 5
	badSlowPast = 2 // requests in execution above which a replica is slow
)

func badAtOnce(_ context.Context, e *Env, s standin.Selector) {
	e.noteTime("fault_at")
	e.Fleet.UpdateFaults(s, func(f *standin.Faults) { f.ErrorRate = badErrors })
}

func badLate(ctx context.Context, e *Env, s standin.Selector) {
	if e.waitUntil(ctx, lateFaultAt) {
		badAtOnce(ctx, e, s)
	}
}

// badOnOneRoute makes the new version fail on the first route of the deployment.
func badOnOneRoute(_ context.Context, e *Env, s standin.Selector) {
	e.noteTime("fault_at")
	e.Fleet.UpdateFaults(s, func(f *standin.Faults) { f.ErrorRate, f.Route = badErrors, e.Deployment.Routes[0].Name })
}

func badUnderLoad(_ context.Context, e *Env, s standin.Selector) {
	e.noteTime("fault_at")
	e.Fleet.UpdateFaults(s, func(f *standin.Faults) { f.SlowFactor, f.SlowAbove = badSlow, badSlowPast })
}

// measureRollout adds notes about the rollout: the new version's share of the
// attempts at the pool in the whole run, its highest share in any second, its
// share after the planned end of the rollout, and the time from the fault to the
// new version's last attempt.
func (e *Env) measureRollout(records []standin.Record) {
	fault, hasFault := e.notes["fault_at"]
	end := e.notes["rollout_by_at"]
	var all, newAll, late, newLate, last, peak float64
	windows := map[int][2]float64{}
	for _, r := range records {
		if r.Pool != e.rolloutPool() {
			continue
		}
		at := r.Arrived.Sub(e.StartedAt).Seconds()
		isNew := r.Version == newVersion
		w := windows[int(at)]
		w[0]++
		all++
		if at > end {
			late++
		}
		if isNew {
			w[1]++
			newAll++
			last = max(last, at)
			if at > end {
				newLate++
			}
		}
		windows[int(at)] = w
	}
	for _, w := range windows {
		peak = max(peak, w[1]/w[0])
	}
	e.notes["new_version_share"] = newAll / max(all, 1)
	e.notes["new_version_most_in_1s"] = peak
	e.notes["new_version_share_after_by"] = newLate / max(late, 1)
	if hasFault {
		e.notes["last_work_after_fault_s"] = max(last-fault, 0)
	}
}

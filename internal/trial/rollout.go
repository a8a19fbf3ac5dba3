package trial

import (
	"context"
	"fmt"
	"strings"
	"time"

	standin "github.com/sapphirewall/sapphirewall/internal/standin/upstream"
	"github.com/sapphirewall/sapphirewall/internal/tables"
)

// newVersion is the version that the rollout scenarios move to.
const newVersion = "v2"

// newVersionNet is added to the second byte of an upstream's address for the
// upstream of the new version beside it.
const newVersionNet = 10

// The times of a rollout, as shares of the run.
const (
	rolloutStart = 0.1
	rolloutBy    = 0.7
	lateFaultAt  = 0.45
)

// rolloutPool is the first pool of more than one shard that is in the most
// routes, so that a fault on one route leaves others.
func (e *Env) rolloutPool() string {
	best, most := "", 0
	for _, name := range e.Deployment.PoolNames() {
		n := 0
		for _, r := range e.Deployment.Tables.Routes {
			for _, p := range r.Pools {
				if p == name && e.Deployment.Tables.Pools[name].Shards > 1 {
					n++
				}
			}
		}
		if n > most {
			best, most = name, n
		}
	}
	return best
}

// rolloutTables returns the tables with an upstream of the new version beside
// each upstream of a pool, and the rollout to it.
func rolloutTables(t *tables.Tables, pool string, start, by time.Time) []byte {
	var b strings.Builder
	header := "[pool " + pool + "]"
	for _, line := range strings.SplitAfter(string(t.Text), "\n") {
		b.WriteString(line)
		if strings.TrimSpace(line) != header {
			continue
		}
		fmt.Fprintf(&b, "version = %s\nversion-from = v1\nversion-share = 100%%\nversion-start = %s\nversion-by = %s\n",
			newVersion, start.UTC().Format(time.RFC3339), by.UTC().Format(time.RFC3339))
		for _, u := range t.Pools[pool].Upstreams {
			fmt.Fprintf(&b, "upstream.%s-%s = %s zone=%s shard=%d version=%s\n", u.ID, newVersion, newAddr(u.Addr), u.Zone, u.Shard, newVersion)
		}
	}
	return []byte(b.String())
}

// newAddr is the address of the upstream of the new version beside addr.
func newAddr(addr string) string {
	var net int
	var rest string
	_, _ = fmt.Sscanf(addr, "127.%d.%s", &net, &rest)
	return fmt.Sprintf("127.%d.%s", net+newVersionNet, rest)
}

// rollout moves the pool to the new version while fault, if any, is brought
// about. The new upstreams run before they are in the tables.
func rollout(fault func(ctx context.Context, e *Env, s standin.Selector)) scenario {
	return func(ctx context.Context, e *Env) error {
		s := standin.Selector{Version: newVersion}
		if !e.at(ctx, rolloutStart) {
			return nil
		}
		by := e.Began.Add(time.Duration(rolloutBy * float64(e.Length)))
		e.note("rollout_start_at")
		e.notes["rollout_by_at"] = rolloutBy * e.Length.Seconds()
		if err := e.Commit(ctx, rolloutTables(e.Deployment.Tables, e.rolloutPool(), time.Now(), by)); err != nil {
			return err
		}
		if fault != nil {
			fault(ctx, e, s)
		}
		return nil
	}
}

// The faults of a bad version.
const (
	badErrors   = 0.5
	badSlow     = 5
	badSlowPast = 2 // running requests above which it is slow
)

func badAtOnce(_ context.Context, e *Env, s standin.Selector) {
	e.note("fault_at")
	e.Fleet.UpdateFaults(s, func(f *standin.Faults) { f.ErrorRate = badErrors })
}

func badLate(ctx context.Context, e *Env, s standin.Selector) {
	if e.at(ctx, lateFaultAt) {
		badAtOnce(ctx, e, s)
	}
}

// badOnOneRoute fails on the first route of the deployment.
func badOnOneRoute(_ context.Context, e *Env, s standin.Selector) {
	e.note("fault_at")
	e.Fleet.UpdateFaults(s, func(f *standin.Faults) { f.ErrorRate, f.Route = badErrors, e.Deployment.Routes[0].Name })
}

func badUnderLoad(_ context.Context, e *Env, s standin.Selector) {
	e.note("fault_at")
	e.Fleet.UpdateFaults(s, func(f *standin.Faults) { f.SlowFactor, f.SlowAbove = badSlow, badSlowPast })
}

// measureRollout adds the new version's share of the pool's runs in all, after
// the fault, and after the time at which the rollout was to be done.
func (e *Env) measureRollout(records []standin.Record) {
	fault, isBad := e.notes["fault_at"]
	by := e.notes["rollout_by_at"]
	var all, newAll, late, newLate, last, most float64
	windows := map[int][2]float64{}
	for _, r := range records {
		if r.Pool != e.rolloutPool() {
			continue
		}
		at := r.Arrived.Sub(e.Began).Seconds()
		isNew := r.Version == newVersion
		w := windows[int(at)]
		w[0]++
		all++
		if at > by {
			late++
		}
		if isNew {
			w[1]++
			newAll++
			last = max(last, at)
			if at > by {
				newLate++
			}
		}
		windows[int(at)] = w
	}
	for _, w := range windows {
		most = max(most, w[1]/w[0])
	}
	e.notes["new_version_share"] = newAll / max(all, 1)
	e.notes["new_version_most_in_1s"] = most
	e.notes["new_version_share_after_by"] = newLate / max(late, 1)
	if isBad {
		e.notes["last_work_after_fault_s"] = max(last-fault, 0)
	}
}

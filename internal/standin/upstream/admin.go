package upstream

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sapphirewall/sapphirewall/internal/tables"
	wire "github.com/sapphirewall/sapphirewall/internal/upstream"
)

// Paths of the admin handler. Query parameters select the replicas by id, pool,
// zone and version; PathFault also takes kind, value and route.
const (
	PathFault    = "/v1/fault"    // POST ?kind=slow&value=10&pool=ledger
	PathSnapshot = "/v1/snapshot" // POST ?publish=8 or ?drop=7, &pool=ledger&bounds=0,100,65536
	PathRecords  = "/v1/records"  // GET: all records; DELETE: remove all records
	PathReplicas = "/v1/replicas" // GET: the list of ReplicaInfo
)

// HandleAdmin serves the admin paths: it switches faults, publishes and drops
// snapshots, and returns the records and the list of replicas.
func (f *Fleet) HandleAdmin(ctx *fasthttp.RequestCtx) {
	var err error
	switch string(ctx.Path()) {
	case PathFault:
		err = f.adminFault(ctx.QueryArgs())
	case PathSnapshot:
		err = f.adminSnapshot(ctx.QueryArgs())
	case PathRecords:
		if ctx.IsDelete() {
			f.RequestLog.Reset()
			return
		}
		err = writeJSON(ctx, f.RequestLog.Records())
	case PathReplicas:
		err = writeJSON(ctx, f.list())
	default:
		ctx.Error("not found: ask "+strings.Join([]string{PathFault, PathSnapshot, PathRecords, PathReplicas}, ", ")+"\n", fasthttp.StatusNotFound)
		return
	}
	if err != nil {
		ctx.Error(err.Error()+"\n", fasthttp.StatusBadRequest)
	}
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) error {
	ctx.SetContentType("application/json")
	return json.NewEncoder(ctx).Encode(v)
}

// ReplicaInfo describes a replica in the reply to PathReplicas.
type ReplicaInfo struct {
	ID       string `json:"id"`
	Addr     string `json:"addr"`
	Pool     string `json:"pool"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Running  bool   `json:"running"`
	ColdPeak int    `json:"cold_peak"`
}

func (f *Fleet) list() []ReplicaInfo {
	var out []ReplicaInfo
	for _, r := range f.Select(Selector{}) {
		c := r.Config()
		out = append(out, ReplicaInfo{c.ID, c.Addr, c.Pool, c.Zone, c.Version, r.Running(), r.ColdPeak()})
	}
	return out
}

func (f *Fleet) adminFault(q *fasthttp.Args) error {
	s := Selector{ID: arg(q, "id"), Pool: arg(q, "pool"), Zone: arg(q, "zone"), Version: arg(q, "version")}
	replicas := f.Select(s)
	if len(replicas) == 0 {
		return fmt.Errorf("%w: %+v", ErrNoReplica, s)
	}
	for _, r := range replicas {
		if err := r.ApplyFault(arg(q, "kind"), arg(q, "value"), arg(q, "route")); err != nil {
			return err
		}
	}
	return nil
}

func arg(q *fasthttp.Args, name string) string { return string(q.Peek(name)) }

// ApplyFault applies a fault or action by name: kill, start, restart, drain, cold,
// silence, freeze, thaw, shed, lie, poison, slow, slow-past, errors, heal, or one
// of AnswerFaults, whose value is the share of answers affected. The name heal
// resets all Faults.
func (r *Replica) ApplyFault(kind, value, route string) error {
	number, numberErr := strconv.ParseFloat(value, 64)
	change := func(f *Faults) {}
	switch kind {
	case "kill":
		r.Kill()
	case "start":
		return r.Start(value == "warm")
	case "restart":
		return r.Restart()
	case "drain":
		r.Drain()
	case "cold":
		r.ResetWarmup()
	case "silence":
		r.StallConnections()
	case "freeze":
		change = func(f *Faults) { f.Frozen = true }
	case "thaw":
		change = func(f *Faults) { f.Frozen = false }
	case "shed":
		change = func(f *Faults) { f.RejectAll = value != "off" }
	case "lie":
		load, err := wire.ParseLoad(value)
		if err != nil {
			return err
		}
		change = func(f *Faults) { f.ReportedLoad = &load }
	case "poison":
		change = func(f *Faults) { f.Poison = value }
	case "heal":
		change = func(f *Faults) { *f = Faults{} }
	default:
		if numberErr != nil {
			return fmt.Errorf("fault %q: value %q is no number", kind, value)
		}
		return r.applyNumber(kind, number, route)
	}
	r.UpdateFaults(change)
	return nil
}

// applyNumber applies the faults whose value is a number.
func (r *Replica) applyNumber(kind string, n float64, route string) error {
	switch kind {
	case "slow":
		r.UpdateFaults(func(f *Faults) { f.SlowFactor, f.Route = n, route })
		return nil
	case "slow-past":
		r.UpdateFaults(func(f *Faults) { f.SlowAbove = int(n) })
		return nil
	case "errors":
		r.UpdateFaults(func(f *Faults) { f.ErrorRate, f.Route = n, route })
		return nil
	}
	for _, a := range AnswerFaults {
		if string(a) == kind {
			r.UpdateFaults(func(f *Faults) { f.Answer, f.AnswerRate, f.AnswerDelay = a, n, defaultAnswerDelay })
			return nil
		}
	}
	return fmt.Errorf("unknown fault %q", kind)
}

// defaultAnswerDelay is the delay of answers under AnswerLate.
const defaultAnswerDelay = 200 * time.Millisecond

func (f *Fleet) adminSnapshot(q *fasthttp.Args) error {
	if v := arg(q, "drop"); v != "" {
		id, err := strconv.ParseUint(v, 10, 64)
		if err != nil {
			return fmt.Errorf("drop: %w", err)
		}
		f.Drop(id)
		return nil
	}
	id, err := strconv.ParseUint(arg(q, "publish"), 10, 64)
	if err != nil {
		return fmt.Errorf("publish: %w", err)
	}
	layout := Layout{}
	if v := arg(q, "bounds"); v != "" {
		bounds, err := parseBounds(v)
		if err != nil {
			return err
		}
		layout[arg(q, "pool")] = bounds
	}
	f.Publish(id, layout)
	return nil
}

// parseBounds parses comma-separated, strictly increasing bounds that span the
// key space.
func parseBounds(v string) ([]uint32, error) {
	ids, err := wire.ParseSnapshots(v)
	if err != nil {
		return nil, err
	}
	out := make([]uint32, len(ids))
	for i, id := range ids {
		out[i] = uint32(id)
		if i > 0 && out[i] <= out[i-1] {
			return nil, fmt.Errorf("bounds %q do not rise", v)
		}
	}
	if len(out) < 2 || out[0] != 0 || out[len(out)-1] != tables.KeySpace {
		return nil, fmt.Errorf("bounds %q do not span 0 to %d", v, tables.KeySpace)
	}
	return out, nil
}

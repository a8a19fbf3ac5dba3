package trial

import (
	"context"
	"io"
	"time"

	"github.com/rs/zerolog"

	"github.com/sapphirewall/sapphirewall/internal/deployment"
	"github.com/sapphirewall/sapphirewall/internal/load"
	standin "github.com/sapphirewall/sapphirewall/internal/standin/upstream"
)

// Options configures Run.
type Options struct {
	Directory  string // directory of the deployment
	Executable string // started with the command "vm" for each VM
	Scratch    string // directory for the settings files of the VMs
	Seed       uint64
	Length     time.Duration // of the measured part of the run
	WarmUp     time.Duration // load before the measured part, at the same rates
	Scenarios  []string
	Policies   []string
	Log        io.Writer // log output of the VMs
	Progress   func(format string, args ...any)
}

// VMOptions configures RunVM.
type VMOptions struct{ Log zerolog.Logger }

// Outcome is the outcome of one scenario under one policy.
type Outcome struct {
	Scenario string             `json:"scenario"`
	Policy   string             `json:"policy"`
	Report   *load.Summary      `json:"report"`
	Seconds  []Second           `json:"seconds"`
	Notes    map[string]float64 `json:"notes,omitempty"`
}

// Second summarizes the requests that were due in one second of the run.
type Second struct {
	Asked    int     `json:"asked"`
	Answered int     `json:"answered"`
	Coverage float64 `json:"coverage"` // mean of all answers, from 0 to 1
	P99MS    float64 `json:"p99_ms"`
}

// Results contains all outcomes of a trial.
type Results struct {
	Deployment string        `json:"deployment"`
	Seed       uint64        `json:"seed"`
	Length     time.Duration `json:"length"`
	VMs        int           `json:"vms"`
	Upstreams  int           `json:"upstreams"`
	Outcomes   []*Outcome    `json:"outcomes"`
}

// settleTime is the wait for executions that are still running at the upstreams
// before the records are read.
const settleTime = 500 * time.Millisecond

// Run runs each scenario under each policy, one after the other. On an error it
// also returns the outcomes so far.
func Run(ctx context.Context, d *deployment.Deployment, o Options) (*Results, error) {
	out := &Results{Deployment: d.Name, Seed: o.Seed, Length: o.Length, VMs: d.VMs}
	for _, p := range d.Tables.Pools {
		out.Upstreams += len(p.Upstreams)
	}
	for _, name := range o.Scenarios {
		for _, p := range Policies {
			if !contains(o.Policies, p.Name) {
				continue
			}
			o.Progress("%s under %s", name, p.Name)
			outcome, err := runScenario(ctx, d, o, name, p)
			if err != nil {
				return out, err
			}
			out.Outcomes = append(out.Outcomes, outcome)
		}
	}
	return out, nil
}

func contains(list []string, v string) bool {
	for _, s := range list {
		if s == v {
			return true
		}
	}
	return false
}

func runScenario(ctx context.Context, d *deployment.Deployment, o Options, name string, p Policy) (*Outcome, error) {
	e, err := newEnv(ctx, d, o, p)
	if err != nil {
		return nil, err
	}
	defer e.Close()
	e.Runner.Run(ctx, load.NewPlan(o.Seed+1, d.Routes, o.WarmUp))
	e.Fleet.RequestLog.Reset()
	plan := load.NewPlan(o.Seed, d.Routes, o.Length)
	e.StartedAt = time.Now()
	scenarioCtx, end := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- scenarios[name](scenarioCtx, e) }()
	results := e.Runner.Run(ctx, plan)
	end()
	if err := <-done; err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	records := e.Fleet.RequestLog.Records()
	checker := &load.Checker{Tables: d.Tables, Source: e.Fleet, Records: records}
	checked := checker.Check(d.Routes, results)
	return &Outcome{
		Scenario: name, Policy: p.Name, Report: load.NewSummary(d.Routes, checked, records),
		Seconds: seconds(e.StartedAt, o.Length, checked), Notes: e.measure(records),
	}, nil
}

// seconds summarizes the results by the second in which they were due.
func seconds(start time.Time, length time.Duration, checked []load.CheckedResult) []Second {
	n := int((length + time.Second - 1) / time.Second)
	buckets := make([][]load.CheckedResult, n)
	for _, j := range checked {
		i := min(max(int(j.Due.Sub(start)/time.Second), 0), n-1)
		buckets[i] = append(buckets[i], j)
	}
	out := make([]Second, n)
	for i, b := range buckets {
		r := load.Summarize("all", b)
		out[i] = Second{Asked: r.Asked, Answered: r.Complete + r.Partial, Coverage: r.Coverage, P99MS: r.P99MS}
	}
	return out
}

// measure adds figures from the records of the stand-ins to the notes and returns
// them: those of a rollout, and how long after it was taken out of service an
// availability zone still received attempts.
func (e *Env) measure(records []standin.Record) map[string]float64 {
	if _, ok := e.notes["rollout_start_at"]; ok {
		e.measureRollout(records)
	}
	out, ok := e.notes["zone_out_at"]
	if !ok {
		return e.notes
	}
	back, ok := e.notes["zone_back_at"]
	if !ok {
		back = e.Length.Seconds()
	}
	last := 0.0
	for _, r := range records {
		at := r.Arrived.Sub(e.StartedAt).Seconds()
		if r.Zone == e.Deployment.Zones[0] && at > out && at < back {
			last = max(last, at-out)
		}
	}
	e.notes["last_work_after_zone_out_s"] = last
	return e.notes
}

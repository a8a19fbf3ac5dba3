package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/deployment"
	"github.com/sapphirewall/sapphirewall/internal/load"
	"github.com/sapphirewall/sapphirewall/internal/local"
	"github.com/sapphirewall/sapphirewall/internal/settings"
	standin "github.com/sapphirewall/sapphirewall/internal/standin/upstream"
	"github.com/sapphirewall/sapphirewall/internal/telemetry"
)

// Durations of a trial.
const (
	trialLength      = 4 * time.Second
	readyTimeout     = 8 * time.Second
	stopTimeout      = 2 * time.Second
	progressInterval = 200 * time.Millisecond
	settleTime       = 300 * time.Millisecond // lets the stand-ins finish the executions in progress
	routeDeadline    = 300 * time.Millisecond // of both routes in routesText
)

// zones are the availability zones, with one VM each.
var zones = []string{"zone-a", "zone-b", "zone-c"}

const routesText = `
[route counter]
kind = query
pools = reproofing, ledger
merge = concat
deadline = 300ms

[route desk]
kind = action
pools = desk
merge = first
deadline = 300ms
idempotent = no
`

// pools has ten reproofing and fifteen ledger shards with three replicas each for
// the queries, and a pool with one shard, desk, for the actions.
var pools = []deployment.Pool{
	{Name: "reproofing", Shards: 10, Replicas: 3, Slots: 4, Connections: 35, ConnectCost: 6 * time.Millisecond, ColdSlots: 1},
	{Name: "ledger", Shards: 15, Replicas: 3, Slots: 4, Connections: 35, ConnectCost: 6 * time.Millisecond, ColdSlots: 1},
	{Name: "desk", Shards: 1, Replicas: 13, Slots: 6, Connections: 110, ConnectCost: time.Millisecond, ColdSlots: 1},
}

// actionsPerQuery is the rate of actions relative to that of queries.
const actionsPerQuery = 0.15

func routesOf(queries int) []load.Route {
	rate := float64(queries) / trialLength.Seconds()
	return []load.Route{
		{Name: "counter", PerSecond: rate, Deadline: routeDeadline},
		{Name: "desk", PerSecond: rate * actionsPerQuery, Action: true, Repeat: 0.2, Deadline: routeDeadline},
	}
}

// runTrial runs the cluster, the scenario and the requests, and reports whether
// all checks passed.
func runTrial(ctx context.Context, o options, stdout, stderr io.Writer) (bool, error) {
	cluster, err := startCluster(ctx, o, stderr)
	if err != nil {
		return false, err
	}
	defer func() {
		stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()
		cluster.Stop(stop)
	}()
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := cluster.AwaitReady(readyCtx); err != nil {
		return false, err
	}
	routes := routesOf(o.queries)
	if err := load.AwaitComplete(readyCtx, routes, cluster.EntryAddrs()); err != nil {
		return false, err
	}
	cluster.Fleet.RequestLog.Reset()
	plan := load.NewPlan(o.seed, routes, trialLength)
	runner := &load.Runner{Routes: routes, Deadline: routeDeadline}
	runner.SetTargets(cluster.EntryAddrs())
	scenarioCtx, endScenario := context.WithCancel(ctx)
	scenarioDone := make(chan error, 1)
	go func() { scenarioDone <- scenarios[o.scenario](scenarioCtx, cluster) }()
	endProgress := startProgress(stderr, runner, len(plan))
	results := runner.Run(ctx, plan)
	endProgress()
	endScenario()
	if err := <-scenarioDone; err != nil {
		return false, fmt.Errorf("scenario %s: %w", o.scenario, err)
	}
	time.Sleep(settleTime)
	return report(o, cluster, routes, results, stdout)
}

func startCluster(ctx context.Context, o options, stderr io.Writer) (*local.Cluster, error) {
	base := settings.Default()
	if o.config != "" {
		var err error
		if base, err = settings.Load(o.config); err != nil {
			return nil, err
		}
	}
	log, err := telemetry.NewLogger(stderr, o.logLevel, telemetry.FormatConsole, "sw-local", "")
	if err != nil {
		return nil, err
	}
	addrs := deployment.NewAddressAllocator()
	text, err := deployment.RenderTables(routesText, pools, zones, func(string) (string, error) { return addrs.Next() })
	if err != nil {
		return nil, err
	}
	return local.Start(ctx, local.Options{
		Zones: zones, Tables: text, Upstreams: standin.Options{Seed: o.seed}, Base: base, Log: log, Addresses: addrs,
	})
}

// startProgress prints the progress on one line and updates it until the returned
// function is called.
func startProgress(w io.Writer, r *load.Runner, total int) func() {
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		tick := time.NewTicker(progressInterval)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				_, _ = fmt.Fprintf(w, "\rrequests finished: %d of %d", r.Done(), total)
			case <-stop:
				_, _ = fmt.Fprintf(w, "\rrequests finished: %d of %d\n", r.Done(), total)
				return
			}
		}
	}()
	return func() { close(stop); <-done }
}

func report(o options, c *local.Cluster, routes []load.Route, results []load.Result, stdout io.Writer) (bool, error) {
	records := c.Fleet.RequestLog.Records()
	checker := &load.Checker{Tables: c.Tables, Source: c.Fleet, Records: records}
	rep := load.NewSummary(routes, checker.Check(routes, results), records)
	ok := len(rep.Violations) == 0 && enoughAnswered(o.scenario, rep)
	if o.json {
		enc := json.NewEncoder(stdout)
		enc.SetIndent("", "  ")
		return ok, enc.Encode(rep)
	}
	rep.WriteText(stdout)
	if ok {
		_, _ = fmt.Fprintf(stdout, "every answer checked: %d requests, scenario %s, seed %d\n", rep.All.Asked, o.scenario, o.seed)
	} else {
		_, _ = fmt.Fprintf(stdout, "CHECKS FAILED: scenario %s, seed %d\n", o.scenario, o.seed)
	}
	return ok, nil
}

// Command sw-local runs all of sapphirewall in one process: three VMs in three
// availability zones, with stand-ins for the platform and the upstreams. It sends
// requests, checks every answer, and prints a table per route.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/sapphirewall/sapphirewall/internal/launch"
)

const usage = `Runs three VMs with stand-ins for the platform and the upstreams in one process,
sends queries, and checks every answer. Exits with 0 only if all checks pass.

Examples:
  sw-local
  sw-local --queries 1000 --seed 7 --log-level info
  sw-local --scenario zone-out --json`

// options holds the values of the flags.
type options struct {
	config   string
	queries  int
	seed     uint64
	logLevel string
	json     bool
	scenario string
	version  bool
}

// Limits and default of --queries.
const (
	minQueries     = 1
	maxQueries     = 100_000
	defaultQueries = 300
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var o options
	fs := flag.NewFlagSet("sw-local", flag.ContinueOnError)
	fs.SetOutput(stderr)
	fs.StringVar(&o.config, "config", "", "settings file that all VMs start from; addresses and names are set for each VM")
	fs.IntVar(&o.queries, "queries", defaultQueries, "approximate number of queries to send")
	fs.Uint64Var(&o.seed, "seed", 1, "seed of the queries and of the upstreams")
	fs.StringVar(&o.logLevel, "log-level", "error", "debug, info, warn or error")
	fs.BoolVar(&o.json, "json", false, "print the report as JSON")
	fs.StringVar(&o.scenario, "scenario", scenarioCalm, "one of "+scenarioNames())
	fs.BoolVar(&o.version, "version", false, "print the version and exit")
	cmd := &ffcli.Command{Name: "sw-local", ShortUsage: "sw-local [flags]", LongHelp: usage, FlagSet: fs}
	fs.Usage = func() { _, _ = fmt.Fprintln(stderr, ffcli.DefaultUsageFunc(cmd)) }
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("SAPPHIREWALL")); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return launch.ExitOK
		}
		_, _ = fmt.Fprintln(stderr, err)
		return launch.ExitUsage
	}
	switch {
	case o.version:
		_, _ = fmt.Fprintln(stdout, "sw-local", launch.Version())
		return launch.ExitOK
	case o.queries < minQueries || o.queries > maxQueries:
		_, _ = fmt.Fprintf(stderr, "--queries %d: out of range %d to %d\n", o.queries, minQueries, maxQueries)
		return launch.ExitUsage
	case scenarios[o.scenario] == nil:
		_, _ = fmt.Fprintf(stderr, "--scenario %q: unknown scenario; use one of %s\n", o.scenario, scenarioNames())
		return launch.ExitUsage
	}
	ok, err := runTrial(ctx, o, stdout, stderr)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "sw-local:", err)
		return launch.ExitFailed
	}
	if !ok {
		return launch.ExitFailed
	}
	return launch.ExitOK
}

package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/sapphirewall/sapphirewall/internal/deployment"
	"github.com/sapphirewall/sapphirewall/internal/settings"
	"github.com/sapphirewall/sapphirewall/internal/telemetry"
	"github.com/sapphirewall/sapphirewall/internal/trial"
)

// Defaults of a trial.
const (
	defaultLength = 10 * time.Second
	defaultWarmUp = 3 * time.Second
)

// trialCommand returns the root command, which runs a trial.
func trialCommand(stdout, stderr io.Writer) *ffcli.Command {
	c := newCommand("sw-load", "run a deployment's scenarios", usage, stderr)
	c.ShortUsage = "sw-load [flags] | sw-load report [flags] FILE..."
	dir := c.FlagSet.String("deployment", "examples/ishikari", "directory of the deployment")
	names := c.FlagSet.String("scenarios", strings.Join(trial.ScenarioNames(), ","), "scenarios, comma-separated")
	policies := c.FlagSet.String("policies", "baseline,tier", "policies to compare, comma-separated")
	seed := c.FlagSet.Uint64("seed", 1, "seed of the requests and of the upstreams")
	length := c.FlagSet.Duration("length", defaultLength, "measured time of each scenario")
	warmUp := c.FlagSet.Duration("warm-up", defaultWarmUp, "load before the measured time")
	out := c.FlagSet.String("out", "", "file for the results as JSON; empty for none")
	c.Exec = func(ctx context.Context, _ []string) error {
		d, err := deployment.Load(*dir)
		if err != nil {
			return err
		}
		o := trial.Options{
			Directory: *dir, Seed: *seed, Length: *length, WarmUp: *warmUp,
			Scenarios: strings.Split(*names, ","), Policies: strings.Split(*policies, ","), Log: stderr,
			Progress: func(format string, args ...any) { _, _ = fmt.Fprintf(stderr, "running "+format+"\n", args...) },
		}
		if err := trial.CheckNames(o); err != nil {
			return err
		}
		if o.Executable, err = os.Executable(); err != nil {
			return err
		}
		if o.Scratch, err = os.MkdirTemp("", "sw-load"); err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(o.Scratch) }()
		return runTrial(ctx, d, o, *out, stdout)
	}
	return c
}

// runTrial runs the scenarios, prints the outcomes and writes the results to out.
func runTrial(ctx context.Context, d *deployment.Deployment, o trial.Options, out string, stdout io.Writer) error {
	results, err := trial.Run(ctx, d, o)
	if err != nil {
		return err
	}
	violations := 0
	for _, outcome := range results.Outcomes {
		_, _ = fmt.Fprintf(stdout, "\n== %s, %s under %s\n", results.Deployment, outcome.Scenario, outcome.Policy)
		outcome.Report.WriteText(stdout)
		violations += len(outcome.Report.Violations)
	}
	_, _ = fmt.Fprintln(stdout)
	results.WriteMarkdown(stdout)
	if out != "" {
		if err := writeResults(out, results); err != nil {
			return err
		}
	}
	if violations > 0 {
		_, _ = fmt.Fprintf(stdout, "CHECKS FAILED: %d broken promises\n", violations)
		return errChecksFailed
	}
	return nil
}

func writeResults(path string, r *trial.Results) error {
	b, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	return os.WriteFile(path, b, 0o644)
}

// reportCommand returns the command that plots results and prints their tables.
func reportCommand(stdout, stderr io.Writer) *ffcli.Command {
	c := newCommand("report", "draw plots and tables of results", "Draws SVG plots of results and prints their tables.", stderr)
	out := c.FlagSet.String("out", "docs/measurements", "directory for the plots")
	c.Exec = func(_ context.Context, files []string) error {
		if len(files) == 0 {
			return flag.ErrHelp
		}
		for _, f := range files {
			b, err := os.ReadFile(f)
			if err != nil {
				return err
			}
			var r trial.Results
			if err := json.Unmarshal(b, &r); err != nil {
				return fmt.Errorf("%s: %w", f, err)
			}
			if err := r.Plot(*out); err != nil {
				return err
			}
			r.WriteMarkdown(stdout)
		}
		return nil
	}
	return c
}

// vmCommand returns the command that runs one VM of a trial; the root command
// starts it as a process.
func vmCommand(stderr io.Writer) *ffcli.Command {
	c := newCommand("vm", "run one VM of a trial (started by sw-load)", "", stderr)
	dir := c.FlagSet.String("deployment", "", "directory of the deployment")
	config := c.FlagSet.String("config", "", "settings file of the VM")
	c.Exec = func(ctx context.Context, _ []string) error {
		d, err := deployment.Load(*dir)
		if err != nil {
			return err
		}
		s, err := settings.Load(*config)
		if err != nil {
			return err
		}
		log, err := telemetry.NewLogger(stderr, s.Log.Level, telemetry.FormatConsole, "sw-load", s.Node.ID)
		if err != nil {
			return err
		}
		return trial.RunVM(ctx, d, s, trial.VMOptions{Log: log})
	}
	return c
}

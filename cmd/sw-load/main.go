// Command sw-load runs the scenarios of a deployment under load, with the tier and
// with the baseline policy, checks every answer, and plots the results.
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

const usage = `Runs a deployment's scenarios: VMs as processes, platform and upstreams as
stand-ins, callers as an open-loop load. Every answer is checked.

Examples:
  sw-load --deployment examples/ishikari
  sw-load --deployment examples/van-ommeren --scenarios zone-out --length 20s
  sw-load report --out docs/measurements results/ishikari.json`

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// errChecksFailed is returned after the failed checks have been printed.
var errChecksFailed = errors.New("checks failed")

func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := trialCommand(stdout, stderr)
	version := root.FlagSet.Bool("version", false, "print the version and exit")
	root.Subcommands = []*ffcli.Command{reportCommand(stdout, stderr), vmCommand(stderr)}
	inner := root.Exec
	root.Exec = func(ctx context.Context, args []string) error {
		if *version {
			_, _ = fmt.Fprintln(stdout, "sw-load", launch.Version())
			return nil
		}
		return inner(ctx, args)
	}
	if err := root.Parse(args); err != nil {
		return exitCode(err, launch.ExitUsage, stderr)
	}
	return exitCode(root.Run(ctx), launch.ExitFailed, stderr)
}

// exitCode prints err, unless it is nil or printed already, and returns the exit
// code: ExitOK without an error or after a request for help, else code.
func exitCode(err error, code int, stderr io.Writer) int {
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return launch.ExitOK
	case !errors.Is(err, errChecksFailed):
		_, _ = fmt.Fprintln(stderr, "sw-load:", err)
	}
	return code
}

// newCommand returns a command whose flags can also be set in the environment.
func newCommand(name, short, long string, stderr io.Writer) *ffcli.Command {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(stderr)
	return &ffcli.Command{
		Name: name, ShortUsage: "sw-load " + name + " [flags]", ShortHelp: short, LongHelp: long,
		FlagSet: fs, Options: []ff.Option{ff.WithEnvVarPrefix("SAPPHIREWALL")},
	}
}

// Command sw-standin simulates the environment of sapphirewall: the upstreams of a
// tables file, and the platform with its key-value service and its list of VMs.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/valyala/fasthttp"

	"github.com/sapphirewall/sapphirewall/internal/launch"
	"github.com/sapphirewall/sapphirewall/internal/platform"
	standinplatform "github.com/sapphirewall/sapphirewall/internal/standin/platform"
	standin "github.com/sapphirewall/sapphirewall/internal/standin/upstream"
	"github.com/sapphirewall/sapphirewall/internal/tables"
)

const usage = `Simulates the platform and the upstreams of a tables file.

Examples:
  sw-standin --tables tables.ini --vm vm-1,zone-1,127.0.0.1:7020
  curl -X POST 'http://127.0.0.1:7102/v1/fault?kind=slow&value=10&id=reproofing-0-0'
  curl -X POST 'http://127.0.0.1:7102/v1/snapshot?publish=2'`

// options holds the values of the flags.
type options struct {
	tables  string
	kv      string
	vms     string
	admin   string
	seed    uint64
	cold    bool
	mean    time.Duration
	sigma   float64
	members stringList
	version bool
}

// stringList collects the values of a flag that may be given several times.
type stringList []string

func (l *stringList) String() string     { return strings.Join(*l, " ") }
func (l *stringList) Set(v string) error { *l = append(*l, v); return nil }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var o options
	fs := flag.NewFlagSet("sw-standin", flag.ContinueOnError)
	fs.SetOutput(stderr)
	fs.StringVar(&o.tables, "tables", "", "tables file whose upstreams are simulated; empty for the platform alone")
	fs.StringVar(&o.kv, "kv", "127.0.0.1:7100", "address of the key-value service, IP:port")
	fs.StringVar(&o.vms, "vms", "127.0.0.1:7101", "address of the list of VMs, IP:port")
	fs.StringVar(&o.admin, "admin", "127.0.0.1:7102", "address of /v1/fault, /v1/snapshot, /v1/records and /v1/replicas, IP:port")
	fs.Uint64Var(&o.seed, "seed", 1, "seed of the service times and faults")
	fs.BoolVar(&o.cold, "cold", false, "start the upstreams cold")
	fs.DurationVar(&o.mean, "mean", standin.DefaultMean, "mean service time")
	fs.Float64Var(&o.sigma, "sigma", standin.DefaultSigma, "sigma of the lognormal service time")
	fs.Var(&o.members, "vm", "VM of the system in the list of VMs: ID,zone,control address; may be given several times")
	fs.BoolVar(&o.version, "version", false, "print the version and exit")
	cmd := &ffcli.Command{Name: "sw-standin", ShortUsage: "sw-standin [flags]", LongHelp: usage, FlagSet: fs}
	fs.Usage = func() { _, _ = fmt.Fprintln(stderr, ffcli.DefaultUsageFunc(cmd)) }
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("SAPPHIREWALL")); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return launch.ExitOK
		}
		_, _ = fmt.Fprintln(stderr, err)
		return launch.ExitUsage
	}
	if o.version {
		_, _ = fmt.Fprintln(stdout, "sw-standin", launch.Version())
		return launch.ExitOK
	}
	if err := serve(ctx, o, stdout); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return launch.ExitFailed
	}
	return launch.ExitOK
}

// serve runs the stand-ins until ctx ends.
func serve(ctx context.Context, o options, stdout io.Writer) error {
	t, err := readTables(o.tables)
	if err != nil {
		return err
	}
	list, err := vmList(o.members, t)
	if err != nil {
		return err
	}
	fleet := standin.FromTables(t, standin.Options{
		Seed: o.seed, Service: standin.ServiceTime{Mean: o.mean, Sigma: o.sigma},
	})
	defer fleet.Close()
	fleet.Publish(1, nil)
	if err := fleet.Start(!o.cold); err != nil {
		return err
	}
	store := standinplatform.New()
	defer store.Close()
	store.SetVMs(list)
	admin := &fasthttp.Server{Handler: fleet.HandleAdmin, Name: "sw-standin", NoDefaultServerHeader: true}
	defer func() { _ = admin.Shutdown() }()
	for _, s := range []struct {
		addr  string
		serve func(net.Listener) error
	}{{o.kv, store.Serve}, {o.vms, store.Serve}, {o.admin, admin.Serve}} {
		ln, err := net.Listen("tcp", s.addr)
		if err != nil {
			return err
		}
		go func() { _ = s.serve(ln) }()
	}
	_, _ = fmt.Fprintf(stdout, "sw-standin: %d upstreams, key-value service on %s, list of VMs on %s, faults on %s\n",
		len(fleet.Select(standin.Selector{})), o.kv, o.vms, o.admin)
	<-ctx.Done()
	return nil
}

func readTables(path string) (*tables.Tables, error) {
	if path == "" {
		return &tables.Tables{}, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return tables.Parse(tables.Source{Name: path, Text: text})
}

// vmList returns the platform's list of VMs: members, and all upstreams of t as live.
func vmList(members []string, t *tables.Tables) ([]platform.VM, error) {
	var out []platform.VM
	for _, m := range members {
		f := strings.Split(m, ",")
		if len(f) != 3 {
			return nil, fmt.Errorf("--vm %q: want ID,zone,control address", m)
		}
		out = append(out, platform.VM{ID: f[0], Zone: f[1], Kind: platform.KindSystem, State: platform.VMLive, Control: f[2]})
	}
	for _, p := range t.Pools {
		for _, u := range p.Upstreams {
			out = append(out, platform.VM{ID: u.ID, Zone: u.Zone, Kind: platform.KindUpstream, State: platform.VMLive})
		}
	}
	return out, nil
}

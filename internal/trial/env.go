package trial

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/sapphirewall/sapphirewall/internal/deployment"
	"github.com/sapphirewall/sapphirewall/internal/load"
	"github.com/sapphirewall/sapphirewall/internal/local"
	"github.com/sapphirewall/sapphirewall/internal/netdelay"
	"github.com/sapphirewall/sapphirewall/internal/settings"
	standinplatform "github.com/sapphirewall/sapphirewall/internal/standin/platform"
	standin "github.com/sapphirewall/sapphirewall/internal/standin/upstream"
	"github.com/sapphirewall/sapphirewall/internal/tables"
	"github.com/sapphirewall/sapphirewall/internal/tablestore"
)

// platformAddr is the listen address of the platform stand-in.
const platformAddr = "127.10.0.1:7100"

// Policy is a named change of the settings under which a scenario runs.
type Policy struct {
	Name  string
	Apply func(*settings.Settings)
}

// Policies are the policies compared in each scenario. The baseline picks
// replicas round-robin, without hedging, limits or admission control.
var Policies = []Policy{
	{"baseline", func(s *settings.Settings) {
		s.Entry.PickPolicy = "round-robin"
		s.Entry.Hedging = false
		s.Entry.Admission = false
		s.Egress.Limits = false
	}},
	{"tier", func(*settings.Settings) {}},
}

// Env is a deployment running under one policy.
type Env struct {
	Deployment *deployment.Deployment
	Platform   *standinplatform.Server
	Fleet      *standin.Fleet
	Runner     *load.Runner
	Length     time.Duration // of the measured part of the run
	StartedAt  time.Time     // start of the measured part of the run

	allTables *tables.Tables // including the upstreams of the new version
	options   Options
	vms       []*vmProcess
	head      tablestore.Head
	notes     map[string]float64
}

// vmProcess is the operating system process of one VM.
type vmProcess struct {
	settings *settings.Settings
	cmd      *exec.Cmd
}

// newEnv starts the stand-ins and the VMs and waits until all VMs are ready.
func newEnv(ctx context.Context, d *deployment.Deployment, o Options, p Policy) (_ *Env, err error) {
	e := &Env{
		Deployment: d, Platform: standinplatform.New(), options: o, Length: o.Length, notes: map[string]float64{},
		Runner: &load.Runner{Routes: d.Routes, Dial: callerDial(d.CallerRTT / 2)},
	}
	if e.allTables, err = tables.Parse(tables.Source{
		Name: "tables with the new version", Text: rolloutTables(d.Tables, e.rolloutPool(), time.Now(), time.Now().Add(time.Hour)),
	}); err != nil {
		return nil, err
	}
	e.Fleet = standin.FromTables(e.allTables, standin.Options{Seed: o.Seed, PerPool: d.ServiceTimes})
	if err := e.start(ctx, p); err != nil {
		e.Close()
		return nil, err
	}
	return e, nil
}

func (e *Env) start(ctx context.Context, p Policy) error {
	e.Fleet.Publish(local.InitialSnapshot, nil)
	if err := e.Fleet.Start(true); err != nil {
		return err
	}
	for _, r := range e.Fleet.Select(standin.Selector{Version: newVersion}) {
		r.ResetWarmup()
	}
	ln, err := net.Listen("tcp", platformAddr)
	if err != nil {
		return eris.Wrap(err, "listen for the platform stand-in")
	}
	go func() { _ = e.Platform.Serve(ln) }()
	vms := e.Deployment.VMSettings(platformAddr)
	e.Platform.SetVMs(local.VMList(vms, e.allTables))
	if err := e.Commit(ctx, e.Deployment.Tables.Text); err != nil {
		return err
	}
	for _, s := range vms {
		p.Apply(s)
		e.vms = append(e.vms, &vmProcess{settings: s})
	}
	for i := range e.vms {
		if err := e.StartVM(i); err != nil {
			return err
		}
	}
	e.SetTargets(nil)
	return e.awaitReady(ctx)
}

// Commit commits tables to the platform's key-value service.
func (e *Env) Commit(ctx context.Context, text []byte) error {
	edit := fmt.Sprintf("trial-%d", e.head.Revision+1)
	head, err := tablestore.Commit(ctx, e.Platform.Store, e.Deployment.Settings.Platform.Prefix, e.head.Revision, text, edit)
	if err == nil {
		e.head = head
	}
	return err
}

// StartVM starts the process of a VM.
func (e *Env) StartVM(i int) error {
	vm := e.vms[i]
	path := filepath.Join(e.options.Scratch, vm.settings.Node.ID+".ini")
	if err := os.WriteFile(path, vmSettingsText(vm.settings), 0o600); err != nil {
		return eris.Wrap(err, "write VM settings")
	}
	vm.cmd = exec.Command(e.options.Executable, "vm", "--deployment", e.options.Directory, "--config", path)
	vm.cmd.Stdout, vm.cmd.Stderr = io.Discard, e.options.Log
	return eris.Wrap(vm.cmd.Start(), "start VM process")
}

// vmSettingsText returns the settings file of a VM with the settings that a
// trial changes.
func vmSettingsText(s *settings.Settings) []byte {
	iniBool := map[bool]string{true: "yes", false: "no"}
	return fmt.Appendf(nil, `[node]
fleet = %s
id = %s
zone = %s
grace = %v
[entry]
listen = %s
pick-policy = %s
hedging = %s
admission = %s
[egress]
listen = %s
limits = %s
[control]
listen = %s
[platform]
kv = %s
vms = %s
[log]
level = warn
`, s.Node.Fleet, s.Node.ID, s.Node.Zone, s.Node.Grace, s.Entry.Listen, s.Entry.PickPolicy, iniBool[s.Entry.Hedging],
		iniBool[s.Entry.Admission], s.Egress.Listen, iniBool[s.Egress.Limits], s.Control.Listen, s.Platform.KV, s.Platform.VMs)
}

// Signal sends a signal to the process of a VM.
func (e *Env) Signal(i int, sig syscall.Signal) error {
	return e.vms[i].cmd.Process.Signal(sig)
}

// KillVM kills the process of a VM and waits for its exit.
func (e *Env) KillVM(i int) {
	_ = e.vms[i].cmd.Process.Kill()
	_ = e.vms[i].cmd.Wait()
}

// SetTargets makes callers use all entry processes except that of the given VM,
// as the platform's load balancer does after it has detected a failed VM.
func (e *Env) SetTargets(without *int) {
	var out []string
	for i, vm := range e.vms {
		if without == nil || i != *without {
			out = append(out, vm.settings.Entry.Listen)
		}
	}
	e.Runner.SetTargets(out)
}

// readyTimeout limits the time that all VMs together may take to become ready.
const readyTimeout = 15 * time.Second

// awaitReady waits until every entry process answers every query route
// completely.
func (e *Env) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	var addrs []string
	for _, vm := range e.vms {
		addrs = append(addrs, vm.settings.Entry.Listen)
	}
	return load.AwaitComplete(ctx, e.Deployment.Routes, addrs)
}

// Close kills the VM processes, also paused ones, and closes the stand-ins.
func (e *Env) Close() {
	for _, vm := range e.vms {
		if vm.cmd == nil || vm.cmd.Process == nil {
			continue
		}
		_ = vm.cmd.Process.Signal(syscall.SIGCONT)
		_ = vm.cmd.Process.Kill()
		_ = vm.cmd.Wait()
	}
	e.Platform.Close()
	e.Fleet.Close()
}

// callerDial returns a dial function that adds the delay between callers and
// entry processes.
func callerDial(oneWay time.Duration) fasthttp.DialFunc {
	return func(addr string) (net.Conn, error) {
		c, err := fasthttp.DialTimeout(addr, time.Second)
		if err != nil {
			return nil, err
		}
		return netdelay.Wrap(c, oneWay), nil
	}
}

// RunVM runs a VM in the current process until ctx ends, then stops it within its
// grace period.
func RunVM(ctx context.Context, d *deployment.Deployment, s *settings.Settings, o VMOptions) error {
	dial := func(ctx context.Context, addr string) (net.Conn, error) {
		var nd net.Dialer
		c, err := nd.DialContext(ctx, "tcp", addr)
		if err != nil {
			return nil, err
		}
		return netdelay.Wrap(c, d.OneWayDelay(s.Node.Zone, addr)), nil
	}
	vm, err := local.StartVM(ctx, s, o.Log, dial)
	if err != nil {
		return err
	}
	<-ctx.Done()
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.Node.Grace)
	defer cancel()
	return vm.Stop(stop)
}

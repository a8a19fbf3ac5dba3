package local

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/sapphirewall/sapphirewall/internal/deployment"
	"github.com/sapphirewall/sapphirewall/internal/platform"
	"github.com/sapphirewall/sapphirewall/internal/settings"
	standinplatform "github.com/sapphirewall/sapphirewall/internal/standin/platform"
	standin "github.com/sapphirewall/sapphirewall/internal/standin/upstream"
	"github.com/sapphirewall/sapphirewall/internal/tables"
	"github.com/sapphirewall/sapphirewall/internal/tablestore"
)

// ErrNotReady is returned by AwaitReady when a VM is still not ready at the end of
// its context.
var ErrNotReady = errors.New("local: VMs not ready at the end of the wait")

// readyPoll is the interval at which AwaitReady checks the VMs.
const readyPoll = 10 * time.Millisecond

// InitialSnapshot is the number of the snapshot that the upstreams hold at the
// start.
const InitialSnapshot = 1

// Options configures a cluster.
type Options struct {
	Zones     []string // zone of each VM; a zone may occur more than once
	Tables    []byte
	Upstreams standin.Options
	Base      *settings.Settings // copied for each VM; nil: the default settings
	Log       zerolog.Logger
	Addresses *deployment.AddressAllocator // nil: a new allocator
}

// Cluster is a set of running VMs with their stand-ins.
type Cluster struct {
	Platform *standinplatform.Server
	Fleet    *standin.Fleet
	VMs      []*VM
	Tables   *tables.Tables

	head  tablestore.Head
	kv    platform.KV
	opts  Options
	addrs *deployment.AddressAllocator
}

// Start starts the stand-ins, commits the tables and starts the VMs. It does not
// wait until the VMs are ready.
func Start(ctx context.Context, o Options) (*Cluster, error) {
	t, err := tables.Parse(tables.Source{Name: "tables", Text: o.Tables})
	if err != nil {
		return nil, err
	}
	c := &Cluster{
		Platform: standinplatform.New(), Fleet: standin.FromTables(t, o.Upstreams),
		Tables: t, opts: o, addrs: o.Addresses,
	}
	if c.addrs == nil {
		c.addrs = deployment.NewAddressAllocator()
	}
	if err := c.start(ctx); err != nil {
		c.Stop(ctx)
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context) error {
	c.Fleet.Publish(InitialSnapshot, nil)
	if err := c.Fleet.Start(true); err != nil {
		return err
	}
	kv, err := c.servePlatform()
	if err != nil {
		return err
	}
	vms, err := c.settings(kv)
	if err != nil {
		return err
	}
	c.Platform.SetVMs(VMList(vms, c.Tables))
	c.kv = c.Platform.Store
	if err := c.Commit(ctx, c.opts.Tables); err != nil {
		return err
	}
	for _, s := range vms {
		vm, err := StartVM(ctx, s, c.opts.Log, nil)
		if err != nil {
			return err
		}
		c.VMs = append(c.VMs, vm)
	}
	return nil
}

// servePlatform starts the server of the platform stand-in and returns its
// address.
func (c *Cluster) servePlatform() (string, error) {
	addr, err := c.addrs.Next()
	if err != nil {
		return "", err
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return "", eris.Wrap(err, "listen for the platform stand-in")
	}
	go func() { _ = c.Platform.Serve(ln) }()
	return addr, nil
}

// settings returns the settings of each VM.
func (c *Cluster) settings(platformAddr string) ([]*settings.Settings, error) {
	base := c.opts.Base
	if base == nil {
		base = settings.Default()
	}
	var out []*settings.Settings
	for i, zone := range c.opts.Zones {
		s := *base
		s.Node.ID = fmt.Sprintf("vm-%d", i+1)
		s.Node.Zone = zone
		s.Platform.KV, s.Platform.VMs = platformAddr, platformAddr
		for _, a := range []*string{&s.Entry.Listen, &s.Egress.Listen, &s.Control.Listen} {
			addr, err := c.addrs.Next()
			if err != nil {
				return nil, err
			}
			*a = addr
		}
		out = append(out, &s)
	}
	return out, nil
}

// VMList returns the platform's list of VMs: those of this system and those of
// the upstreams.
func VMList(vms []*settings.Settings, t *tables.Tables) []platform.VM {
	var out []platform.VM
	for _, s := range vms {
		out = append(out, platform.VM{
			ID: s.Node.ID, Zone: s.Node.Zone, Kind: platform.KindSystem,
			State: platform.VMLive, Control: s.Control.Listen,
		})
	}
	for _, p := range t.Pools {
		for _, u := range p.Upstreams {
			out = append(out, platform.VM{ID: u.ID, Zone: u.Zone, Kind: platform.KindUpstream, State: platform.VMLive})
		}
	}
	return out
}

// Commit commits new tables to the platform's key-value service, as swctl does.
func (c *Cluster) Commit(ctx context.Context, text []byte) error {
	prefix := settings.Default().Platform.Prefix
	if c.opts.Base != nil {
		prefix = c.opts.Base.Platform.Prefix
	}
	edit := fmt.Sprintf("edit-%d", c.head.Revision+1)
	head, err := tablestore.Commit(ctx, c.kv, prefix, c.head.Revision, text, edit)
	if err != nil {
		return err
	}
	c.head = head
	return nil
}

// Revision returns the revision that was committed last.
func (c *Cluster) Revision() uint64 { return c.head.Revision }

// AwaitReady waits until every VM is ready.
func (c *Cluster) AwaitReady(ctx context.Context) error {
	for {
		err := c.ready()
		if err == nil {
			return nil
		}
		select {
		case <-time.After(readyPoll):
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ErrNotReady, err)
		}
	}
}

func (c *Cluster) ready() error {
	for _, vm := range c.VMs {
		if err := vm.Ready(); err != nil {
			return fmt.Errorf("%s: %w", vm.Settings.Node.ID, err)
		}
	}
	return nil
}

// EntryAddrs returns the addresses at which the VMs accept callers.
func (c *Cluster) EntryAddrs() []string {
	var out []string
	for _, vm := range c.VMs {
		out = append(out, vm.Settings.Entry.Listen)
	}
	return out
}

// Stop stops the VMs within ctx, then closes the stand-ins.
func (c *Cluster) Stop(ctx context.Context) {
	for _, vm := range c.VMs {
		if err := vm.Stop(ctx); err != nil {
			c.opts.Log.Warn().Err(err).Msg("stopping VM failed")
		}
	}
	c.Platform.Close()
	c.Fleet.Close()
}

package control_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/sapphirewall/sapphirewall/internal/control"
	"github.com/sapphirewall/sapphirewall/internal/fleetstate"
	"github.com/sapphirewall/sapphirewall/internal/kernel"
	"github.com/sapphirewall/sapphirewall/internal/platform"
	"github.com/sapphirewall/sapphirewall/internal/platform/platformsvc"
	standin "github.com/sapphirewall/sapphirewall/internal/standin/platform"
	"github.com/sapphirewall/sapphirewall/internal/tablestore"
)

func TestControl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "control")
}

// waitTimeout is far longer than the specs normally wait.
const waitTimeout = "10s"

// tableText returns tables whose deadline distinguishes the edits.
func tableText(ms int) []byte {
	return fmt.Appendf(nil, "[route r]\npools = p\ndeadline = %dms\n[pool p]\nshards = 1\nslots = 1\nconnections = 1\n"+
		"upstream.u1 = 127.0.0.1:9001 zone=a shard=0 version=v1\nupstream.u2 = 127.0.0.1:9002 zone=a shard=0 version=v2\n"+
		"version = v2\nversion-from = v1\nversion-start = 2026-01-01T00:00:00Z\nversion-by = 2026-01-02T00:00:00Z\n", ms)
}

// platformService provides the stand-in's store to a control process.
type platformService struct {
	store *atomic.Pointer[standin.Store]
	lists *standin.Store // the list of VMs is a separate service
}

func (p platformService) Name() string                                { return platformsvc.Name }
func (p platformService) Needs() []string                             { return nil }
func (p platformService) Start(context.Context, *kernel.Kernel) error { return nil }
func (p platformService) Stop(context.Context) error                  { return nil }
func (p platformService) Ready() error                                { return nil }
func (p platformService) KV() platform.KV                             { return p.store.Load() }
func (p platformService) VMs() platform.VMList                        { return p.lists }

// node is one control process.
type node struct {
	*control.Service
	kernel  *kernel.Kernel
	name    string
	zone    string
	stopped bool
}

// stop stops the node gracefully. The timeout is well below the wait of the long
// polls that the node serves.
func (n *node) stop() {
	if !n.stopped {
		n.stopped = true
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		Expect(n.kernel.Stop(ctx)).To(Succeed())
	}
}

// fleet is a group of control processes with one store.
type fleet struct {
	store    *standin.Store
	lists    *standin.Store
	platform atomic.Pointer[standin.Store] // the store that the nodes use
	nodes    []*node
}

func (f *fleet) start(name, zone string) *node {
	k := kernel.New(zerolog.Nop())
	s := control.New(control.Config{
		Fleet: "f", Node: name, Zone: zone, Listen: "127.0.0.1:0", EgressAddr: "127.0.0.1:1", EntryAddr: "127.0.0.1:2",
		Interval: 50 * time.Millisecond, Relays: 1, Prefix: "t/", Log: zerolog.Nop(),
	})
	Expect(k.Register(platformService{&f.platform, f.lists})).To(Succeed())
	Expect(k.Register(s)).To(Succeed())
	Expect(k.Start(context.Background())).To(Succeed())
	return &node{Service: s, kernel: k, name: name, zone: zone}
}

// startFleet starts n nodes in three availability zones and lists them.
func startFleet(n int) *fleet {
	f := &fleet{store: standin.NewStore(time.Now), lists: standin.NewStore(time.Now)}
	f.platform.Store(f.store)
	for i := range n {
		f.nodes = append(f.nodes, f.start(fmt.Sprintf("vm-%d", i), string(rune('a'+i%3))))
	}
	f.list()
	DeferCleanup(func() {
		for _, n := range f.nodes {
			n.stop()
		}
	})
	return f
}

// list sets the platform's list of VMs to the running nodes and one upstream.
func (f *fleet) list() {
	var vms []platform.VM
	for _, n := range f.nodes {
		if !n.stopped {
			vms = append(vms, platform.VM{ID: n.name, Zone: n.zone, Kind: platform.KindSystem, State: platform.VMLive, Control: n.Addr()})
		}
	}
	vms = append(vms, platform.VM{ID: "u1", Zone: "a", Kind: platform.KindUpstream, State: platform.VMLive})
	f.lists.SetVMs(vms)
}

// commit commits tableText(ms) to a store and returns its revision.
func commit(store *standin.Store, ms int) uint64 {
	head, _, err := tablestore.Load(context.Background(), store, "t/")
	Expect(err).NotTo(HaveOccurred())
	next, err := tablestore.Commit(context.Background(), store, "t/", head.Revision, tableText(ms), fmt.Sprintf("edit-%d", ms))
	Expect(err).NotTo(HaveOccurred())
	return next.Revision
}

// revisions returns the revisions in force on the running nodes.
func (f *fleet) revisions() []uint64 {
	var out []uint64
	for _, n := range f.nodes {
		if n.stopped {
			continue
		}
		r := uint64(0)
		if t := n.Current().Tables; t != nil {
			r = t.Revision
		}
		out = append(out, r)
	}
	return out
}

// memberStates returns the state that n assumes of each node.
func memberStates(n *node) map[string]fleetstate.MemberState {
	out := map[string]fleetstate.MemberState{}
	for _, m := range n.Members() {
		out[m.Node] = m.State
	}
	return out
}

package bench

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/sapphirewall/sapphirewall/internal/control"
	"github.com/sapphirewall/sapphirewall/internal/kernel"
	"github.com/sapphirewall/sapphirewall/internal/launch"
	"github.com/sapphirewall/sapphirewall/internal/platform"
	"github.com/sapphirewall/sapphirewall/internal/platform/platformsvc"
	"github.com/sapphirewall/sapphirewall/internal/settings"
	standinplatform "github.com/sapphirewall/sapphirewall/internal/standin/platform"
	"github.com/sapphirewall/sapphirewall/internal/tablestore"
	"github.com/sapphirewall/sapphirewall/internal/telemetry"
)

// Timing of a fleet benchmark: idle time before the measurement, length of the
// measurement, and limit for a commit.
const (
	settleTime     = 5 * time.Second
	measureTime    = 10 * time.Second
	inForceTimeout = 60 * time.Second
)

// fleetZones is the number of availability zones over which the nodes are spread.
const fleetZones = 13

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// fleet is a number of control processes that run inside this process.
type fleet struct {
	platform *standinplatform.Server
	nodes    []*control.Service
	kernels  []*kernel.Kernel
	bytes    atomic.Int64
	head     tablestore.Head
}

func startFleet(b *testing.B, n int) *fleet {
	f := &fleet{platform: standinplatform.New()}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = f.platform.Serve(ln) }()
	var list []platform.VM
	var all []*settings.Settings
	for i := range n {
		s := settings.Default()
		s.Node.ID = fmt.Sprintf("vm-%d", i)
		s.Node.Zone = fmt.Sprintf("zone-%d", i%fleetZones)
		s.Control.Listen = fmt.Sprintf("127.50.%d.%d:7020", i/250, i%250+1)
		s.Platform.KV, s.Platform.VMs = ln.Addr().String(), ln.Addr().String()
		all = append(all, s)
		list = append(list, platform.VM{ID: s.Node.ID, Zone: s.Node.Zone, Kind: platform.KindSystem, State: platform.VMLive, Control: s.Control.Listen})
	}
	f.platform.SetVMs(list)
	for _, s := range all {
		f.startNode(b, s)
	}
	return f
}

func (f *fleet) startNode(b *testing.B, s *settings.Settings) {
	dial := func(ctx context.Context, addr string) (net.Conn, error) {
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", addr)
		if err != nil {
			return nil, err
		}
		return countingConn{c, &f.bytes}, nil
	}
	env := &launch.Env{Settings: s, Log: zerolog.Nop(), Tracer: telemetry.NoopTracer(), Kernel: kernel.New(zerolog.Nop()), Dial: dial}
	if err := platformsvc.Register(env); err != nil {
		b.Fatal(err)
	}
	if err := control.Register(env); err != nil {
		b.Fatal(err)
	}
	if err := env.Kernel.Start(context.Background()); err != nil {
		b.Fatal(err)
	}
	node, err := kernel.Lookup[*control.Service](env.Kernel, control.Name)
	if err != nil {
		b.Fatal(err)
	}
	f.nodes = append(f.nodes, node)
	f.kernels = append(f.kernels, env.Kernel)
}

// commit commits tables and returns the time until they are in force at every node.
func (f *fleet) commit(b *testing.B, text []byte) time.Duration {
	begin := time.Now()
	head, err := tablestore.Commit(context.Background(), f.platform.Store, settings.Default().Platform.Prefix, f.head.Revision, text, fmt.Sprintf("e%d", f.head.Revision+1))
	if err != nil {
		b.Fatal(err)
	}
	f.head = head
	for time.Since(begin) < inForceTimeout {
		if f.inForce(head.Revision) {
			return time.Since(begin)
		}
		time.Sleep(time.Millisecond)
	}
	b.Fatalf("revision %d is not in force at every node after %v", head.Revision, inForceTimeout)
	return 0
}

func (f *fleet) inForce(revision uint64) bool {
	for _, n := range f.nodes {
		if t := n.Current().Tables; t == nil || t.Revision < revision {
			return false
		}
	}
	return true
}

func (f *fleet) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	for _, k := range f.kernels {
		_ = k.Stop(ctx)
	}
	f.platform.Close()
}

// kindWatchWakeup is the kind under which the stand-in platform counts its own checks
// for changes while a watch waits. They are not calls.
const kindWatchWakeup = "watch-wakeup"

// calls returns the number of calls to the platform. A waiting watch is one call.
func (f *fleet) calls() (total uint64) {
	for kind, n := range f.platform.Calls() {
		if kind != kindWatchWakeup {
			total += n
		}
	}
	return total
}

// BenchmarkControl measures idle control processes, and then a change of the tables.
// Each connection is counted only at the end that dialled it, so the bytes that a
// node sends and receives are twice the count divided by the number of nodes.
func BenchmarkControl(b *testing.B) {
	for _, n := range []int{13, 39, 117, 351} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) { benchControl(b, n) })
	}
}

func benchControl(b *testing.B, n int) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	f := startFleet(b, n)
	defer f.stop()
	f.commit(b, tablesText(300, 10))
	time.Sleep(settleTime)
	for b.Loop() {
		bytes, cpu, calls, begin := f.bytes.Load(), cpuTime(), f.calls(), time.Now()
		time.Sleep(measureTime)
		elapsed := time.Since(begin).Seconds()
		perNode := func(v float64) float64 { return v / elapsed / float64(n) }
		b.ReportMetric(perNode(2*float64(f.bytes.Load()-bytes)), "B/s/node")
		b.ReportMetric(perNode((cpuTime()-cpu).Seconds())*100, "core%/node")
		b.ReportMetric(float64(f.calls()-calls)/elapsed, "platform-calls/s")
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "heap-B/node")
	bytes := f.bytes.Load()
	text := tablesText(301, 10)
	b.ReportMetric(float64(f.commit(b, text).Milliseconds()), "change-ms")
	b.ReportMetric(2*float64(f.bytes.Load()-bytes)/float64(n)/float64(len(text)), "change-texts/node")
}

package control_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sapphirewall/sapphirewall/internal/decide/membership"
	"github.com/sapphirewall/sapphirewall/internal/fleetstate"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// Parameters of the virtual fleet of BenchmarkFleetMembers.
const (
	modelInterval = 500 * time.Millisecond
	modelTimeout  = 500 * time.Millisecond
	modelSettle   = 20          // ticks before the failure
	modelMaxTicks = 60          // ticks after it, at most
	frameOverhead = 4 + 12 + 40 // bytes: length, yamux header, IP and TCP headers
)

// virtualFleet runs the membership machines of a whole fleet on virtual time and
// counts the bytes of their messages.
type virtualFleet struct {
	now      time.Time
	machines map[string]*membership.Machine
	order    []string
	failed   map[string]bool
	delayed  map[int][]func()
	tick     int
	bytes    int
}

func newVirtualFleet(n, zones int) *virtualFleet {
	f := &virtualFleet{now: time.Unix(1_700_000_000, 0), machines: map[string]*membership.Machine{}, failed: map[string]bool{}, delayed: map[int][]func(){}}
	var list []membership.ListedNode
	var all []membership.Member
	for i := range n {
		m := membership.Member{
			Node: fmt.Sprintf("vm-%04d", i), Zone: fmt.Sprintf("zone-%d", i%zones), State: membership.Alive, Incarnation: uint64(f.now.UnixMilli()),
			ControlAddr: "10.100.100.100:7020", EgressAddr: "10.100.100.100:7010", EntryAddr: "10.100.100.100:7000",
		}
		list = append(list, membership.ListedNode{Node: m.Node, Zone: m.Zone, ControlAddr: m.ControlAddr})
		all = append(all, m)
		f.order = append(f.order, m.Node)
	}
	for i, m := range all {
		machine := membership.New(membership.DefaultConfig(modelInterval), m, rand.New(rand.NewPCG(uint64(i), 3)))
		machine.OnList(f.now, list)
		f.machines[m.Node] = machine
	}
	for _, m := range f.machines { // every node has received a heartbeat of every other
		for _, other := range all {
			m.OnHeartbeat(f.now, other, nil)
		}
		for range 1100 { // until the updates from the startup are sent
			m.Digest("")
		}
	}
	return f
}

// messageSize returns the bytes on the network of a heartbeat.
func (f *virtualFleet) messageSize(from membership.Member, digest []membership.Member) int {
	h := &swpb.Heartbeat{From: fleetstate.MemberToProto(toFleetMember(from)), Revision: from.Revision}
	for _, d := range digest {
		h.Digest = append(h.Digest, fleetstate.MemberToProto(toFleetMember(d)))
	}
	return frameOverhead + proto.Size(h)
}

func toFleetMember(m membership.Member) fleetstate.Member {
	return fleetstate.Member{
		Node: m.Node, Zone: m.Zone, State: fleetstate.MemberState(m.State), Incarnation: m.Incarnation,
		ControlAddr: m.ControlAddr, EgressAddr: m.EgressAddr, EntryAddr: m.EntryAddr, Revision: m.Revision,
	}
}

// send delivers a heartbeat and counts its bytes at both ends.
func (f *virtualFleet) send(from, to string) {
	a, b := f.machines[from], f.machines[to]
	digest := a.Digest(to)
	f.bytes += 2 * f.messageSize(a.Self(), digest)
	b.OnHeartbeat(f.now, a.Self(), digest)
}

// step runs one tick of all nodes.
func (f *virtualFleet) step() {
	for _, do := range f.delayed[f.tick] {
		do()
	}
	delete(f.delayed, f.tick)
	for _, name := range f.order {
		if f.failed[name] {
			continue
		}
		for _, t := range f.machines[name].Tick(f.now) {
			f.exchange(name, t.Node)
		}
	}
	f.tick++
	f.now = f.now.Add(modelInterval)
}

// exchange sends a heartbeat from a to b and the reply. If b has failed, a's
// heartbeat and the probes of its helpers fail modelTimeout later.
func (f *virtualFleet) exchange(a, b string) {
	if !f.failed[b] {
		f.send(a, b)
		f.send(b, a)
		return
	}
	f.delayed[f.tick+int(modelTimeout/modelInterval)] = append(f.delayed[f.tick+int(modelTimeout/modelInterval)], func() {
		for range f.machines[a].OnHeartbeatFailure(f.now, b, false) {
			f.machines[a].OnProbeResult(f.now, b, false)
		}
	})
}

// numReportingGone returns the number of running nodes that report node as gone.
func (f *virtualFleet) numReportingGone(node string) int {
	n := 0
	for _, name := range f.order {
		if f.failed[name] {
			continue
		}
		for _, m := range f.machines[name].Members() {
			if m.Node == node && m.State == membership.Gone {
				n++
			}
		}
	}
	return n
}

// BenchmarkFleetMembers fails one VM without notice. It reports the bytes that a node
// sends and receives, and the time until half of the nodes and all of them report
// the VM as gone.
func BenchmarkFleetMembers(b *testing.B) {
	for _, size := range []struct{ nodes, zones int }{{9, 3}, {234, 13}, {1200, 13}} {
		b.Run(fmt.Sprint(size.nodes), func(b *testing.B) {
			f := newVirtualFleet(size.nodes, size.zones)
			for range modelSettle {
				f.step()
			}
			f.bytes = 0
			for range modelSettle {
				f.step()
			}
			idle := float64(f.bytes) / float64(size.nodes) / (modelSettle * modelInterval.Seconds())
			failedNode := f.order[size.nodes/2]
			f.failed[failedNode] = true
			f.bytes = 0
			halfAt, allAt := time.Duration(0), time.Duration(0)
			for i := 1; i <= modelMaxTicks && allAt == 0; i++ {
				f.step()
				n, at := f.numReportingGone(failedNode), time.Duration(i)*modelInterval
				if halfAt == 0 && n >= size.nodes/2 {
					halfAt = at
				}
				if n == size.nodes-1 {
					allAt = at
				}
			}
			b.ReportMetric(idle, "idle-B/s/node")
			b.ReportMetric(float64(f.bytes)/float64(size.nodes)/max(allAt.Seconds(), 1), "loss-B/s/node")
			b.ReportMetric(halfAt.Seconds(), "s-half-know")
			b.ReportMetric(allAt.Seconds(), "s-all-know")
		})
	}
}

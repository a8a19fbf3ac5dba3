package membership_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/decide/membership"
)

func TestMembership(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "membership")
}

var begin = time.Unix(1_700_000_000, 0)

const interval = 500 * time.Millisecond

// machine returns the machine of vm-0 in zone a. The fleet has n VMs in zones a, b
// and c, and vm-0 has received a heartbeat from each at begin.
func machine(n int) *membership.Machine {
	m := membership.New(membership.DefaultConfig(interval), member(0), rand.New(rand.NewPCG(1, 2)))
	var list []membership.ListedNode
	for i := range n {
		list = append(list, membership.ListedNode{Node: member(i).Node, Zone: member(i).Zone, ControlAddr: member(i).ControlAddr})
	}
	m.OnList(begin, list)
	for i := 1; i < n; i++ {
		m.OnHeartbeat(begin, member(i), nil)
	}
	m.Tick(begin)
	return m
}

func member(i int) membership.Member {
	name := fmt.Sprint("vm-", i)
	return membership.Member{Node: name, Zone: string(rune('a' + i%3)), State: membership.Alive, Incarnation: 10, ControlAddr: name}
}

func state(m *membership.Machine, node string) membership.State {
	for _, o := range m.Members() {
		if o.Node == node {
			return o.State
		}
	}
	return membership.Unknown
}

// fail makes every heartbeat and probe to nodes fail between from and to, while
// the members in reachable send heartbeats.
func fail(m *membership.Machine, from, to time.Duration, refused bool, reachable []int, nodes ...int) {
	for at := from; at <= to; at += interval {
		now := begin.Add(at)
		for _, i := range reachable {
			m.OnHeartbeat(now, member(i), nil)
		}
		for _, i := range nodes {
			for range m.OnHeartbeatFailure(now, member(i).Node, refused) {
				m.OnProbeResult(now, member(i).Node, false)
			}
		}
		m.Tick(now)
	}
}

var _ = Describe("Machine", func() {
	DescribeTable("declares a member gone only on sufficient evidence", func(refused bool, reachable, lost []int, want membership.State) {
		m := machine(9)
		fail(m, interval, 6*time.Second, refused, reachable, lost...)
		Expect(state(m, member(lost[len(lost)-1]).Node)).To(Equal(want))
	},
		Entry("one VM of a zone with other reachable members", false, []int{1, 2, 3}, []int{4}, membership.Gone),
		Entry("all VMs of a zone", false, []int{2, 3}, []int{1, 4, 7}, membership.Suspect),
		Entry("the second failed VM of a zone of three", false, []int{1, 2, 3}, []int{4, 7}, membership.Suspect),
		Entry("the second failed VM, whose host refuses connections", true, []int{1, 2, 3}, []int{4, 7}, membership.Gone),
		Entry("all members, since this node is partitioned", false, nil, []int{1, 2, 3, 4, 5, 6, 7, 8}, membership.Suspect),
	)

	It("keeps a member alive that a helper reaches", func() {
		m := machine(9)
		for at := interval; at < 10*time.Second; at += interval {
			helpers := m.OnHeartbeatFailure(begin.Add(at), "vm-4", false)
			Expect(len(helpers)).To(BeNumerically("<=", 3))
			for i := range helpers {
				m.OnProbeResult(begin.Add(at), "vm-4", i == 0)
			}
			m.Tick(begin.Add(at))
			Expect(state(m, "vm-4")).To(Equal(membership.Alive))
		}
	})

	It("does not declare members gone after it was paused itself", func() {
		m := machine(9)
		fail(m, interval, 2*time.Second, false, []int{1, 7}, 4)
		Expect(state(m, "vm-4")).To(Equal(membership.Suspect))
		m.Tick(begin.Add(time.Minute))
		Expect(state(m, "vm-4")).To(Equal(membership.Suspect))
	})

	It("refutes a false state with a higher incarnation, and accepts such a refutation", func() {
		m := machine(3)
		m.OnHeartbeat(begin, member(1), []membership.Member{{Node: "vm-0", State: membership.Gone, Incarnation: 10}})
		Expect(m.Self().Incarnation).To(BeEquivalentTo(11))
		m.OnHeartbeat(begin.Add(time.Minute), member(1), []membership.Member{{Node: "vm-2", State: membership.Gone, Incarnation: 10}})
		Expect(state(m, "vm-2")).To(Equal(membership.Gone))
		Expect(m.Digest("vm-2")[0].State).To(Equal(membership.Gone), "the digest includes the recipient's recorded state, so that it can refute")
		refuted := member(2)
		refuted.Incarnation = 11
		m.OnHeartbeat(begin.Add(time.Minute), refuted, nil)
		Expect(state(m, "vm-2")).To(Equal(membership.Alive))
	})

	It("limits the number of members, whatever peers report", func() {
		m := machine(3)
		for i := range membership.MaxMembers + 10 {
			m.OnHeartbeat(begin, member(1), []membership.Member{member(i)})
		}
		Expect(m.NumOthers()).To(Equal(membership.MaxMembers))
	})

	It("makes a process whose clock is behind its predecessor's raise its incarnation", func() {
		m := machine(2400)
		old := member(1)
		old.Incarnation = 3
		m.OnHeartbeat(begin, old, nil)
		Expect(m.Digest("vm-1")[0]).To(Equal(membership.Member{Node: "vm-1", State: membership.Alive, Incarnation: 10}))
		successor := membership.New(membership.DefaultConfig(interval), old, rand.New(rand.NewPCG(1, 2)))
		successor.OnHeartbeat(begin, member(0), m.Digest("vm-1"))
		Expect(successor.Self().Incarnation).To(BeEquivalentTo(11))
	})

	It("applies the addresses of an incarnation that was first received without them", func() {
		m := machine(3)
		m.OnHeartbeat(begin, member(1), []membership.Member{{Node: "vm-2", State: membership.Alive, Incarnation: 11}})
		full := member(2)
		full.Incarnation, full.EgressAddr = 11, "new"
		m.OnHeartbeat(begin, full, nil)
		Expect(m.Members()[2].EgressAddr).To(Equal("new"))
	})

	It("ignores an empty list, and removes an unlisted member only on further evidence", func() {
		m := machine(3)
		m.OnList(begin, nil)
		m.OnList(begin, []membership.ListedNode{{Node: "vm-0", Zone: "a", ControlAddr: "vm-0"}})
		m.Tick(begin.Add(time.Minute))
		Expect(state(m, "vm-1")).To(Equal(membership.Alive))
		fail(m, time.Minute, time.Minute+3*time.Second, false, []int{2}, 1)
		Expect(state(m, "vm-1")).To(Equal(membership.Gone), "missing from the list for longer than it may lag")
	})

	It("limits messages, peers and heartbeats in a large fleet", func() {
		m := machine(2400)
		for i := 1; i < 200; i++ {
			m.OnHeartbeat(begin.Add(time.Minute), member(1), []membership.Member{{Node: member(i).Node, State: membership.Leaving, Incarnation: 10}})
		}
		Expect(len(m.Digest("vm-1"))).To(BeNumerically("<=", 10))
		Expect(len(m.Peers())).To(Equal(6))
		Expect(len(m.Tick(begin.Add(time.Minute)))).To(BeNumerically("<=", 4))
	})
})

func BenchmarkTick(b *testing.B) {
	for _, n := range []int{9, 225, 2400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := machine(n)
			for i := range b.N {
				now := begin.Add(time.Duration(i) * interval)
				m.Tick(now)
				m.OnHeartbeat(now, member(1), m.Digest("vm-1"))
			}
		})
	}
}

func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{225, 2400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			kept := make([]*membership.Machine, b.N)
			for i := range kept {
				kept[i] = machine(n)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(b.N)/float64(n), "B/member")
			runtime.KeepAlive(kept)
		})
	}
}

package storerelay_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/peer"
	"github.com/sapphirewall/sapphirewall/internal/vmregistry"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// newLateVM starts one more VM, which reaches other VMs only through its seeds.
// The channel receives the VMs that peers report to it.
func newLateVM(st *store, name, zone string, seeds []string) (*vm, <-chan []vmregistry.Node) {
	reported := make(chan []vmregistry.Node, 10)
	v := newVM(st, name, zone, func(v *vm) {
		v.service.SetSeeds(seeds)
		v.service.OnNodesReported(func(nodes []vmregistry.Node, _ bool) {
			reported <- nodes
			v.service.SetNodes(nodes)
		})
	})
	v.watch(nil)
	return v, reported
}

func addresses(vms []*vm) (out []string) {
	for _, v := range vms {
		out = append(out, v.Addr)
	}
	return out
}

var _ = Describe("a VM for which the store is unavailable", func() {
	for _, kind := range []string{"are refused", "get no answer"} {
		It("observes changes through a peer that has it, when its calls "+kind, func() {
			st := newStore()
			vms := newZone(st, 3)
			expectAll(vms, "1", 5*time.Second)
			setUnavailable := func(name string, unavailable bool) {
				if kind == "are refused" {
					st.setDisconnected(name, unavailable)
					return
				}
				st.mu.Lock()
				defer st.mu.Unlock()
				st.stalled[name] = unavailable
			}
			setUnavailable("vm-0", true)
			for _, value := range []string{"2", "3", "4"} {
				st.set(value)
				expectAll(vms, value, 3*time.Second) // changes are due in three seconds
			}
			setUnavailable("vm-0", false)
			for _, other := range []string{"vm-1", "vm-2"} { // vm-0 must read the store itself again
				setUnavailable(other, true)
			}
			st.set("5")
			expectAll(vms, "5", 4*time.Second)
		})
	}

	It("keeps its state while the store is unavailable to all", func() {
		st := newStore()
		vms := newZone(st, 3)
		expectAll(vms, "1", 5*time.Second)
		for _, v := range vms {
			st.setDisconnected(v.Name, true)
		}
		time.Sleep(time.Second)
		expectAll(vms, "1", time.Second)
		for _, v := range vms {
			st.setDisconnected(v.Name, false)
		}
		st.set("2")
		expectAll(vms, "2", 3*time.Second)
	})
})

var _ = Describe("a VM that starts while the store is unavailable to it", func() {
	It("gets the current state and the VMs that serve from a seed that has the store", func() {
		st := newStore()
		vms := newZone(st, 3)
		expectAll(vms, "1", 5*time.Second)
		st.setDisconnected("vm-9", true)
		v, reported := newLateVM(st, "vm-9", "a", addresses(vms))
		expectAll([]*vm{v}, "1", 2*time.Second)
		Eventually(func() (names []string) {
			for _, n := range <-reported {
				names = append(names, n.Name)
			}
			return names
		}, "2s").Should(ContainElements("vm-0", "vm-1", "vm-2"))
		st.set("2")
		expectAll([]*vm{v}, "2", 3*time.Second)
	})

	It("gets the last known state of its peers when none has the store, and is up to date after its recovery", func() {
		st := newStore()
		vms := newZone(st, 3)
		expectAll(vms, "1", 5*time.Second)
		for _, name := range []string{"vm-0", "vm-1", "vm-2", "vm-9"} {
			st.setDisconnected(name, true)
		}
		time.Sleep(500 * time.Millisecond)
		v, _ := newLateVM(st, "vm-9", "a", append(addresses(vms), "127.0.0.1:1"))
		expectAll([]*vm{v}, "1", 2*time.Second)
		st.set("2")
		Consistently(v.get, "500ms").Should(Equal("1"))
		st.setDisconnected("vm-9", false)
		expectAll([]*vm{v}, "2", 3*time.Second)
	})
})

// VMs that read through each other must not answer for a store that none of them
// has. When the store stopped answering all VMs, a VM that had just fallen back
// on the store answered others as if it had it (deploy/days/outage-then-kill-all on
// ishikari, seed 1017067852339: CONFIG).
var _ = Describe("VMs in an outage of the store for all", func() {
	It("never answer each other as if they had the store", func() {
		st := newStore()
		vms := newZone(st, 3)
		expectAll(vms, "1", 5*time.Second)
		pool := peer.NewPool(peer.Options{Self: peer.Identity{Fleet: "fleet", Node: "asker", Zone: "a", Role: peer.RoleControl, Incarnation: 1}, Streams: 1})
		DeferCleanup(pool.Close)
		for _, v := range vms { // a stalled VM starts to read through the next before that one stalls too
			st.mu.Lock()
			st.stalled[v.Name] = true
			st.mu.Unlock()
			time.Sleep(2 * time.Second)
		}
		for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			for _, v := range vms {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				reply, err := pool.Get(v.Addr).Call(ctx, &swpb.Envelope{Body: &swpb.Envelope_StoreRequest{StoreRequest: &swpb.StoreRequest{Snapshot: true}}})
				cancel()
				Expect(err).NotTo(HaveOccurred())
				Expect(reply.GetStoreReply().GetStatus()).To(Equal(swpb.StoreStatus_STORE_STATUS_NO_RELAY), v.Name)
			}
		}
		st.setStalled(false)
		st.set("2")
		expectAll(vms, "2", 3*time.Second)
	})
})

// Every call to the store has a cost, and during an outage no call succeeds. VMs
// whose relays had no access to the store made most of 4,900 calls (grown scale-2
// of ishikari).
var _ = Describe("a zone of many VMs in an outage", func() {
	// perSecond runs the zone for a while and returns its calls per second.
	perSecond := func(st *store) float64 {
		const length = 4 * time.Second
		st.mu.Lock()
		before := st.calls
		st.mu.Unlock()
		time.Sleep(length)
		st.mu.Lock()
		defer st.mu.Unlock()
		return float64(st.calls-before) / length.Seconds()
	}

	It("makes five calls a second for each relay and one for each other VM at most", func() {
		st := newStore()
		vms := newZone(st, 8)
		expectAll(vms, "1", 5*time.Second)
		for _, v := range vms {
			st.setDisconnected(v.Name, true)
		}
		time.Sleep(time.Second)
		Expect(perSecond(st)).To(BeNumerically("<=", 2*5+6))
		for _, v := range vms {
			st.setDisconnected(v.Name, false)
		}
		st.set("2")
		expectAll(vms, "2", 3*time.Second)
	})

	It("makes no call for a VM whose relays have no access to the store while other zones have it", func() {
		st := newStore()
		vms := newZone(st, 8)
		expectAll(vms, "1", 5*time.Second)
		far, _ := newLateVM(st, "vm-far", "b", nil)
		var nodes []vmregistry.Node
		for _, v := range append(vms, far) {
			nodes = append(nodes, v.Node)
		}
		for _, v := range append(vms, far) {
			v.service.SetNodes(nodes)
		}
		expectAll([]*vm{far}, "1", 3*time.Second)
		for _, v := range vms {
			st.setDisconnected(v.Name, true)
		}
		time.Sleep(time.Second)
		Expect(perSecond(st)).To(BeNumerically("<=", 2*5+2+1), "calls of the two relays, of the VM in the other zone, and rarely of another VM")
		st.set("2")
		expectAll(vms, "2", 3*time.Second)
	})

	// Guards against VMs that each watch the store when it comes back, since they started in
	// the outage and have no list of the relays (all killed in an outage, trouble-3 of large).
	// They read the state themselves: relays would hand it to one VM after the other.
	It("watches through the relays when it started in the outage, once the store and the list of the VMs are there", func() {
		st := newStore()
		var vms []*vm
		var nodes []vmregistry.Node
		for i := range 12 {
			name := fmt.Sprintf("vm-%d", i)
			st.setDisconnected(name, true)
			v := newVM(st, name, "a", func(v *vm) {
				v.service.OnAvailable(func() { // the registry lists the VMs
					time.Sleep(50 * time.Millisecond)
					v.service.SetNodes(nodes)
				})
			})
			vms, nodes = append(vms, v), append(nodes, v.Node)
		}
		for _, v := range vms {
			v.watch(nil)
		}
		time.Sleep(time.Second)
		for _, v := range vms {
			st.setDisconnected(v.Name, false)
		}
		expectAll(vms, "1", time.Second)
		time.Sleep(time.Second)
		watchers := 2 // the relays
		Expect(st.readCalls()).To(BeNumerically("<=", len(vms)+watchers+2), "VMs whose first poll of a relay fails may call once")
	})
})

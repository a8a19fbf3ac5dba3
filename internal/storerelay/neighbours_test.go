package storerelay_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/peer"
	"github.com/sapphirewall/sapphirewall/internal/vmregistry"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// late starts one more VM that knows no other but by its seeds.
func late(st *store, name, zone string, seeds []string) (*vm, <-chan []vmregistry.Node) {
	learned := make(chan []vmregistry.Node, 10)
	v := newVM(st, name, zone, func(v *vm) {
		v.service.Seed(seeds)
		v.service.Learned(func(nodes []vmregistry.Node, _ bool) {
			learned <- nodes
			v.service.SetNodes(nodes)
		})
	})
	v.watch(nil)
	return v, learned
}

func addresses(vms []*vm) (out []string) {
	for _, v := range vms {
		out = append(out, v.Addr)
	}
	return out
}

var _ = Describe("a VM that has lost the store", func() {
	for _, kind := range []string{"is refused", "hears nothing"} {
		It("learns of changes from one that has it, when it "+kind, func() {
			st := newStore()
			vms := zone(st, 3)
			expectAll(vms, "1", 5*time.Second)
			lose := func(name string, lost bool) {
				if kind == "is refused" {
					st.disconnect(name, lost)
					return
				}
				st.mu.Lock()
				defer st.mu.Unlock()
				st.silent[name] = lost
			}
			lose("vm-0", true)
			for _, value := range []string{"2", "3", "4"} {
				st.set(value)
				expectAll(vms, value, 3*time.Second) // changes are due in three seconds
			}
			lose("vm-0", false)
			for _, other := range []string{"vm-1", "vm-2"} { // it reads the store itself again
				lose(other, true)
			}
			st.set("5")
			expectAll(vms, "5", 4*time.Second)
		})
	}

	It("keeps what it knows while all have lost it", func() {
		st := newStore()
		vms := zone(st, 3)
		expectAll(vms, "1", 5*time.Second)
		for _, v := range vms {
			st.disconnect(v.Name, true)
		}
		time.Sleep(time.Second)
		expectAll(vms, "1", time.Second)
		for _, v := range vms {
			st.disconnect(v.Name, false)
		}
		st.set("2")
		expectAll(vms, "2", 3*time.Second)
	})
})

var _ = Describe("a VM that starts without the store", func() {
	It("takes the present state from a seed that has it, and the VMs that serve", func() {
		st := newStore()
		vms := zone(st, 3)
		expectAll(vms, "1", 5*time.Second)
		st.disconnect("vm-9", true)
		v, learned := late(st, "vm-9", "a", addresses(vms))
		expectAll([]*vm{v}, "1", 2*time.Second)
		Eventually(func() (names []string) {
			for _, n := range <-learned {
				names = append(names, n.Name)
			}
			return names
		}, "2s").Should(ContainElements("vm-0", "vm-1", "vm-2"))
		st.set("2")
		expectAll([]*vm{v}, "2", 3*time.Second)
	})

	It("takes what others knew when they have lost it too, and is current after its return", func() {
		st := newStore()
		vms := zone(st, 3)
		expectAll(vms, "1", 5*time.Second)
		for _, name := range []string{"vm-0", "vm-1", "vm-2", "vm-9"} {
			st.disconnect(name, true)
		}
		time.Sleep(500 * time.Millisecond)
		v, _ := late(st, "vm-9", "a", append(addresses(vms), "127.0.0.1:1"))
		expectAll([]*vm{v}, "1", 2*time.Second)
		st.set("2")
		Consistently(v.get, "500ms").Should(Equal("1"))
		st.disconnect("vm-9", false)
		expectAll([]*vm{v}, "2", 3*time.Second)
	})
})

// VMs that read through each other must not tell of a store that none of them has:
// in a silence for all, one that had just fallen back on the store answered as
// if it had it (deploy/days/outage-then-kill-all on ishikari, seed
// 1017067852339: CONFIG).
var _ = Describe("VMs in an outage for all", func() {
	It("never tell each other that they have the store", func() {
		st := newStore()
		vms := zone(st, 3)
		expectAll(vms, "1", 5*time.Second)
		pool := peer.NewPool(peer.Options{Self: peer.Identity{Fleet: "fleet", Node: "asker", Zone: "a", Role: peer.RoleControl, Incarnation: 1}, Streams: 1})
		DeferCleanup(pool.Close)
		for _, v := range vms { // one hears of the next before that one is silenced too
			st.mu.Lock()
			st.silent[v.Name] = true
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
		st.silence(false)
		st.set("2")
		expectAll(vms, "2", 3*time.Second)
	})
})

// Every call has its price, and in an outage none brings anything (scale-2 of
// the grown ishikari: 4,900 calls, most of them of VMs whose relays had lost the
// store).
var _ = Describe("a zone of many VMs in an outage", func() {
	// perSecond lets the zone run for a while and returns its calls a second.
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
		vms := zone(st, 8)
		expectAll(vms, "1", 5*time.Second)
		for _, v := range vms {
			st.disconnect(v.Name, true)
		}
		time.Sleep(time.Second)
		Expect(perSecond(st)).To(BeNumerically("<=", 2*5+6))
		for _, v := range vms {
			st.disconnect(v.Name, false)
		}
		st.set("2")
		expectAll(vms, "2", 3*time.Second)
	})

	It("makes no call for a VM whose relays have lost the store while other zones have it", func() {
		st := newStore()
		vms := zone(st, 8)
		expectAll(vms, "1", 5*time.Second)
		far, _ := late(st, "vm-far", "b", nil)
		var nodes []vmregistry.Node
		for _, v := range append(vms, far) {
			nodes = append(nodes, v.Node)
		}
		for _, v := range append(vms, far) {
			v.service.SetNodes(nodes)
		}
		expectAll([]*vm{far}, "1", 3*time.Second)
		for _, v := range vms {
			st.disconnect(v.Name, true)
		}
		time.Sleep(time.Second)
		Expect(perSecond(st)).To(BeNumerically("<=", 2*5+2+1), "the two relays, the far VM, and seldom another")
		st.set("2")
		expectAll(vms, "2", 3*time.Second)
	})
})

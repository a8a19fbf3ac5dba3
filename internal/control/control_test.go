package control_test

import (
	"context"
	"expvar"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/sapphirewall/sapphirewall/internal/control"
	"github.com/sapphirewall/sapphirewall/internal/fleetstate"
	"github.com/sapphirewall/sapphirewall/internal/peer"
	"github.com/sapphirewall/sapphirewall/internal/platform"
	standin "github.com/sapphirewall/sapphirewall/internal/standin/platform"
	"github.com/sapphirewall/sapphirewall/internal/telemetry"
)

var _ = Describe("tables", func() {
	It("are in force on every node, and stay so when the platform returns an earlier state", func() {
		f := startFleet(6)
		staleStore := standin.NewStore(time.Now)
		commit(staleStore, 100)
		Eventually(f.revisions, waitTimeout).Should(HaveEach(commit(f.store, 100)))
		for _, n := range f.nodes { // a node without known members reads the whole text itself
			Eventually(func() map[string]fleetstate.MemberState { return memberStates(n) }, waitTimeout).Should(And(HaveLen(6), HaveEach(fleetstate.Alive)))
		}
		second := commit(f.store, 200)
		Eventually(f.revisions, waitTimeout).Should(HaveEach(second))
		f.platform.Store(staleStore)
		f.nodes[0].stop()
		f.nodes[0] = f.start("vm-0", "a")
		f.list()
		Eventually(f.nodes[0].Ready, waitTimeout).Should(Succeed())
		Consistently(f.revisions, "300ms").Should(HaveEach(second))
		sent, ok := telemetry.Map(control.Name).Get("deltas_sent").(*expvar.Int)
		Expect(ok && sent.Value() > 0).To(BeTrue(), "no delta was sent to the nodes that have the older text")
	})

	It("follow a platform that was restored to an earlier state and then accepts edits again", func() {
		f := startFleet(3)
		restored := standin.NewStore(time.Now)
		for i := range 30 { // the key revisions of the lost store are ahead of the restored one's
			_, err := f.store.CompareAndSwap(context.Background(), fmt.Sprint("other/", i), 0, nil, 0)
			Expect(err).NotTo(HaveOccurred())
		}
		for _, ms := range []int{100, 200} {
			commit(restored, ms)
			Eventually(f.revisions, waitTimeout).Should(HaveEach(commit(f.store, ms)))
		}
		f.platform.Store(restored)
		f.store.SetFaults(standin.Faults{Down: true}) // ends the watches of the lost store
		Eventually(f.revisions, waitTimeout).Should(HaveEach(commit(restored, 300)))
	})

	It("are received from peers by a node that starts while the platform is down", func() {
		f := startFleet(4)
		r := commit(f.store, 100)
		Eventually(f.revisions, waitTimeout).Should(HaveEach(r))
		f.store.SetFaults(standin.Faults{Down: true})
		late := f.start("vm-9", "a")
		f.nodes = append(f.nodes, late)
		Expect(late.Ready()).NotTo(Succeed())
		f.list()
		Eventually(late.Ready, waitTimeout).Should(Succeed())
		Expect(f.revisions()).To(HaveEach(r))
	})
})

var _ = Describe("members", func() {
	It("are alive with the addresses of the processes that poll, and gone soon after they stop", func() {
		f := startFleet(6)
		r := commit(f.store, 100)
		Eventually(f.revisions, waitTimeout).Should(HaveEach(r))
		self := peer.Identity{Fleet: "f", Node: "vm-1", Zone: "b"}
		c := fleetstate.NewClient(f.nodes[1].Addr(), []string{peer.RoleEgress}, peer.Options{Self: self}, zerolog.Nop())
		Expect(c.Start(context.Background(), nil)).To(Succeed())
		egress := func() string {
			for _, m := range f.nodes[0].Members() {
				if m.Node == "vm-1" {
					return m.EgressAddr
				}
			}
			return "not a member"
		}
		Eventually(egress, waitTimeout).Should(Equal("127.0.0.1:1"))
		Eventually(c.Ready, waitTimeout).Should(Succeed())
		Expect(c.Stop(context.Background())).To(Succeed())
		Eventually(egress, waitTimeout).Should(BeEmpty())
		f.nodes[5].stop()
		Eventually(func() fleetstate.MemberState { return memberStates(f.nodes[0])["vm-5"] }, waitTimeout).Should(Equal(fleetstate.Gone))
	})
})

var _ = Describe("vetoes and draining upstreams", func() {
	It("reach every node, vetoes also while the platform is down", func() {
		f := startFleet(6)
		r := commit(f.store, 100)
		Eventually(f.revisions, waitTimeout).Should(HaveEach(r))
		f.lists.SetVMs([]platform.VM{{ID: "u1", Kind: platform.KindUpstream, State: platform.VMLeaving}})
		for _, n := range f.nodes {
			Eventually(func() bool { return n.Current().Draining["u1"] }, waitTimeout).Should(BeTrue())
		}
		f.store.SetFaults(standin.Faults{Down: true})
		f.nodes[3].AddVetoes(fleetstate.Veto{Pool: "p", Version: "v2", Revision: r, Reason: "errors"})
		for _, n := range f.nodes {
			Eventually(func() []fleetstate.Veto { return n.Current().Vetoes }, waitTimeout).Should(HaveLen(1))
		}
	})

	It("are limited in number and length, whatever peers send", func() {
		n := startFleet(1).nodes[0]
		for i := range 1100 {
			n.AddVetoes(fleetstate.Veto{Pool: "p", Version: "v2", Revision: uint64(i + 1), Reason: strings.Repeat("r", 600)})
		}
		Expect(n.Vetoes()).To(HaveLen(1024))
		Expect(n.Vetoes()[0].Reason).To(HaveLen(512))
	})
})

package handover_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/decide/reach"
	"github.com/sapphirewall/sapphirewall/internal/direct"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// degrade has a VM open no connections to the replicas of pool p, and waits until it has
// asked the others.
func (m *machine) degrade() {
	m.tier.setCuts(reach.Cuts{Degraded: map[string]bool{"p": true}})
	time.Sleep(300 * time.Millisecond)
}

// unconnected hands a request over if another VM can be asked, and else serves it here.
func unconnected(outcome verdict.Outcome) func(*direct.Request) *direct.Answer {
	refusal := verdict.New(outcome, verdict.ConnectFailed, "no connection")
	return func(req *direct.Request) *direct.Answer {
		if !req.MayHandOver {
			return cutAnswer
		}
		return &direct.Answer{HandOver: &direct.HandOver{Unconnected: true, MaxAttempts: 1, Refusal: refusal}}
	}
}

var _ = Describe("a VM that can open no connections to a pool", func() {
	// Guards against refusing what other VMs could serve because a replica is still heard
	// on a connection that is left (issue 60).
	It("hands over the requests that get no connection here, and serves the others", func() {
		a, b := startVM("a", nil), startVM("b", nil)
		know(a, b)
		a.degrade()
		Expect(string(a.Serve(request("/p")).Reply.Body)).To(Equal("a"), "it has a connection for it")
		a.tier.setServe(unconnected(verdict.NotRun))
		Expect(string(a.Serve(request("/p")).Reply.Body)).To(Equal("b"))
		Expect(b.tier.requests()).To(HaveLen(1))
		Expect(b.tier.requests()[0].MaxAttempts).To(Equal(1))
	})

	It("serves a request here after all when nobody else can take it", func() {
		a, b, c := startVM("a", nil), startVM("b", nil), startVM("c", nil)
		know(a, b, c)
		b.degrade()
		c.tier.setServe(unconnected(verdict.NotRun)) // has found nothing yet
		a.tier.setServe(unconnected(verdict.NotRun))
		a.degrade()
		Expect(a.Serve(request("/p"))).To(Equal(cutAnswer))
		Expect(b.tier.requests()).To(BeEmpty(), "it says that it can't help")
		Expect(a.Serve(request("/p"))).To(Equal(cutAnswer))
		Expect(c.tier.requests()).To(HaveLen(1), "it is not asked again soon after it could not help")
	})

	It("asks another VM when the first one can't connect either", func() {
		a, b, c := startVM("a", nil), startVM("b", nil), startVM("c", nil)
		know(a, b, c)
		a.tier.setServe(unconnected(verdict.NotRun))
		b.tier.setServe(func(*direct.Request) *direct.Answer {
			return &direct.Answer{Refusal: verdict.New(verdict.NotRun, verdict.ConnectFailed, "refused")}
		})
		a.degrade()
		for range 5 {
			Expect(string(a.Serve(request("/p")).Reply.Body)).To(Equal("c"))
		}
		Expect(len(b.tier.requests())).To(BeNumerically("<=", 1))
	})

	It("doesn't serve again here what may have run", func() {
		a, b := startVM("a", nil), startVM("b", nil)
		know(a, b)
		a.tier.setServe(unconnected(verdict.MayHaveRun))
		b.draining.Store(true)
		a.degrade()
		b.draining.Store(false)
		b.tier.setServe(func(*direct.Request) *direct.Answer {
			return &direct.Answer{Refusal: verdict.New(verdict.NotRun, verdict.Overload, "full")}
		})
		a.degrade()
		Expect(a.Serve(request("/p")).Refusal.Outcome).To(Equal(verdict.MayHaveRun))
		Expect(a.tier.requests()).To(HaveLen(1))
	})

	It("gives a request of another VM back, and doesn't hand it on", func() {
		a, b := startVM("a", nil), startVM("b", nil)
		know(a, b)
		a.tier.setServe(unconnected(verdict.NotRun))
		reply := a.Help(context.Background(), "b", &swpb.HandoverRequest{RequestId: "r", Target: "/p"})
		Expect(verdict.FromProto(reply.GetRefusal()).Outcome).To(Equal(verdict.NotRun))
		Expect(reply.GetAttemptsLeft()).To(BeEquivalentTo(1))
		Expect(b.tier.requests()).To(BeEmpty())
	})

	// Guards against forgetting what another VM has run of a query before it gave it back:
	// it then ran on more replicas of a shard than its route allows.
	It("counts what other VMs have run of a query that they give back", func() {
		a, b := startVM("a", nil), startVM("b", nil)
		know(a, b)
		b.tier.setServe(unconnected(verdict.MayHaveRun))
		var here []int // attempts that may run here
		a.tier.setServe(func(req *direct.Request) *direct.Answer {
			here = append(here, req.MaxAttempts)
			if req.MayHandOver {
				return &direct.Answer{HandOver: &direct.HandOver{Unconnected: true, MaxAttempts: 2, Refusal: verdict.New(verdict.NotRun, verdict.ConnectFailed, "no connection")}}
			}
			return &direct.Answer{Refusal: verdict.New(verdict.NotRun, verdict.NoReplica, "none")}
		})
		a.degrade()
		Expect(a.Serve(request("/")).Refusal.Outcome).To(Equal(verdict.MayHaveRun))
		Expect(b.tier.requests()).To(HaveLen(1))
		Expect(here).To(Equal([]int{0}), "it may have run twice elsewhere")

		here = nil
		a.tier.setCuts(reach.Cuts{Pools: map[string]bool{"p": true}})
		time.Sleep(1500 * time.Millisecond) // the other VM is asked again
		Expect(a.Serve(request("/")).Refusal.Outcome).To(Equal(verdict.MayHaveRun))
		Expect(b.tier.requests()).To(HaveLen(2))
		Expect(here).To(Equal([]int{1}), "without the lost pool, and only as often as is left")
	})
})

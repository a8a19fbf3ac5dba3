package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/decide/eject"
	"github.com/sapphirewall/sapphirewall/internal/fleetstate"
	standinplatform "github.com/sapphirewall/sapphirewall/internal/standin/platform"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

var _ = Describe("a request", func() {
	It("is answered with the merged parts of all pools from one snapshot", func() {
		b := newBench(nil)
		r := b.post("all", "{}")
		Expect(r.status).To(Equal(http.StatusOK), r.body)
		Expect(r.body).To(ContainSubstring(`"snapshot":1,"coverage":{"covered":4,"total":4,"missing":[]},"parts":[1,2,3,1]}`))
		Expect(r.header.Get(headerCoverage)).To(Equal("4/4"))
		Expect(r.header.Get(headerSnapshot)).To(Equal("1"))
		Expect(r.header.Get(headerRevision)).To(Equal("7"))
		Expect(r.body).To(ContainSubstring(r.header.Get(headerRequestID)))
		Expect(b.post("sum", "").body).To(ContainSubstring(`"sum":6}`))
	})

	It("states the missing ranges, and is refused below the route's minimum coverage", func() {
		b := newBench(nil)
		b.egress.respondWith(failShard("lines", 1, verdict.New(verdict.NotRun, verdict.Shed, "busy").WithRetryAfter(time.Minute)))
		r := b.post("all", "")
		Expect(r.header.Get(headerCoverage)).To(Equal("3/4"))
		Expect(r.header.Get(headerMissing)).To(Equal("lines:21845-43690"))
		Expect(r.body).To(ContainSubstring(`"parts":[1,3,1]`))
		r = b.post("strict", "")
		Expect(r.problem.Cause).To(Equal(string(verdict.LowCoverage)))
		Expect(r.problem.Verdict).NotTo(Equal("not-run"), "two shards were executed or may have been")
		Expect(r.header.Get("Retry-After")).To(Equal("60"))
		Expect(b.post("half", "").status).To(Equal(http.StatusOK))
	})

	It("has a rejected part retried on another replica", func() {
		b := newBench(nil)
		b.egress.respondWith(func(ctx context.Context, r *swpb.SubRequest) (*swpb.SubReply, error) {
			if r.GetAttempt() == 1 {
				return nil, verdict.New(verdict.NotRun, verdict.Shed, "busy")
			}
			return goodReply(ctx, r)
		})
		Expect(b.post("sum", "").header.Get(headerCoverage)).To(Equal("3/3"))
		tried := map[string]bool{}
		for _, r := range b.egress.requests() {
			Expect(tried).NotTo(HaveKey(r.GetReplica()))
			tried[r.GetReplica()] = true
		}
	})

	It("drops replies to another request or attempt, of another snapshot or range, or with a broken payload", func() {
		b := newBench(nil)
		corruptions := []func(*swpb.SubReply){
			func(r *swpb.SubReply) { r.RequestId = "another" },
			func(r *swpb.SubReply) { r.Attempt += 5 },
			func(r *swpb.SubReply) { r.Snapshot++ },
			func(r *swpb.SubReply) { r.Range = &swpb.KeyRange{Lo: 0, Hi: 5} },
			func(r *swpb.SubReply) { r.Payload = []byte("{") },
		}
		for _, f := range corruptions {
			b.egress.respondWith(func(ctx context.Context, r *swpb.SubRequest) (*swpb.SubReply, error) {
				reply, err := goodReply(ctx, r)
				if r.GetShard() == 2 {
					f(reply)
				}
				return reply, err
			})
			r := b.post("sum", "")
			Expect(r.header.Get(headerCoverage)).To(Equal("2/3"))
			Expect(r.body).To(ContainSubstring(`"sum":3}`))
		}
	})

	It("is answered before its deadline with the parts received by then", func() {
		b := newBench(nil)
		b.egress.respondWith(func(ctx context.Context, r *swpb.SubRequest) (*swpb.SubReply, error) {
			if r.GetShard() == 0 {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return goodReply(ctx, r)
		})
		Expect(b.post("sum", "", headerDeadline, "200").header.Get(headerCoverage)).To(Equal("2/3"))
	})

	It("is sent to no zone out of service, no draining upstream and no vetoed version", func() {
		b := newBench(nil)
		t := testTables()
		t.ZonesOutOfService = map[string]bool{"a": true}
		t.Pools["ledger"].Upstreams[1].Version = "bad"
		old := b.fleet.Current()
		b.fleet.Store(&fleetstate.State{Version: 2, Tables: t, Members: old.Members, Draining: map[string]bool{"lines-0-b": true}, Vetoes: []fleetstate.Veto{{Pool: "ledger", Version: "bad", Revision: 8}}})
		Eventually(func() uint64 { return b.current.Load().state.Version }).WithTimeout(waitTimeout).Should(BeEquivalentTo(2))
		for range 20 {
			Expect(b.post("all", "").header.Get(headerCoverage)).To(Equal("4/4"))
		}
		for _, r := range b.egress.requests() {
			Expect(r.GetReplica()).NotTo(HaveSuffix("-a"))
			Expect(r.GetReplica()).NotTo(BeElementOf("lines-0-b", "ledger-0-b"))
		}
	})
})

var _ = It("avoids the replicas of an owner that could not be reached recently", func() {
	var l unreachableOwners
	now := time.Now()
	l.mark(now, "a")
	Expect(l.isMarked(now, "a")).To(BeTrue())
	Expect(l.isMarked(now, "b")).To(BeFalse())
	Expect(l.isMarked(now.Add(ownerAvoidTime), "a")).To(BeFalse())
	r := replica{group: &shardGroup{group: eject.NewGroup(1)}}
	Expect(r.candidate(now, rand.New(rand.NewPCG(1, 2)), true, true).Avoid).To(BeTrue())
})

var _ = Describe("an action", func() {
	It("is retried only if it was not executed", func() {
		b := newBench(nil)
		for _, c := range []struct {
			first *verdict.Error
			sent  int
		}{
			{verdict.New(verdict.NotRun, verdict.Shed, "busy"), 2},
			{verdict.New(verdict.MayHaveRun, verdict.ConnectionLost, "cut"), 1},
			{verdict.New(verdict.RanFailed, verdict.UpstreamError, "500"), 1},
		} {
			b.egress.respondWith(func(ctx context.Context, r *swpb.SubRequest) (*swpb.SubReply, error) {
				if r.GetAttempt() == 1 {
					return nil, c.first
				}
				return goodReply(ctx, r)
			})
			r := b.post("act", "x", headerIdempotencyKey, c.first.Detail)
			Expect(b.egress.requests()).To(HaveLen(c.sent), r.body)
			if c.sent == 1 {
				Expect(r.problem.Verdict).To(Equal(c.first.Outcome.String()))
			} else {
				Expect(r.status).To(Equal(http.StatusOK))
			}
		}
	})
})

var _ = Describe("a repeated idempotency key", func() {
	It("gets the stored outcome and is not executed again", func() {
		b := newBench(nil)
		first := b.post("act", "x", headerIdempotencyKey, "k")
		Expect(first.body).To(Equal("1"))
		var repeated reply
		Eventually(func() string {
			repeated = b.post("act", "x", headerIdempotencyKey, "k")
			return repeated.header.Get(headerRepeated)
		}).WithTimeout(waitTimeout).Should(Equal("yes"))
		Expect(repeated.body).To(Equal(first.body))
		Expect(repeated.header.Get(headerSnapshot)).To(Equal(first.header.Get(headerSnapshot)))
		Expect(b.post("act", "other", headerIdempotencyKey, "k").problem.Cause).To(Equal(string(verdict.KeyReused)))
		Expect(b.egress.requests()).To(HaveLen(1))
	})

	It("gets may-have-run while the outcome is unknown, also after a takeover of its claim range", func() {
		b := newBench(nil)
		b.egress.respondWith(func(context.Context, *swpb.SubRequest) (*swpb.SubReply, error) {
			return nil, verdict.New(verdict.MayHaveRun, verdict.ConnectionLost, "cut")
		})
		Expect(b.post("act", "x", headerIdempotencyKey, "k").problem.Verdict).To(Equal("may-have-run"))
		old := b.fleet.Current()
		members := []fleetstate.Member{{Node: "vm-1", Zone: "a", State: fleetstate.Alive, EgressAddr: b.server.Addr()}, {Node: "vm-2", Zone: "b", State: fleetstate.Alive, ControlAddr: b.startControl("vm-2")}}
		b.fleet.Store(&fleetstate.State{Version: 2, Tables: old.Tables, Members: members})
		Eventually(func() uint64 { return b.current.Load().state.Version }).WithTimeout(waitTimeout).Should(BeEquivalentTo(2))
		r := b.post("act", "x", headerIdempotencyKey, "k")
		Expect(r.problem.Cause).To(Equal(string(verdict.DuplicateKey)), r.body)
		Expect(r.problem.Verdict).To(Equal("may-have-run"))
		Expect(b.egress.requests()).To(HaveLen(1))
	})

	It("can be used again after a request that was not executed", func() {
		b := newBench(nil)
		b.egress.respondWith(func(context.Context, *swpb.SubRequest) (*swpb.SubReply, error) {
			return nil, verdict.New(verdict.NotRun, verdict.BadRequest, "no")
		})
		Expect(b.post("act", "x", headerIdempotencyKey, "k").problem.Verdict).To(Equal("not-run"))
		b.egress.respondWith(goodReply)
		Eventually(func() int { return b.post("act", "x", headerIdempotencyKey, "k").status }).WithTimeout(waitTimeout).Should(Equal(http.StatusOK))
	})

	It("is executed once when replies to the platform's writes are lost", func() {
		b := newBench(nil)
		b.store.SetFaults(standinplatform.Faults{LoseReplies: 1})
		for range 4 {
			b.post("act", "x", headerIdempotencyKey, "k")
		}
		Eventually(func() int { return b.post("act", "x", headerIdempotencyKey, "k").status }).WithTimeout(waitTimeout).Should(Equal(http.StatusOK))
		Expect(b.egress.requests()).To(HaveLen(1))
	})
})

var _ = Describe("a graceful shutdown", func() {
	It("turns readiness off first and lets requests in flight finish", func() {
		b := newBench(nil)
		entered, release := make(chan struct{}, 4), make(chan struct{})
		b.egress.respondWith(func(ctx context.Context, r *swpb.SubRequest) (*swpb.SubReply, error) {
			entered <- struct{}{}
			<-release
			return goodReply(ctx, r)
		})
		Expect(b.Ready()).To(Succeed())
		answered := make(chan reply, 1)
		go func() {
			defer GinkgoRecover()
			answered <- b.post("all", "")
		}()
		<-entered
		stopped := make(chan error, 1)
		go func() { stopped <- b.Stop(context.Background()) }()
		Eventually(b.Ready).WithTimeout(waitTimeout).Should(MatchError(errStopping))
		Consistently(stopped).ShouldNot(Receive())
		close(release)
		Expect((<-answered).status).To(Equal(http.StatusOK))
		Eventually(stopped).WithTimeout(waitTimeout).Should(Receive(BeNil()))
	})
})

package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/decide/snapshot"
	"github.com/sapphirewall/sapphirewall/internal/fleetstate"
	"github.com/sapphirewall/sapphirewall/internal/settings"
	standinplatform "github.com/sapphirewall/sapphirewall/internal/standin/platform"
	"github.com/sapphirewall/sapphirewall/internal/tables"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// failAll fails every sub-request with a verdict.
func failAll(o verdict.Outcome, c verdict.Cause) func(context.Context, *swpb.SubRequest) (*swpb.SubReply, error) {
	return func(context.Context, *swpb.SubRequest) (*swpb.SubReply, error) {
		return nil, verdict.New(o, c, "fault")
	}
}

// neverReply blocks until the sub-request is cancelled.
func neverReply(ctx context.Context, _ *swpb.SubRequest) (*swpb.SubReply, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// updateState changes the fleet state and waits until the entry service uses it.
func (b *bench) updateState(change func(*fleetstate.State)) {
	s := *b.fleet.Current()
	s.Version++
	change(&s)
	b.fleet.Store(&s)
	Eventually(func() uint64 { return b.current.Load().state.Version }).WithTimeout(waitTimeout).Should(Equal(s.Version))
}

// request sends a request without a body, unlike post by any method and to any path.
func (b *bench) request(method, path string) reply {
	req, err := http.NewRequest(method, "http://"+b.Addr()+path, nil)
	Expect(err).NotTo(HaveOccurred())
	res, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = res.Body.Close() }()
	_, _ = io.Copy(io.Discard, res.Body)
	return reply{status: res.StatusCode, header: res.Header}
}

// Each refusal has a row in docs/CALLERS.md, with the verdict, cause and status that
// the caller gets. A not-run refusal without a prepared fault must not have sent a
// sub-request.
var _ = DescribeTable("exit",
	func(name, outcome string, cause verdict.Cause, status int, detail string, prepare func(b *bench), route string, headers ...string) {
		b := newBench(func(s *settings.Settings) { s.Entry.MaxBody = 100 })
		if prepare != nil {
			prepare(b)
		}
		body := ""
		if cause == verdict.TooLarge {
			body = strings.Repeat("x", 101)
		}
		begin := time.Now()
		r := b.post(route, body, headers...)
		Expect(time.Since(begin)).To(BeNumerically("<", time.Second), "must be refused before half of the deadline has passed")
		Expect(r.status).To(Equal(status), r.body)
		Expect(r.problem.Detail).To(ContainSubstring(detail))
		Expect(r.problem.RequestID).NotTo(BeEmpty())
		if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
			Expect(r.header.Get("Retry-After")).NotTo(BeEmpty())
		}
		if outcome == "not-run" && prepare == nil {
			Expect(b.egress.requests()).To(BeEmpty())
		}
		Expect(r.problem.Verdict).To(Equal(outcome))
		Expect(r.problem.Cause).To(Equal(string(cause)))
		page, err := os.ReadFile("../../docs/CALLERS.md")
		Expect(err).NotTo(HaveOccurred())
		row := fmt.Sprintf("| %s | %s | %s | %d |", name, outcome, cause, status)
		Expect(string(page)).To(ContainSubstring(row))
	},
	func(name, _ string, _ verdict.Cause, _ int, _ string, _ func(*bench), _ string, _ ...string) string {
		return name
	},
	Entry(nil, "the tables have no such route", "not-run", verdict.UnknownRoute, 404, `no route "nowhere"`, nil, "nowhere"),
	Entry(nil, "no tables are in force", "not-run", verdict.NotReady, 503, "", func(b *bench) { b.updateState(func(s *fleetstate.State) { s.Tables = nil }) }, "all"),
	Entry(nil, "the deadline is no number above 0", "not-run", verdict.BadRequest, 400, `Sw-Deadline-Ms is "soon"; give whole milliseconds above 0`, nil, "all", headerDeadline, "soon"),
	Entry(nil, "the deadline is no number above 0", "not-run", verdict.BadRequest, 400, `whole milliseconds above 0`, nil, "all", headerDeadline, "0"),
	Entry(nil, "an action has no key", "not-run", verdict.BadRequest, 400, `give Idempotency-Key`, nil, "act"),
	Entry(nil, "the body is too large", "not-run", verdict.TooLarge, 413, `larger than 100 bytes`, nil, "all"),
	Entry(nil, "the head is too large", "not-run", verdict.TooLarge, 431, `head is larger than 16384 bytes`, nil, "all", "X-Large", strings.Repeat("x", headerBytes)),
	Entry(nil, "the memory for requests is in use", "not-run", verdict.Shed, 503, `memory`, func(b *bench) {
		for size := int64(1 << 30); size > 0; size /= 2 {
			for b.budget.Draw(size) {
			}
		}
		b.budget.Return(7 << 10) // room for a connection, but not for its request
	}, "all"),
	Entry(nil, "the request is known to crash upstreams", "not-run", verdict.Poison, 422, "", func(b *bench) {
		crashes := []uint64{1_000_000, 2_000_000, 3_000_000, 4_000_000, 5_000_000}
		b.poison.update("owner", []*swpb.PoisonSuspect{{Fingerprint: fingerprint("all", nil), CrashAgesUs: crashes}})
	}, "all"),
	Entry(nil, "too many requests are in hand", "not-run", verdict.Overload, 429, "", func(b *bench) { b.gate = newGate(settings.Entry{MaxInFlight: 0}) }, "all"),
	Entry(nil, "no replica is known to hold a snapshot", "not-run", verdict.NothingCovered, 503, "", func(b *bench) {
		b.updateState(func(s *fleetstate.State) {
			s.Tables.ZonesOutOfService = map[string]bool{"a": true, "b": true, "c": true}
		})
	}, "all"),
	Entry(nil, "no egress process is known", "not-run", verdict.NoReplica, 503, "", func(b *bench) { b.updateState(func(s *fleetstate.State) { s.Members = nil }) }, "all"),
	Entry(nil, "every replica refuses", "not-run", verdict.Shed, 503, "", func(b *bench) { b.egress.respondWith(failAll(verdict.NotRun, verdict.Shed)) }, "all"),
	Entry(nil, "every replica's connection is lost", "may-have-run", verdict.ConnectionLost, 502, "", func(b *bench) { b.egress.respondWith(failAll(verdict.MayHaveRun, verdict.ConnectionLost)) }, "all"),
	Entry(nil, "every replica fails", "ran-failed", verdict.UpstreamError, 502, "", func(b *bench) { b.egress.respondWith(failAll(verdict.RanFailed, verdict.UpstreamError)) }, "all"),
	Entry(nil, "the owner's reply makes no sense", "may-have-run", verdict.Internal, 500, "", func(b *bench) {
		b.egress.respondWith(func(context.Context, *swpb.SubRequest) (*swpb.SubReply, error) { return nil, context.Canceled })
	}, "all"),
	Entry(nil, "nothing comes before the deadline", "may-have-run", verdict.Deadline, 504, "", func(b *bench) { b.egress.respondWith(neverReply) }, "all", headerDeadline, "100"),
	Entry(nil, "fewer shards are covered than the route allows", "ran-failed", verdict.LowCoverage, 503, "", func(b *bench) {
		b.egress.respondWith(func(ctx context.Context, r *swpb.SubRequest) (*swpb.SubReply, error) {
			if r.GetShard() == 1 {
				return neverReply(ctx, r)
			}
			return goodReply(ctx, r)
		})
	}, "strict", headerDeadline, "500"),
	Entry(nil, "the snapshot has left everywhere", "not-run", verdict.SnapshotGone, 503, "", func(b *bench) { b.egress.respondWith(failAll(verdict.NotRun, verdict.SnapshotGone)) }, "all"),
	Entry(nil, "the claim of an action can't be stored", "not-run", verdict.ClaimUnavailable, 503, "", func(b *bench) { b.store.SetFaults(standinplatform.Faults{Down: true}) }, "act", headerIdempotencyKey, "k"),
	Entry(nil, "no control process is known", "not-run", verdict.ClaimUnavailable, 503, "", func(b *bench) { b.updateState(func(s *fleetstate.State) { s.Members[0].ControlAddr = "" }) }, "act", headerIdempotencyKey, "k"),
	Entry(nil, "the key's first request has no known outcome", "may-have-run", verdict.DuplicateKey, 409, "", func(b *bench) {
		b.egress.respondWith(failAll(verdict.MayHaveRun, verdict.ConnectionLost))
		b.post("act", "", headerIdempotencyKey, "k")
	}, "act", headerIdempotencyKey, "k"),
	Entry(nil, "the key's first request ran and failed", "ran-failed", verdict.DuplicateKey, 409, "", func(b *bench) {
		b.egress.respondWith(failAll(verdict.RanFailed, verdict.UpstreamError))
		b.post("act", "", headerIdempotencyKey, "k")
		Eventually(func() string { return b.post("act", "", headerIdempotencyKey, "k").problem.Verdict }).WithTimeout(waitTimeout).Should(Equal("ran-failed"))
	}, "act", headerIdempotencyKey, "k"),
	Entry(nil, "the key belongs to another request", "not-run", verdict.KeyReused, 422, "", func(b *bench) { b.post("act", "first", headerIdempotencyKey, "k") }, "act", headerIdempotencyKey, "k"),
	Entry(nil, "no replica runs the action", "not-run", verdict.Draining, 503, "", func(b *bench) { b.egress.respondWith(failAll(verdict.NotRun, verdict.Draining)) }, "act", headerIdempotencyKey, "k"),
	Entry(nil, "the action's connection is lost", "may-have-run", verdict.ConnectionLost, 502, "", func(b *bench) { b.egress.respondWith(failAll(verdict.MayHaveRun, verdict.ConnectionLost)) }, "act", headerIdempotencyKey, "k"),
)

var _ = Describe("a query whose snapshot is removed from the replicas", func() {
	It("restarts once, on the newer snapshot", func() {
		b := newBench(nil)
		b.egress.respondWith(func(ctx context.Context, r *swpb.SubRequest) (*swpb.SubReply, error) {
			if r.GetSnapshot() == 1 {
				b.egress.setSnapshots(testTables(), 2)
				b.waitForHoldings(2)
				return nil, verdict.New(verdict.NotRun, verdict.SnapshotGone, "gone")
			}
			return goodReply(ctx, r)
		})
		r := b.post("all", "")
		Expect(r.header.Get(headerCoverage)).To(Equal("4/4"), r.body)
		Expect(r.header.Get(headerSnapshot)).To(Equal("2"))
	})
})

// waitForHoldings waits until the entry service has the report of a replica that
// holds snapshot id.
func (b *bench) waitForHoldings(id uint64) {
	c := b.current.Load()
	Eventually(func() *snapshot.Pinned { return c.pinAbove(id-1, c.state.Tables.Routes["all"], b.holdings) }).WithTimeout(waitTimeout).ShouldNot(BeNil())
}

var _ = It("refuses requests by another method than POST or to an unknown path", func() {
	b := newBench(nil)
	Expect(b.request(http.MethodGet, pathPrefix+"all").status).To(Equal(http.StatusBadRequest))
	Expect(b.request(http.MethodPost, "/elsewhere").status).To(Equal(http.StatusNotFound))
})

// BenchmarkCatalogue measures the rebuild of the catalogue after a change of one
// pool's holdings, and after a change of the tables or the membership.
func BenchmarkCatalogue(b *testing.B) {
	for _, replicas := range []int{120, 1200, 12000} {
		t := &tables.Tables{Pools: map[string]*tables.Pool{}}
		h := newHoldings()
		for i := range replicas {
			name := fmt.Sprint("pool", i/86)
			p := t.Pools[name]
			if p == nil {
				p = &tables.Pool{Name: name, Shards: 29}
				t.Pools[name] = p
			}
			u := tables.Upstream{ID: fmt.Sprint("u", i), Zone: "a", Shard: i % 29}
			p.Upstreams = append(p.Upstreams, u)
			held := &swpb.HeldSnapshot{Snapshot: 1, Range: shardRange(u.Shard, 29), Shard: uint32(u.Shard), ShardCount: 29}
			h.update([]*swpb.ReplicaView{{Replica: u.ID, Pool: name, Snapshots: []*swpb.HeldSnapshot{held}}})
		}
		state := &fleetstate.State{Tables: t}
		all := h.collect(true)
		c := newCatalogue(nil, state, all)
		b.Run(fmt.Sprintf("tables/replicas=%d", replicas), func(b *testing.B) {
			for b.Loop() {
				newCatalogue(c, &fleetstate.State{Tables: t}, all)
			}
		})
		b.Run(fmt.Sprintf("holdings/replicas=%d", replicas), func(b *testing.B) {
			for b.Loop() {
				h.dirty["pool0"] = true
				newCatalogue(c, state, h.collect(false))
			}
		})
	}
}

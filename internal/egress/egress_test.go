package egress_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/sapphirewall/sapphirewall/internal/egress"
	"github.com/sapphirewall/sapphirewall/internal/fleetstate"
	"github.com/sapphirewall/sapphirewall/internal/kernel"
	"github.com/sapphirewall/sapphirewall/internal/launch"
	"github.com/sapphirewall/sapphirewall/internal/peer"
	"github.com/sapphirewall/sapphirewall/internal/settings"
	"github.com/sapphirewall/sapphirewall/internal/tables"
	"github.com/sapphirewall/sapphirewall/internal/telemetry"
	"github.com/sapphirewall/sapphirewall/internal/upstream"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

func TestEgress(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "egress")
}

const testTimeout = 10 * time.Second

// stateService is a fleetstate.Source as a kernel service.
type stateService struct{ *fleetstate.Holder }

func (stateService) Name() string                                { return fleetstate.ServiceName }
func (stateService) Needs() []string                             { return nil }
func (stateService) Start(context.Context, *kernel.Kernel) error { return nil }
func (stateService) Stop(context.Context) error                  { return nil }
func (stateService) Ready() error                                { return nil }

// fakeUpstream is an upstream whose handler the test sets.
type fakeUpstream struct {
	addr       string
	handler    atomic.Value // fasthttp.RequestHandler
	state      atomic.Value // string
	executions atomic.Int64
	starts     atomic.Int64
	mu         sync.Mutex
	cancelled  []string
}

func newFakeUpstream() *fakeUpstream { return startFakeUpstream(func(f func()) { DeferCleanup(f) }) }

// startFakeUpstream is like newFakeUpstream, but registers its cleanup with the
// given function.
func startFakeUpstream(cleanup func(func())) *fakeUpstream {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	f := &fakeUpstream{addr: ln.Addr().String()}
	f.state.Store(upstream.StateReady)
	f.handler.Store(fasthttp.RequestHandler(answerPart))
	srv := &fasthttp.Server{Handler: f.handle, CloseOnShutdown: true}
	go func() { _ = srv.Serve(ln) }()
	cleanup(func() { _ = ln.Close() })
	return f
}

func answerPart(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.Set(upstream.HeaderSnapshot, "7")
	ctx.Response.Header.Set(upstream.HeaderRange, "0-65536")
	ctx.SetBodyString("part")
}

func (f *fakeUpstream) handle(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek(upstream.HeaderRequestID))
	ctx.Response.Header.Set(upstream.HeaderRequestID, id)
	ctx.Response.Header.SetBytesV(upstream.HeaderAttempt, ctx.Request.Header.Peek(upstream.HeaderAttempt))
	ctx.Response.Header.Set(upstream.HeaderState, f.state.Load().(string))
	switch string(ctx.Path()) {
	case upstream.PathStatus:
		b, _ := json.Marshal(upstream.Status{StartID: fmt.Sprint("s", f.starts.Load()), State: f.state.Load().(string), Slots: 2, Snapshots: []upstream.HeldSnapshot{{Snapshot: 7, Hi: tables.KeySpace, ShardCount: 1}}})
		ctx.SetBody(b)
	case upstream.PathCancel:
		f.mu.Lock()
		f.cancelled = append(f.cancelled, id)
		f.mu.Unlock()
	default:
		f.executions.Add(1)
		f.handler.Load().(fasthttp.RequestHandler)(ctx)
	}
}

func (f *fakeUpstream) cancelledIDs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.cancelled...)
}

// fixture is an egress service with its fleet state and a client.
type fixture struct {
	state  stateService
	kernel *kernel.Kernel
	svc    *egress.Service
	client *peer.Client
}

func state(u *fakeUpstream, change func(*tables.Tables)) *fleetstate.State {
	pool := &tables.Pool{Name: "p", Shards: 1, Slots: 2, Connections: 8, ColdSlots: 1, Upstreams: []tables.Upstream{{ID: "u", Addr: u.addr, Zone: "a", Version: "v1"}}}
	t := &tables.Tables{Revision: 1, Pools: map[string]*tables.Pool{"p": pool}, ZonesOutOfService: map[string]bool{}}
	change(t)
	return &fleetstate.State{Version: 1, Tables: t, Members: []fleetstate.Member{{Node: "vm-1", Zone: "a", State: fleetstate.Alive, EgressAddr: "127.0.0.1:1"}}, Draining: map[string]bool{}}
}

func newFixture(st *fleetstate.State, changes ...func(*settings.Settings)) *fixture {
	return startFixture(st, func(f func()) { DeferCleanup(f) }, changes...)
}

// startFixture is like newFixture, but registers its cleanup with the given
// function.
func startFixture(st *fleetstate.State, cleanup func(func()), changes ...func(*settings.Settings)) *fixture {
	s := settings.Default()
	s.Node.Zone = "a"
	s.Egress.Listen = "127.0.0.1:0"
	s.Egress.StatusInterval = 20 * time.Millisecond
	for _, change := range changes {
		change(s)
	}
	env := &launch.Env{Settings: s, Log: zerolog.Nop(), Tracer: telemetry.NoopTracer(), Kernel: kernel.New(zerolog.Nop())}
	fx := &fixture{state: stateService{fleetstate.NewHolder()}, kernel: env.Kernel, svc: egress.New(env)}
	fx.state.Store(st)
	Expect(env.Kernel.Register(fx.state)).To(Succeed())
	Expect(env.Kernel.Register(fx.svc)).To(Succeed())
	Expect(env.Kernel.Start(context.Background())).To(Succeed())
	cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		_ = env.Kernel.Stop(ctx)
	})
	fx.client = peer.NewClient(fx.svc.Addr(), peer.Options{Self: peer.Identity{Fleet: s.Node.Fleet, Node: "e", Role: peer.RoleEntry}, StallTimeout: testTimeout})
	cleanup(fx.client.Close)
	return fx
}

// send sends one part and retries it while the service rejects it because of a
// handover.
func (fx *fixture) send(ctx context.Context, id string, budget time.Duration) (*swpb.SubReply, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*testTimeout)
	defer cancel()
	for {
		reply, err := fx.sendOnce(ctx, id, budget)
		if verdict.Cause(reply.GetVerdict().GetCause()) != verdict.Cold {
			return reply, err
		}
		time.Sleep(time.Duration(reply.GetVerdict().GetRetryAfterUs()) * time.Microsecond)
	}
}

func (fx *fixture) sendOnce(ctx context.Context, id string, budget time.Duration) (*swpb.SubReply, error) {
	req := &swpb.SubRequest{RequestId: id, Attempt: 1, Route: "q", Pool: "p", Replica: "u", Snapshot: 7, Fingerprint: uint64(len(id)), BudgetUs: uint64(budget / time.Microsecond), Idempotent: true}
	env, err := fx.client.Call(ctx, &swpb.Envelope{Body: &swpb.Envelope_SubRequest{SubRequest: req}})
	return env.GetSubReply(), err
}

func (fx *fixture) pollView(have uint64) *swpb.ViewReply {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	env, err := fx.client.Call(ctx, &swpb.Envelope{Body: &swpb.Envelope_ViewRequest{ViewRequest: &swpb.ViewRequest{Have: have, WaitUs: 1e6}}})
	Expect(err).NotTo(HaveOccurred())
	return env.GetViewReply()
}

// withoutStallDetection keeps a connection from counting as stalled while its
// execution waits for the test.
func withoutStallDetection(s *settings.Settings) { s.Egress.SilentAfter = testTimeout }

var _ = Describe("Service", func() {
	It("executes parts and reports the state of its replicas", func() {
		u := newFakeUpstream()
		fx := newFixture(state(u, func(*tables.Tables) {}))
		Eventually(fx.svc.Ready).WithTimeout(testTimeout).Should(Succeed())
		for i := range 20 {
			reply, err := fx.send(context.Background(), fmt.Sprint("r", i), testTimeout)
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.GetVerdict()).To(BeNil())
			Expect(string(reply.GetPayload())).To(Equal("part"))
			Expect(reply.GetLoad().GetReplica()).To(Equal("u"))
		}
		var have uint64
		Eventually(func() swpb.ReplicaState {
			v := fx.pollView(have)
			have = v.GetVersion()
			return v.GetReplicas()[0].GetState()
		}).WithTimeout(testTimeout).Should(Equal(swpb.ReplicaState_REPLICA_STATE_READY))
		u.state.Store(upstream.StateDraining)
		Eventually(func() swpb.ReplicaState { return fx.pollView(0).GetReplicas()[0].GetState() }).WithTimeout(testTimeout).Should(Equal(swpb.ReplicaState_REPLICA_STATE_DRAINING))
	})

	It("rejects at once, as not run, during a handover and when no slot becomes free in time", func() {
		u := newFakeUpstream()
		release := make(chan struct{})
		DeferCleanup(func() { close(release) })
		u.handler.Store(fasthttp.RequestHandler(func(ctx *fasthttp.RequestCtx) { <-release }))
		fx := newFixture(state(u, func(*tables.Tables) {}), withoutStallDetection)
		cause := func(budget time.Duration) verdict.Cause {
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			reply, err := fx.sendOnce(ctx, "r", budget)
			Expect(err).NotTo(HaveOccurred())
			v := verdict.FromProto(reply.GetVerdict())
			Expect(v.Outcome).To(Equal(verdict.NotRun), v.Error())
			return v.Cause
		}
		Expect(cause(testTimeout)).To(Equal(verdict.Cold))
		Expect(cause(0)).To(Equal(verdict.Deadline))
		Eventually(fx.svc.Ready).WithTimeout(testTimeout).Should(Succeed())
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go func() { _, _ = fx.send(ctx, "first", testTimeout) }()
		Eventually(u.executions.Load).WithTimeout(testTimeout).Should(BeEquivalentTo(1))
		Expect(cause(20 * time.Millisecond)).To(Equal(verdict.Overload))
		Expect(u.executions.Load()).To(BeEquivalentTo(1))
	})

	It("enforces no limit in the baseline", func() {
		u := newFakeUpstream()
		release := make(chan struct{})
		u.handler.Store(fasthttp.RequestHandler(func(ctx *fasthttp.RequestCtx) { <-release; answerPart(ctx) }))
		fx := newFixture(state(u, func(*tables.Tables) {}), withoutStallDetection, func(s *settings.Settings) { s.Egress.Limits = false })
		const attempts = 6 // three times the replica's slots
		replies := make(chan *swpb.SubReply, attempts)
		for i := range attempts {
			go func() {
				reply, _ := fx.sendOnce(context.Background(), fmt.Sprint("r", i), testTimeout)
				replies <- reply
			}()
		}
		Eventually(u.executions.Load).WithTimeout(testTimeout).Should(BeEquivalentTo(attempts))
		close(release)
		for range attempts {
			var reply *swpb.SubReply
			Eventually(replies).WithTimeout(testTimeout).Should(Receive(&reply))
			Expect(string(reply.GetPayload())).To(Equal("part"))
		}
	})

	It("cancels an attempt that the entry process abandoned", func() {
		u := newFakeUpstream()
		release := make(chan struct{})
		DeferCleanup(func() { close(release) })
		u.handler.Store(fasthttp.RequestHandler(func(ctx *fasthttp.RequestCtx) { <-release }))
		fx := newFixture(state(u, func(*tables.Tables) {}), withoutStallDetection)
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _, _ = fx.send(ctx, "late", testTimeout) }()
		Eventually(u.executions.Load).WithTimeout(testTimeout).Should(BeEquivalentTo(1))
		cancel()
		Eventually(u.cancelledIDs).WithTimeout(testTimeout).Should(ContainElement("late"))
	})

	It("retries over another connection when one stalls", func() {
		u := newFakeUpstream()
		release := make(chan struct{})
		DeferCleanup(func() { close(release) })
		// The first execution never answers, and the status reports no request in
		// flight.
		u.handler.Store(fasthttp.RequestHandler(func(ctx *fasthttp.RequestCtx) {
			if u.executions.Load() == 1 {
				<-release
			}
			answerPart(ctx)
		}))
		fx := newFixture(state(u, func(*tables.Tables) {}))
		reply, err := fx.send(context.Background(), "r", testTimeout)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(reply.GetPayload())).To(Equal("part"))
		Expect(u.executions.Load()).To(BeEquivalentTo(2))
		Expect(u.cancelledIDs()).To(ConsistOf("r"))
	})

	It("refuses a request that keeps crashing upstreams, and reports it to peers", func() {
		u := newFakeUpstream()
		// Each execution of the request crashes the upstream: its connections
		// close and it restarts with another start ID.
		u.handler.Store(fasthttp.RequestHandler(func(ctx *fasthttp.RequestCtx) {
			u.starts.Add(1)
			ctx.HijackSetNoResponse(true)
			ctx.Hijack(func(nc net.Conn) { _ = nc.Close() })
		}))
		fx := newFixture(state(u, func(*tables.Tables) {}))
		Eventually(func() verdict.Cause { return causeOfNext(fx) }).WithTimeout(testTimeout).Should(Equal(verdict.Poison))
		Expect(fx.pollView(0).GetSuspects()[0].GetFingerprint()).To(BeEquivalentTo(1))
		u.handler.Store(fasthttp.RequestHandler(answerPart))
		reply, err := fx.send(context.Background(), "another", testTimeout)
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.GetVerdict()).To(BeNil())
	})

	// Guards against taking a failed execution for proof that a request is harmless.
	It("refuses a request that crashes upstreams although some of its runs end with an error", func() {
		u := newFakeUpstream()
		var runs atomic.Int32
		u.handler.Store(fasthttp.RequestHandler(func(ctx *fasthttp.RequestCtx) {
			if runs.Add(1)%2 == 0 {
				ctx.SetStatusCode(fasthttp.StatusInternalServerError)
				return
			}
			u.starts.Add(1)
			ctx.HijackSetNoResponse(true)
			ctx.Hijack(func(nc net.Conn) { _ = nc.Close() })
		}))
		fx := newFixture(state(u, func(*tables.Tables) {}))
		Eventually(func() verdict.Cause { return causeOfNext(fx) }).WithTimeout(testTimeout).Should(Equal(verdict.Poison))
	})

	It("finishes the attempts in flight before it stops", func() {
		u := newFakeUpstream()
		release := make(chan struct{})
		u.handler.Store(fasthttp.RequestHandler(func(ctx *fasthttp.RequestCtx) { <-release; answerPart(ctx) }))
		fx := newFixture(state(u, func(*tables.Tables) {}), withoutStallDetection)
		replies := make(chan *swpb.SubReply, 1)
		go func() {
			defer GinkgoRecover()
			reply, err := fx.send(context.Background(), "r", testTimeout)
			Expect(err).NotTo(HaveOccurred())
			replies <- reply
		}()
		Eventually(u.executions.Load).WithTimeout(testTimeout).Should(BeEquivalentTo(1))
		stopped := make(chan error, 1)
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		go func() { stopped <- fx.kernel.Stop(ctx) }()
		Eventually(fx.svc.Ready).WithTimeout(testTimeout).Should(MatchError(egress.ErrStopping))
		close(release)
		var reply *swpb.SubReply
		Eventually(replies).WithTimeout(testTimeout).Should(Receive(&reply))
		Expect(reply.GetVerdict()).To(BeNil())
		Expect(string(reply.GetPayload())).To(Equal("part"))
		Eventually(stopped).WithTimeout(testTimeout).Should(Receive(Succeed()))
	})
})

var _ = DescribeTable("a rejected attempt is not run",
	func(cause verdict.Cause, change func(*tables.Tables, *fleetstate.State)) {
		u := newFakeUpstream()
		st := state(u, func(*tables.Tables) {})
		change(st.Tables, st)
		fx := newFixture(st)
		reply, err := fx.send(context.Background(), "r", testTimeout)
		Expect(err).NotTo(HaveOccurred())
		v := verdict.FromProto(reply.GetVerdict())
		Expect(v).NotTo(BeNil())
		Expect(v.Outcome).To(Equal(verdict.NotRun), v.Error())
		Expect(v.Cause).To(Equal(cause), v.Error())
		Expect(u.executions.Load()).To(BeZero())
	},
	Entry("unknown replica", verdict.NoReplica, func(t *tables.Tables, _ *fleetstate.State) { t.Pools["p"].Upstreams = nil }),
	Entry("availability zone out of service", verdict.ZoneOut, func(t *tables.Tables, _ *fleetstate.State) { t.ZonesOutOfService["a"] = true }),
	Entry("draining by the tables", verdict.Draining, func(t *tables.Tables, _ *fleetstate.State) { t.Pools["p"].Upstreams[0].Draining = true }),
	Entry("draining by the VM list", verdict.Draining, func(_ *tables.Tables, s *fleetstate.State) { s.Draining["u"] = true }),
	Entry("not the owner", verdict.NotOwner, func(_ *tables.Tables, s *fleetstate.State) { s.Members[0].Node = "vm-9" }),
	Entry("no connection", verdict.ConnectFailed, func(t *tables.Tables, _ *fleetstate.State) { t.Pools["p"].Upstreams[0].Addr = "127.0.0.1:1" }),
)

// causeOfNext sends the same request again, and returns the cause of its verdict. Its
// crash counts as another one than that of the request before.
func causeOfNext(fx *fixture) verdict.Cause {
	reply, err := fx.send(context.Background(), "r", testTimeout)
	Expect(err).NotTo(HaveOccurred())
	time.Sleep(60 * time.Millisecond)
	return verdict.Cause(reply.GetVerdict().GetCause())
}

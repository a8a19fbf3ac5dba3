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

const patience = 10 * time.Second

// viewService is a fleetstate.Source as a kernel service.
type viewService struct{ *fleetstate.Holder }

func (viewService) Name() string                                { return fleetstate.ServiceName }
func (viewService) Needs() []string                             { return nil }
func (viewService) Start(context.Context, *kernel.Kernel) error { return nil }
func (viewService) Stop(context.Context) error                  { return nil }
func (viewService) Ready() error                                { return nil }

// fake is an upstream that answers as its handler says.
type fake struct {
	addr      string
	run       atomic.Value // fasthttp.RequestHandler
	state     atomic.Value // string
	runs      atomic.Int64
	start     atomic.Int64
	mu        sync.Mutex
	cancelled []string
}

func newFake() *fake { return openFake(func(f func()) { DeferCleanup(f) }) }

// openFake is newFake with a place for what must be done at the end.
func openFake(cleanup func(func())) *fake {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	f := &fake{addr: ln.Addr().String()}
	f.state.Store(upstream.StateReady)
	f.run.Store(fasthttp.RequestHandler(part))
	srv := &fasthttp.Server{Handler: f.handle, CloseOnShutdown: true}
	go func() { _ = srv.Serve(ln) }()
	cleanup(func() { _ = ln.Close() })
	return f
}

func part(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.Set(upstream.HeaderSnapshot, "7")
	ctx.Response.Header.Set(upstream.HeaderRange, "0-65536")
	ctx.SetBodyString("part")
}

func (f *fake) handle(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek(upstream.HeaderRequestID))
	ctx.Response.Header.Set(upstream.HeaderRequestID, id)
	ctx.Response.Header.SetBytesV(upstream.HeaderAttempt, ctx.Request.Header.Peek(upstream.HeaderAttempt))
	ctx.Response.Header.Set(upstream.HeaderState, f.state.Load().(string))
	switch string(ctx.Path()) {
	case upstream.PathStatus:
		b, _ := json.Marshal(upstream.Status{StartID: fmt.Sprint("s", f.start.Load()), State: f.state.Load().(string), Slots: 2, Snapshots: []upstream.Held{{Snapshot: 7, Hi: tables.KeySpace, ShardCount: 1}}})
		ctx.SetBody(b)
	case upstream.PathCancel:
		f.mu.Lock()
		f.cancelled = append(f.cancelled, id)
		f.mu.Unlock()
	default:
		f.runs.Add(1)
		f.run.Load().(fasthttp.RequestHandler)(ctx)
	}
}

func (f *fake) cancels() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.cancelled...)
}

// bench is one egress service with its view and a client.
type bench struct {
	view   viewService
	kernel *kernel.Kernel
	svc    *egress.Service
	client *peer.Client
}

func state(u *fake, change func(*tables.Tables)) *fleetstate.State {
	pool := &tables.Pool{Name: "p", Shards: 1, Slots: 2, Connections: 8, ColdSlots: 1, Upstreams: []tables.Upstream{{ID: "u", Addr: u.addr, Zone: "a", Version: "v1"}}}
	t := &tables.Tables{Revision: 1, Pools: map[string]*tables.Pool{"p": pool}, ZonesOut: map[string]bool{}}
	change(t)
	return &fleetstate.State{Version: 1, Tables: t, Members: []fleetstate.Member{{Node: "vm-1", Zone: "a", State: fleetstate.Alive, EgressAddr: "127.0.0.1:1"}}, Leaving: map[string]bool{}}
}

func start(st *fleetstate.State, changes ...func(*settings.Settings)) *bench {
	return startBench(st, func(f func()) { DeferCleanup(f) }, changes...)
}

// startBench is start with a place for what must be done at the end.
func startBench(st *fleetstate.State, cleanup func(func()), changes ...func(*settings.Settings)) *bench {
	s := settings.Default()
	s.Node.Zone = "a"
	s.Egress.Listen = "127.0.0.1:0"
	s.Egress.StatusInterval = 20 * time.Millisecond
	for _, change := range changes {
		change(s)
	}
	env := &launch.Env{Settings: s, Log: zerolog.Nop(), Tracer: telemetry.NoopTracer(), Kernel: kernel.New(zerolog.Nop())}
	b := &bench{view: viewService{fleetstate.NewHolder()}, kernel: env.Kernel, svc: egress.New(env)}
	b.view.Store(st)
	Expect(env.Kernel.Register(b.view)).To(Succeed())
	Expect(env.Kernel.Register(b.svc)).To(Succeed())
	Expect(env.Kernel.Start(context.Background())).To(Succeed())
	cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		_ = env.Kernel.Stop(ctx)
	})
	b.client = peer.NewClient(b.svc.Addr(), peer.Options{Self: peer.Identity{Fleet: s.Node.Fleet, Node: "e", Role: peer.RoleEntry}, StallTimeout: patience})
	cleanup(b.client.Close)
	return b
}

// ask sends one part, again while the service waits for former owners.
func (b *bench) ask(ctx context.Context, id string, budget time.Duration) (*swpb.SubReply, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*patience)
	defer cancel()
	for {
		reply, err := b.askOnce(ctx, id, budget)
		if verdict.Cause(reply.GetVerdict().GetCause()) != verdict.Cold {
			return reply, err
		}
		time.Sleep(time.Duration(reply.GetVerdict().GetRetryAfterUs()) * time.Microsecond)
	}
}

func (b *bench) askOnce(ctx context.Context, id string, budget time.Duration) (*swpb.SubReply, error) {
	req := &swpb.SubRequest{RequestId: id, Attempt: 1, Route: "q", Pool: "p", Replica: "u", Snapshot: 7, Fingerprint: uint64(len(id)), BudgetUs: uint64(budget / time.Microsecond), Idempotent: true}
	env, err := b.client.Call(ctx, &swpb.Envelope{Body: &swpb.Envelope_SubRequest{SubRequest: req}})
	return env.GetSubReply(), err
}

func (b *bench) viewOf(have uint64) *swpb.ViewReply {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	env, err := b.client.Call(ctx, &swpb.Envelope{Body: &swpb.Envelope_ViewRequest{ViewRequest: &swpb.ViewRequest{Have: have, WaitUs: 1e6}}})
	Expect(err).NotTo(HaveOccurred())
	return env.GetViewReply()
}

// patient keeps a connection whose run waits for the test from being suspected.
func patient(s *settings.Settings) { s.Egress.SilentAfter = patience }

var _ = Describe("Service", func() {
	It("runs parts and tells what its replicas hold", func() {
		u := newFake()
		b := start(state(u, func(*tables.Tables) {}))
		Eventually(b.svc.Ready).WithTimeout(patience).Should(Succeed())
		for i := range 20 {
			reply, err := b.ask(context.Background(), fmt.Sprint("r", i), patience)
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.GetVerdict()).To(BeNil())
			Expect(string(reply.GetPayload())).To(Equal("part"))
			Expect(reply.GetLoad().GetReplica()).To(Equal("u"))
		}
		var have uint64
		Eventually(func() swpb.ReplicaState {
			v := b.viewOf(have)
			have = v.GetVersion()
			return v.GetReplicas()[0].GetState()
		}).WithTimeout(patience).Should(Equal(swpb.ReplicaState_REPLICA_STATE_READY))
		u.state.Store(upstream.StateDraining)
		Eventually(func() swpb.ReplicaState { return b.viewOf(0).GetReplicas()[0].GetState() }).WithTimeout(patience).Should(Equal(swpb.ReplicaState_REPLICA_STATE_DRAINING))
	})

	It("refuses at once, as not run, during a hand-over and when no slot comes free in time", func() {
		u := newFake()
		release := make(chan struct{})
		DeferCleanup(func() { close(release) })
		u.run.Store(fasthttp.RequestHandler(func(ctx *fasthttp.RequestCtx) { <-release }))
		b := start(state(u, func(*tables.Tables) {}), patient)
		cause := func(budget time.Duration) verdict.Cause {
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			reply, err := b.askOnce(ctx, "r", budget)
			Expect(err).NotTo(HaveOccurred())
			v := verdict.FromProto(reply.GetVerdict())
			Expect(v.Outcome).To(Equal(verdict.NotRun), v.Error())
			return v.Cause
		}
		Expect(cause(patience)).To(Equal(verdict.Cold))
		Expect(cause(0)).To(Equal(verdict.Deadline))
		Eventually(b.svc.Ready).WithTimeout(patience).Should(Succeed())
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go func() { _, _ = b.ask(ctx, "first", patience) }()
		Eventually(u.runs.Load).WithTimeout(patience).Should(BeEquivalentTo(1))
		Expect(cause(20 * time.Millisecond)).To(Equal(verdict.Overload))
		Expect(u.runs.Load()).To(BeEquivalentTo(1))
	})

	It("keeps no limit in the baseline", func() {
		u := newFake()
		release := make(chan struct{})
		u.run.Store(fasthttp.RequestHandler(func(ctx *fasthttp.RequestCtx) { <-release; part(ctx) }))
		b := start(state(u, func(*tables.Tables) {}), patient, func(s *settings.Settings) { s.Egress.Limits = false })
		const together = 6 // three times the replica's slots
		replies := make(chan *swpb.SubReply, together)
		for i := range together {
			go func() {
				reply, _ := b.askOnce(context.Background(), fmt.Sprint("r", i), patience)
				replies <- reply
			}()
		}
		Eventually(u.runs.Load).WithTimeout(patience).Should(BeEquivalentTo(together))
		close(release)
		for range together {
			var reply *swpb.SubReply
			Eventually(replies).WithTimeout(patience).Should(Receive(&reply))
			Expect(string(reply.GetPayload())).To(Equal("part"))
		}
	})

	It("cancels a run that its asker gave up", func() {
		u := newFake()
		release := make(chan struct{})
		DeferCleanup(func() { close(release) })
		u.run.Store(fasthttp.RequestHandler(func(ctx *fasthttp.RequestCtx) { <-release }))
		b := start(state(u, func(*tables.Tables) {}), patient)
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _, _ = b.ask(ctx, "late", patience) }()
		Eventually(u.runs.Load).WithTimeout(patience).Should(BeEquivalentTo(1))
		cancel()
		Eventually(u.cancels).WithTimeout(patience).Should(ContainElement("late"))
	})

	It("goes on over another connection when one goes silent", func() {
		u := newFake()
		release := make(chan struct{})
		DeferCleanup(func() { close(release) })
		// The first run's answer never comes, and the status knows of no run.
		u.run.Store(fasthttp.RequestHandler(func(ctx *fasthttp.RequestCtx) {
			if u.runs.Load() == 1 {
				<-release
			}
			part(ctx)
		}))
		b := start(state(u, func(*tables.Tables) {}))
		reply, err := b.ask(context.Background(), "r", patience)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(reply.GetPayload())).To(Equal("part"))
		Expect(u.runs.Load()).To(BeEquivalentTo(2))
		Expect(u.cancels()).To(ConsistOf("r"))
	})

	It("refuses a request that keeps crashing upstreams, and tells peers", func() {
		u := newFake()
		// Each run of the request ends the upstream: its connections close
		// and it comes back under another start id.
		u.run.Store(fasthttp.RequestHandler(func(ctx *fasthttp.RequestCtx) {
			u.start.Add(1)
			ctx.HijackSetNoResponse(true)
			ctx.Hijack(func(nc net.Conn) { _ = nc.Close() })
		}))
		b := start(state(u, func(*tables.Tables) {}))
		Eventually(func() verdict.Cause {
			reply, err := b.ask(context.Background(), "r", patience)
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(60 * time.Millisecond)
			return verdict.Cause(reply.GetVerdict().GetCause())
		}).WithTimeout(patience).Should(Equal(verdict.Poison))
		Expect(b.viewOf(0).GetSuspects()[0].GetFingerprint()).To(BeEquivalentTo(1))
		u.run.Store(fasthttp.RequestHandler(part))
		reply, err := b.ask(context.Background(), "another", patience)
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.GetVerdict()).To(BeNil())
	})

	It("finishes what it has in hand before it stops", func() {
		u := newFake()
		release := make(chan struct{})
		u.run.Store(fasthttp.RequestHandler(func(ctx *fasthttp.RequestCtx) { <-release; part(ctx) }))
		b := start(state(u, func(*tables.Tables) {}), patient)
		replies := make(chan *swpb.SubReply, 1)
		go func() {
			defer GinkgoRecover()
			reply, err := b.ask(context.Background(), "r", patience)
			Expect(err).NotTo(HaveOccurred())
			replies <- reply
		}()
		Eventually(u.runs.Load).WithTimeout(patience).Should(BeEquivalentTo(1))
		stopped := make(chan error, 1)
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		go func() { stopped <- b.kernel.Stop(ctx) }()
		Eventually(b.svc.Ready).WithTimeout(patience).Should(MatchError(egress.ErrStopping))
		close(release)
		var reply *swpb.SubReply
		Eventually(replies).WithTimeout(patience).Should(Receive(&reply))
		Expect(reply.GetVerdict()).To(BeNil())
		Expect(string(reply.GetPayload())).To(Equal("part"))
		Eventually(stopped).WithTimeout(patience).Should(Receive(Succeed()))
	})
})

var _ = DescribeTable("a refusal is not run",
	func(cause verdict.Cause, change func(*tables.Tables, *fleetstate.State)) {
		u := newFake()
		st := state(u, func(*tables.Tables) {})
		change(st.Tables, st)
		b := start(st)
		reply, err := b.ask(context.Background(), "r", patience)
		Expect(err).NotTo(HaveOccurred())
		v := verdict.FromProto(reply.GetVerdict())
		Expect(v).NotTo(BeNil())
		Expect(v.Outcome).To(Equal(verdict.NotRun), v.Error())
		Expect(v.Cause).To(Equal(cause), v.Error())
		Expect(u.runs.Load()).To(BeZero())
	},
	Entry("unknown replica", verdict.NoReplica, func(t *tables.Tables, _ *fleetstate.State) { t.Pools["p"].Upstreams = nil }),
	Entry("zone out", verdict.ZoneOut, func(t *tables.Tables, _ *fleetstate.State) { t.ZonesOut["a"] = true }),
	Entry("leaving by the tables", verdict.Draining, func(t *tables.Tables, _ *fleetstate.State) { t.Pools["p"].Upstreams[0].Leaving = true }),
	Entry("leaving by the VM list", verdict.Draining, func(_ *tables.Tables, s *fleetstate.State) { s.Leaving["u"] = true }),
	Entry("not the owner", verdict.NotOwner, func(_ *tables.Tables, s *fleetstate.State) { s.Members[0].Node = "vm-9" }),
	Entry("no connection", verdict.ConnectFailed, func(t *tables.Tables, _ *fleetstate.State) { t.Pools["p"].Upstreams[0].Addr = "127.0.0.1:1" }),
)

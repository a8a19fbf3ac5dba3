package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/sapphirewall/sapphirewall/internal/claims"
	"github.com/sapphirewall/sapphirewall/internal/fleetstate"
	"github.com/sapphirewall/sapphirewall/internal/kernel"
	"github.com/sapphirewall/sapphirewall/internal/launch"
	"github.com/sapphirewall/sapphirewall/internal/peer"
	"github.com/sapphirewall/sapphirewall/internal/platform"
	"github.com/sapphirewall/sapphirewall/internal/settings"
	standinplatform "github.com/sapphirewall/sapphirewall/internal/standin/platform"
	"github.com/sapphirewall/sapphirewall/internal/tables"
	"github.com/sapphirewall/sapphirewall/internal/telemetry"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

func TestEntry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "entry")
}

// waitTimeout limits the waits of the tests, which take far less over loopback.
const waitTimeout = 10 * time.Second

// fleetStateService makes a fleetstate.Holder a kernel service.
type fleetStateService struct {
	*fleetstate.Holder
	name string
}

func (s fleetStateService) Name() string                              { return s.name }
func (fleetStateService) Needs() []string                             { return nil }
func (fleetStateService) Start(context.Context, *kernel.Kernel) error { return nil }
func (fleetStateService) Stop(context.Context) error                  { return nil }
func (fleetStateService) Ready() error                                { return nil }

// fakeEgress is the owner of every replica. It answers view requests from views
// and sub-requests through respond.
type fakeEgress struct {
	mu       sync.Mutex
	version  uint64
	views    []*swpb.ReplicaView
	respond  func(ctx context.Context, r *swpb.SubRequest) (*swpb.SubReply, error)
	received []*swpb.SubRequest
}

func (f *fakeEgress) Handle(ctx context.Context, _ peer.Identity, env *swpb.Envelope) (*swpb.Envelope, error) {
	if v := env.GetViewRequest(); v != nil {
		return f.awaitView(ctx, v)
	}
	r := env.GetSubRequest()
	f.mu.Lock()
	f.received = append(f.received, r)
	respond := f.respond
	f.mu.Unlock()
	reply, err := respond(ctx, r)
	if err != nil {
		return nil, err
	}
	return &swpb.Envelope{Body: &swpb.Envelope_SubReply{SubReply: reply}}, nil
}

func (f *fakeEgress) awaitView(ctx context.Context, v *swpb.ViewRequest) (*swpb.Envelope, error) {
	for ctx.Err() == nil {
		f.mu.Lock()
		reply := &swpb.ViewReply{Version: f.version, Replicas: f.views}
		f.mu.Unlock()
		if reply.Version != v.GetHave() {
			return &swpb.Envelope{Body: &swpb.Envelope_ViewReply{ViewReply: reply}}, nil
		}
		sleep(ctx, time.Millisecond)
	}
	return nil, ctx.Err()
}

// setSnapshots makes every replica of the tables hold the snapshots.
func (f *fakeEgress) setSnapshots(t *tables.Tables, snapshots ...uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.views = nil
	for _, p := range t.Pools {
		for _, u := range p.Upstreams {
			v := &swpb.ReplicaView{Replica: u.ID, Pool: p.Name, State: swpb.ReplicaState_REPLICA_STATE_READY}
			for _, s := range snapshots {
				v.Snapshots = append(v.Snapshots, &swpb.HeldSnapshot{Snapshot: s, Range: shardRange(u.Shard, p.Shards), Shard: uint32(u.Shard), ShardCount: uint32(p.Shards)})
			}
			f.views = append(f.views, v)
		}
	}
}

func (f *fakeEgress) respondWith(respond func(context.Context, *swpb.SubRequest) (*swpb.SubReply, error)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.respond = respond
	f.received = nil
}

func (f *fakeEgress) requests() []*swpb.SubRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*swpb.SubRequest(nil), f.received...)
}

func shardRange(shard, shards int) *swpb.KeyRange {
	return &swpb.KeyRange{Lo: uint32(tables.KeySpace * shard / shards), Hi: uint32(tables.KeySpace * (shard + 1) / shards)}
}

// linesShards is the number of shards of the pool "lines". The pool "ledger" has
// one.
const linesShards = 3

// goodReply returns a valid reply to a sub-request. Its payload is the shard's
// index plus one.
func goodReply(_ context.Context, r *swpb.SubRequest) (*swpb.SubReply, error) {
	shards := linesShards
	if r.GetPool() == "ledger" {
		shards = 1
	}
	return &swpb.SubReply{
		RequestId: r.GetRequestId(), Attempt: r.GetAttempt(), Snapshot: max(r.GetSnapshot(), 1),
		Range: shardRange(int(r.GetShard()), shards), Payload: fmt.Append(nil, r.GetShard()+1),
	}, nil
}

func testTables() *tables.Tables {
	pool := func(name string, shards int) *tables.Pool {
		p := &tables.Pool{Name: name, Shards: shards}
		for s := range shards {
			for _, zone := range []string{"a", "b", "c"} {
				p.Upstreams = append(p.Upstreams, tables.Upstream{ID: fmt.Sprintf("%s-%d-%s", name, s, zone), Zone: zone, Shard: s})
			}
		}
		return p
	}
	route := func(name string, m tables.Merge, pools ...string) *tables.Route {
		return &tables.Route{Name: name, Merge: m, Pools: pools, Deadline: 2 * time.Second, Partial: true, Idempotent: true}
	}
	strict := route("strict", tables.MergeConcat, "lines")
	strict.Partial = false
	half := route("half", tables.MergeConcat, "lines")
	half.MinCoverage = 0.5
	act := route("act", tables.MergeFirst, "ledger")
	act.Kind = tables.Action
	act.Idempotent = false
	t := &tables.Tables{Revision: 7, Routes: map[string]*tables.Route{}, Pools: map[string]*tables.Pool{"lines": pool("lines", linesShards), "ledger": pool("ledger", 1)}}
	for _, r := range []*tables.Route{route("all", tables.MergeConcat, "lines", "ledger"), route("sum", tables.MergeSum, "lines"), strict, half, act} {
		t.Routes[r.Name] = r
	}
	return t
}

// bench runs an entry service with a fake egress process and real claims services.
type bench struct {
	*Service
	egress *fakeEgress
	fleet  fleetStateService
	server *peer.Server
	kernel *kernel.Kernel
	store  *standinplatform.Store
	claims []*claims.Service
}

// KV makes bench usable as a platform service.
func (b *bench) KV() platform.KV { return b.store }

// platformService is the kernel service of bench's platform.
type platformService struct {
	fleetStateService
	*bench
}

func (platformService) Name() string                                { return "platform" }
func (platformService) Needs() []string                             { return nil }
func (platformService) Ready() error                                { return nil }
func (platformService) Stop(context.Context) error                  { return nil }
func (platformService) Start(context.Context, *kernel.Kernel) error { return nil }

// stopKernel stops a kernel at the end of a test, when no request is in flight.
func stopKernel(k *kernel.Kernel) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout/50)
	defer cancel()
	_ = k.Stop(ctx)
}

// startControl starts the claims service of a node, as its control process, and
// returns the address.
func (b *bench) startControl(node string) string {
	k := kernel.New(zerolog.Nop())
	c := claims.New(node, settings.Default().Platform)
	Expect(k.Register(platformService{bench: b})).To(Succeed())
	Expect(k.Register(fleetStateService{b.fleet.Holder, "control"})).To(Succeed())
	Expect(k.Register(c)).To(Succeed())
	Expect(k.Start(context.Background())).To(Succeed())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	srv := peer.Serve(ln, peer.Options{Self: peer.Identity{Fleet: "sapphirewall", Node: node, Role: peer.RoleControl}}, c)
	DeferCleanup(func() {
		srv.Close()
		stopKernel(k)
	})
	b.claims = append(b.claims, c)
	return srv.Addr()
}

func newBench(change func(*settings.Settings)) *bench {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	b := &bench{egress: &fakeEgress{respond: goodReply}, fleet: fleetStateService{fleetstate.NewHolder(), fleetstate.ServiceName}, kernel: kernel.New(zerolog.Nop()), store: standinplatform.NewStore(time.Now)}
	b.server = peer.Serve(ln, peer.Options{Self: peer.Identity{Fleet: "sapphirewall", Node: "vm-1", Role: peer.RoleEgress}}, b.egress)
	DeferCleanup(b.server.Close)
	t := testTables()
	b.egress.setSnapshots(t, 1)
	b.fleet.Store(&fleetstate.State{Version: 1, Tables: t, Members: []fleetstate.Member{{Node: "vm-1", Zone: "a", State: fleetstate.Alive, EgressAddr: b.server.Addr(), ControlAddr: b.startControl("vm-1")}}})
	set := settings.Default()
	set.Entry.Listen = "127.0.0.1:0"
	if change != nil {
		change(set)
	}
	b.Service = New(&launch.Env{Settings: set, Log: zerolog.Nop(), Tracer: telemetry.NoopTracer()})
	Expect(b.kernel.Register(b.fleet)).To(Succeed())
	Expect(b.kernel.Register(b.Service)).To(Succeed())
	Expect(b.kernel.Start(context.Background())).To(Succeed())
	DeferCleanup(func() { stopKernel(b.kernel) })
	b.waitForSnapshot("all", 1)
	return b
}

// waitForSnapshot waits until the route is planned on the full snapshot id.
func (b *bench) waitForSnapshot(route string, id uint64) {
	Eventually(func() uint64 {
		c := b.current.Load()
		if p := c.pin(c.state.Tables.Routes[route]); p != nil && p.Full() {
			return p.Snapshot
		}
		return 0
	}).WithTimeout(waitTimeout).Should(Equal(id))
}

// reply is an HTTP response.
type reply struct {
	status  int
	header  http.Header
	body    string
	problem verdict.Problem
}

func (b *bench) post(route, body string, headers ...string) reply {
	req, err := http.NewRequest(http.MethodPost, "http://"+b.Addr()+pathPrefix+route, bytes.NewReader([]byte(body)))
	Expect(err).NotTo(HaveOccurred())
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	Expect(err).NotTo(HaveOccurred())
	out := reply{status: res.StatusCode, header: res.Header, body: string(text)}
	if res.Header.Get("Content-Type") == verdict.ProblemType {
		Expect(json.Unmarshal(text, &out.problem)).To(Succeed())
	}
	return out
}

// failShard answers like goodReply, except that one shard of a pool fails with v.
func failShard(pool string, shard uint32, v *verdict.Error) func(context.Context, *swpb.SubRequest) (*swpb.SubReply, error) {
	return func(ctx context.Context, r *swpb.SubRequest) (*swpb.SubReply, error) {
		if r.GetPool() == pool && r.GetShard() == shard {
			return &swpb.SubReply{RequestId: r.GetRequestId(), Attempt: r.GetAttempt(), Verdict: verdict.ToProto(v)}, nil
		}
		return goodReply(ctx, r)
	}
}

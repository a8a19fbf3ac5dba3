package bench

import (
	"context"
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/sapphirewall/sapphirewall/internal/fleetstate"
	"github.com/sapphirewall/sapphirewall/internal/kernel"
	"github.com/sapphirewall/sapphirewall/internal/launch"
	"github.com/sapphirewall/sapphirewall/internal/peer"
	"github.com/sapphirewall/sapphirewall/internal/settings"
	"github.com/sapphirewall/sapphirewall/internal/tables"
	"github.com/sapphirewall/sapphirewall/internal/telemetry"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// stateService makes a fleetstate.Holder a kernel service.
type stateService struct{ *fleetstate.Holder }

func (stateService) Name() string                                { return fleetstate.ServiceName }
func (stateService) Needs() []string                             { return nil }
func (stateService) Start(context.Context, *kernel.Kernel) error { return nil }
func (stateService) Stop(context.Context) error                  { return nil }
func (stateService) Ready() error                                { return nil }

// newEnv returns an environment that listens on free ports and has a service with
// the fleet state s.
func newEnv(s *fleetstate.State) *launch.Env {
	set := settings.Default()
	set.Entry.Listen, set.Egress.Listen, set.Control.Listen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	h := fleetstate.NewHolder()
	h.Store(s)
	env := &launch.Env{Settings: set, Log: zerolog.Nop(), Tracer: telemetry.NoopTracer(), Kernel: kernel.New(zerolog.Nop())}
	_ = env.Kernel.Register(stateService{h})
	return env
}

// tablesText returns tables with one query route over one pool that has the given
// numbers of replicas and shards.
func tablesText(replicas, shards int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "[route wide]\nkind = query\npools = p\ndeadline = 2s\n\n[pool p]\nshards = %d\nslots = 1000\nconnections = 1000\nconnect-cost = 1ms\ncold-slots = 1000\n", shards)
	for i := range replicas {
		fmt.Fprintf(&b, "upstream.p-%d = 127.%d.%d.%d:9000 zone=zone-%d shard=%d version=v1\n", i, 100+i/62500, i/250%250, i%250+1, i%13, i%shards)
	}
	return []byte(b.String())
}

func parseTables(tb testing.TB, text []byte) *tables.Tables {
	t, err := tables.Parse(tables.Source{Name: "tables", Text: text})
	if err != nil {
		tb.Fatal(err)
	}
	t.Revision = 1
	return t
}

// fakeOwner is an egress process that answers sub-requests at once.
type fakeOwner struct{ tables *tables.Tables }

func (f fakeOwner) Handle(ctx context.Context, _ peer.Identity, env *swpb.Envelope) (*swpb.Envelope, error) {
	if v := env.GetViewRequest(); v != nil {
		if v.GetHave() > 0 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return &swpb.Envelope{Body: &swpb.Envelope_ViewReply{ViewReply: f.view()}}, nil
	}
	r := env.GetSubRequest()
	return &swpb.Envelope{Body: &swpb.Envelope_SubReply{SubReply: &swpb.SubReply{
		RequestId: r.GetRequestId(), Attempt: r.GetAttempt(), Snapshot: 1, Payload: partPayload,
		Range: keyRange(int(r.GetShard()), f.tables.Pools["p"].Shards),
		Load:  &swpb.ReplicaLoad{Replica: r.GetReplica(), Limit: 4, InFlight: 1, LatencyUs: 4000, State: swpb.ReplicaState_REPLICA_STATE_READY},
	}}}, nil
}

// partPayload has the size of a part of the stand-in upstreams.
var partPayload = []byte(`{"request":"vm-1-00000000-123456","pool":"p","snapshot":1,"lo":0,"hi":2621,"sum":123456789012,"payload_hash":"0123456789abcdef"}`)

func (f fakeOwner) view() *swpb.ViewReply {
	out := &swpb.ViewReply{Version: 1}
	p := f.tables.Pools["p"]
	for _, u := range p.Upstreams {
		out.Replicas = append(out.Replicas, &swpb.ReplicaView{
			Replica: u.ID, Pool: "p", State: swpb.ReplicaState_REPLICA_STATE_READY, StartId: "1",
			Snapshots: []*swpb.HeldSnapshot{{Snapshot: 1, Range: keyRange(u.Shard, p.Shards), Shard: uint32(u.Shard), ShardCount: uint32(p.Shards)}},
		})
	}
	return out
}

func keyRange(shard, shards int) *swpb.KeyRange {
	return &swpb.KeyRange{Lo: uint32(tables.KeySpace * shard / shards), Hi: uint32(tables.KeySpace * (shard + 1) / shards)}
}

// serveOwners starts n fake owners and returns them as members of the fleet.
func serveOwners(tb testing.TB, t *tables.Tables, n int) []fleetstate.Member {
	var out []fleetstate.Member
	for i := range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			tb.Fatal(err)
		}
		zone := fmt.Sprintf("zone-%d", i)
		srv := peer.Serve(ln, peer.Options{Self: peer.Identity{Fleet: "sapphirewall", Node: fmt.Sprint(i), Zone: zone, Role: peer.RoleEgress}}, fakeOwner{t})
		tb.Cleanup(srv.Close)
		out = append(out, fleetstate.Member{Node: fmt.Sprint(i), Zone: zone, State: fleetstate.Alive, EgressAddr: srv.Addr()})
	}
	return out
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// reportCPU reports the processor time per unit of n units, where begin is the
// processor time at the start of the measurement.
func reportCPU(b *testing.B, begin time.Duration, n int, unit string) {
	b.ReportMetric(float64(cpuTime()-begin)/float64(time.Microsecond)/float64(n), "cpu-us/"+unit)
}

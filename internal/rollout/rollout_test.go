package rollout

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	decide "github.com/sapphirewall/sapphirewall/internal/decide/rollout"
	"github.com/sapphirewall/sapphirewall/internal/fleetstate"
	"github.com/sapphirewall/sapphirewall/internal/peer"
	"github.com/sapphirewall/sapphirewall/internal/rolloutstore"
	standinplatform "github.com/sapphirewall/sapphirewall/internal/standin/platform"
	"github.com/sapphirewall/sapphirewall/internal/tables"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

func TestRolloutService(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "rollout service")
}

// vm is a control process with the service under test and a simulated egress
// process that reports to it. It implements Control.
type vm struct {
	*fleetstate.Holder
	fleet   *fleet
	name    string
	service *Service
	server  *peer.Server

	mu    sync.Mutex
	alive bool
	sums  [2]swpb.VersionStats // old, new
}

func (v *vm) Members() []fleetstate.Member {
	var out []fleetstate.Member
	for _, o := range v.fleet.vms {
		o.mu.Lock()
		state := fleetstate.Alive
		if !o.alive {
			state = fleetstate.Gone
		}
		out = append(out, fleetstate.Member{Node: o.name, Zone: "a", State: state, ControlAddr: o.server.Addr()})
		o.mu.Unlock()
	}
	return out
}

func (v *vm) change(f func(*fleetstate.State)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := *v.Current()
	f(&next)
	v.Store(&next)
}

func (v *vm) AddVetoes(list ...fleetstate.Veto) {
	v.change(func(s *fleetstate.State) { s.Vetoes = append(append([]fleetstate.Veto(nil), s.Vetoes...), list...) })
}

func (v *vm) SetStages(list []fleetstate.RolloutStage) {
	v.change(func(s *fleetstate.State) { s.Stages = list })
}

// serve adds n requests to the counts of each version, and failed errors to
// those of the new version, and reports the counts to the service.
func (v *vm) serve(n, failed uint64) {
	v.mu.Lock()
	for i, version := range []string{"v1", "v2"} {
		s := &v.sums[i]
		s.Pool, s.Version, s.Route = "p", version, "r"
		s.Requests += n
		s.LatencyBuckets = make([]uint64, decide.Buckets)
		s.LatencyBuckets[4] = s.Requests
	}
	v.sums[1].Errors += failed
	report := &swpb.StatsReport{Node: v.name, Incarnation: 1}
	for i := range v.sums {
		report.Stats = append(report.Stats, &swpb.VersionStats{
			Pool: "p", Version: v.sums[i].Version, Route: "r", Requests: v.sums[i].Requests,
			Errors: v.sums[i].Errors, LatencyBuckets: v.sums[i].LatencyBuckets,
		})
	}
	v.mu.Unlock()
	v.service.Report(peer.Identity{Node: v.name, Role: peer.RoleEgress}, report)
}

type fleet struct {
	vms   []*vm
	store *standinplatform.Store
	pool  *tables.Pool
}

func newFleet(n int, start time.Time, store *standinplatform.Store) *fleet {
	f := &fleet{store: store}
	f.pool = &tables.Pool{Name: "p", Upstreams: []tables.Upstream{{Version: "v1"}, {Version: "v2"}}, Rollout: &tables.Rollout{From: "v1", To: "v2", Share: 1, Start: start, End: start.Add(70 * time.Second)}}
	for i := range n {
		v := &vm{Holder: fleetstate.NewHolder(), fleet: f, name: fmt.Sprint("vm-", i), alive: true}
		v.Store(&fleetstate.State{Tables: &tables.Tables{Revision: 3, Pools: map[string]*tables.Pool{"p": f.pool}}})
		v.service = New(Config{Node: v.name, Log: zerolog.Nop(), Peer: peer.Options{Self: peer.Identity{Fleet: "f", Node: v.name, Role: peer.RoleControl}}})
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		v.server = peer.Serve(ln, peer.Options{Self: peer.Identity{Fleet: "f"}}, peer.HandlerFunc(func(_ context.Context, from peer.Identity, req *swpb.Envelope) (*swpb.Envelope, error) {
			reply := v.service.Report(from, req.GetStatsReport())
			return &swpb.Envelope{Body: &swpb.Envelope_StatsReply{StatsReply: reply}}, nil
		}))
		f.vms = append(f.vms, v)
	}
	for _, v := range f.vms {
		v.service.start(context.Background(), v, f.store)
		DeferCleanup(func() {
			v.server.Close()
			Expect(v.service.Stop(context.Background())).To(Succeed())
		})
	}
	return f
}

func rolloutStart() time.Time { return time.Now().Add(-time.Minute).Truncate(time.Second) }

func (f *fleet) id() rolloutID { return rolloutID{"p", "v2", f.pool.Rollout.Start.Unix()} }

func (f *fleet) recordedPhase() rolloutstore.Phase {
	r, _ := rolloutstore.Store{KV: f.store}.Get(context.Background(), "p", "v2", f.pool.Rollout.Start)
	return r.Phase
}

// serveUntil makes every egress process serve and report until cond holds.
func (f *fleet) serveUntil(failed uint64, cond func() bool) {
	Eventually(func() bool {
		for _, v := range f.vms {
			v.serve(50, failed)
		}
		return cond()
	}, "20s", "50ms").Should(BeTrue())
}

func (f *fleet) allNodes(ok func(decide.Progress) bool) func() bool {
	return func() bool {
		for _, v := range f.vms {
			if !ok(v.Current().Rollout(f.pool)) {
				return false
			}
		}
		return true
	}
}

func isVetoed(p decide.Progress) bool { return p.Vetoed }

var _ = Describe("the service", func() {
	It("rolls a bad version back on every node while the platform is down, and records it later", func() {
		f := newFleet(3, rolloutStart(), standinplatform.NewStore(time.Now))
		f.store.SetFaults(standinplatform.Faults{Down: true})
		f.serveUntil(40, f.allNodes(isVetoed))
		Expect(f.recordedPhase()).To(BeEmpty())
		f.store.SetFaults(standinplatform.Faults{LoseReplies: 3})
		Eventually(f.recordedPhase, "20s").Should(Equal(rolloutstore.RolledBack))
		for _, v := range f.vms {
			Expect(v.Current().VersionFor(f.pool, time.Now(), "x")).To(Equal("v1"))
			Expect(v.Current().Vetoes[0].Reason).To(ContainSubstring("errors"))
		}
	})
	It("completes the rollout of a good version and records it as done, also when a judge fails", func() {
		f := newFleet(4, rolloutStart(), standinplatform.NewStore(time.Now))
		f.serveUntil(0, f.allNodes(func(p decide.Progress) bool { return p.Stage >= 1 }))
		first := judgeNodes(f.id(), f.vms[0].Members())[0]
		for _, v := range f.vms {
			if v.name == first {
				v.server.Close()
				v.mu.Lock()
				v.alive = false
				v.mu.Unlock()
			}
		}
		f.serveUntil(0, func() bool { return f.recordedPhase() == rolloutstore.Done })
		Expect(f.vms[1].service.RolloutStatus()).To(HaveLen(1))
	})
	It("reads from the platform what was rolled back before a full restart", func() {
		f := newFleet(1, rolloutStart(), standinplatform.NewStore(time.Now))
		f.serveUntil(40, func() bool { return f.recordedPhase() == rolloutstore.RolledBack })
		restarted := newFleet(1, f.pool.Rollout.Start, f.store)
		Eventually(restarted.allNodes(isVetoed), "20s").Should(BeTrue())
	})
})

var _ = Describe("the recorder", func() {
	ctx := context.Background()
	It("rejects writes of a lease holder that was paused until after its lease expired", func() {
		now := time.Unix(0, 0)
		kv := standinplatform.NewStore(func() time.Time { return now })
		previous, next := newRecorder(kv, "", "old"), newRecorder(kv, "", "young")
		rec := rolloutstore.Record{Pool: "p", Version: "v2", Start: now, Phase: rolloutstore.Done}
		fence, _, err := previous.acquire(ctx)
		Expect(err).NotTo(HaveOccurred())
		_, _, err = next.acquire(ctx)
		Expect(err).To(MatchError(errLeaseHeld))
		seen, err := previous.store.SetFence(ctx, rolloutstore.Record{}, rolloutstore.Record{Pool: "p", Version: "v2", Start: now, Fence: fence})
		Expect(err).NotTo(HaveOccurred())
		now = now.Add(2 * leaseTTL)
		newFence, release, err := next.acquire(ctx)
		Expect(err).NotTo(HaveOccurred())
		rolledBack := rec
		rolledBack.Phase = rolloutstore.RolledBack
		_, err = next.write(ctx, rolledBack, newFence)
		Expect(err).NotTo(HaveOccurred())
		release()
		_, err = previous.store.Put(ctx, seen, rolloutstore.Record{Pool: "p", Version: "v2", Start: now, Phase: rolloutstore.Done, Fence: fence})
		Expect(err).To(HaveOccurred())
		_, err = previous.write(ctx, rec, fence)
		Expect(err).NotTo(HaveOccurred(), "a record of a later phase is kept")
		got, err := previous.store.Get(ctx, "p", "v2", time.Unix(0, 0))
		Expect(err).NotTo(HaveOccurred())
		Expect(got.Phase).To(Equal(rolloutstore.RolledBack))
	})
})

package limitexchange_test

import (
	"context"
	"errors"
	"math"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/sapphirewall/sapphirewall/internal/decide/upstreamlimit"
	"github.com/sapphirewall/sapphirewall/internal/limitexchange"
	"github.com/sapphirewall/sapphirewall/internal/vmregistry"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

func TestLimitExchange(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "limitexchange")
}

// tier is the limits that a VM knows, by upstream.
type tier struct {
	mu        sync.Mutex
	limits    map[string]*upstreamlimit.Limit
	changedAt time.Time
}

func newTier() *tier { return &tier{limits: map[string]*upstreamlimit.Limit{}} }

func (t *tier) LimitReports(time.Time) ([]upstreamlimit.Report, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []upstreamlimit.Report
	for id, l := range t.limits {
		rate, _ := l.Rate()
		out = append(out, upstreamlimit.Report{Upstream: id, Start: 7, Rate: rate, HeardAt: l.HeardAt()})
	}
	return out, t.changedAt
}

func (t *tier) MergeLimits(now time.Time, reports []upstreamlimit.Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range reports {
		if t.limits[r.Upstream] == nil {
			t.limits[r.Upstream] = &upstreamlimit.Limit{}
		}
		if t.limits[r.Upstream].Merge(r.HeardAt, r.Rate) {
			t.changedAt = now
		}
	}
}

// hear records that the VM hears a rate from an upstream, 0 for none.
func (t *tier) hear(upstream string, rate float64) {
	t.MergeLimits(time.Now(), []upstreamlimit.Report{{Upstream: upstream, Rate: rate, HeardAt: time.Now()}})
}

func (t *tier) rate(upstream string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.limits[upstream] == nil {
		return 0
	}
	rate, _ := t.limits[upstream].Rate()
	return rate
}

// fleet is VMs that call each other without a network.
type fleet struct {
	tiers    map[string]*tier
	services map[string]*limitexchange.Service
	cut      sync.Map // addresses that don't answer
}

var errCut = errors.New("cut off")

func startFleet(names ...string) *fleet {
	f := &fleet{tiers: map[string]*tier{}, services: map[string]*limitexchange.Service{}}
	var nodes []vmregistry.Node
	for _, name := range names {
		nodes = append(nodes, vmregistry.Node{Name: name, Addr: name})
		f.tiers[name] = newTier()
		f.services[name] = limitexchange.New(name, f.tiers[name], f.call, zerolog.Nop())
	}
	for _, name := range names {
		s := f.services[name]
		s.SetNodes(nodes)
		Expect(s.Start(context.Background(), nil)).To(Succeed())
		DeferCleanup(func() { Expect(s.Stop(context.Background())).To(Succeed()) })
	}
	return f
}

func (f *fleet) call(_ context.Context, addr string, env *swpb.Envelope) (*swpb.Envelope, error) {
	if _, cut := f.cut.Load(addr); cut {
		return nil, errCut
	}
	return &swpb.Envelope{Body: &swpb.Envelope_LimitExchange{LimitExchange: f.services[addr].Handle(env.GetLimitExchange())}}, nil
}

var _ = Describe("VMs that exchange limits", func() {
	It("all learn a limit and its end, also from others than the VM that heard it", func() {
		f := startFleet("a", "b", "c", "d")
		f.tiers["a"].hear("u", 4)
		for _, t := range f.tiers {
			Eventually(func() float64 { return t.rate("u") }, "4s").Should(Equal(4.0))
		}
		f.cut.Store("a", true)
		f.tiers["b"].hear("u", 0)
		for _, name := range []string{"c", "d"} {
			Eventually(func() float64 { return f.tiers[name].rate("u") }, "4s").Should(BeZero())
		}
	})

	It("keep what they have heard since", func() {
		f := startFleet("a", "b")
		f.tiers["b"].hear("u", 9)
		f.services["b"].Handle(&swpb.LimitExchange{Limits: []*swpb.UpstreamLimit{{Upstream: "u", Start: 7, PerSecond: 2, AgeMs: 5000}}})
		Expect(f.tiers["b"].rate("u")).To(Equal(9.0))
	})

	It("ignore rates that are none, and replies of a build that does not know the call", func() {
		f := startFleet("a")
		for _, rate := range []float64{math.NaN(), math.Inf(1), -1} {
			f.services["a"].Handle(&swpb.LimitExchange{Limits: []*swpb.UpstreamLimit{{Upstream: "u", PerSecond: rate}}})
		}
		Expect(f.tiers["a"].rate("u")).To(BeZero())
		reply := &swpb.Envelope{Body: &swpb.Envelope_StoreReply{StoreReply: &swpb.StoreReply{}}}
		Expect(f.services["a"].Handle(reply.GetLimitExchange()).GetLimits()).To(BeEmpty())
	})
})

package hedge_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sapphirewall/sapphirewall/internal/decide/hedge"
)

func TestHedge(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "hedge")
}

func lognormal(rng *rand.Rand, mean time.Duration) time.Duration {
	const sigma = 0.8
	return time.Duration(float64(mean) * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2))
}

// policy is a hedging policy under test.
type policy interface {
	CountFirst()
	Observe(time.Duration)
	ObserveLoad(float64)
	Delay() (time.Duration, bool)
	Allow() bool
}

// unbounded is the baseline: it hedges after a fixed delay, without a budget.
type unbounded struct{}

func (unbounded) CountFirst()                  {}
func (unbounded) Observe(time.Duration)        {}
func (unbounded) ObserveLoad(float64)          {}
func (unbounded) Delay() (time.Duration, bool) { return 10 * time.Millisecond, true }
func (unbounded) Allow() bool                  { return true }

// hedges returns the number of hedges for n parts with lognormal latencies of a
// mean.
func hedges(p policy, rng *rand.Rand, n int, mean time.Duration, load float64) int {
	count := 0
	for range n {
		p.CountFirst()
		p.ObserveLoad(load)
		latency := lognormal(rng, mean)
		if d, ok := p.Delay(); ok && latency > d && p.Allow() {
			count++
		}
		p.Observe(latency)
	}
	return count
}

var _ = Describe("Hedger", func() {
	const parts = 20000
	rng := func() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

	It("tracks the quantile, also after the latencies change", func() {
		h, r := hedge.New(), rng()
		for _, mean := range []time.Duration{4 * time.Millisecond, 40 * time.Millisecond, 2 * time.Millisecond} {
			hedges(h, r, parts, mean, 0)
			late := 0
			d, ok := h.Delay()
			Expect(ok).To(BeTrue())
			for range parts {
				if lognormal(r, mean) > d {
					late++
				}
			}
			Expect(float64(late) / parts).To(BeNumerically("~", 1-hedge.Quantile, 0.02))
		}
	})

	It("stays within its share when a whole pool slows down; hedging without a budget does not", func() {
		for _, mean := range []time.Duration{4 * time.Millisecond, 400 * time.Millisecond} {
			Expect(hedges(hedge.New(), rng(), parts, mean, 0.5)).To(BeNumerically("<=", 0.05*parts))
		}
		Expect(hedges(unbounded{}, rng(), parts, 400*time.Millisecond, 0.5)).To(BeNumerically(">", 0.9*parts))
	})

	It("falls to nothing under overload; hedging without a budget does not", func() {
		h, r := hedge.New(), rng()
		Expect(hedges(h, r, parts, 4*time.Millisecond, 0.5)).To(BeNumerically(">", 0.02*parts))
		hedges(h, r, 100, 4*time.Millisecond, 1)
		Expect(hedges(h, r, parts, 4*time.Millisecond, 1)).To(BeZero())
		Expect(hedges(unbounded{}, r, parts, 4*time.Millisecond, 1)).NotTo(BeZero())
	})

	It("stays within its budget for every order of events", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			h := hedge.New()
			first, allowed := 0, 0
			for range rapid.IntRange(1, 2000).Draw(t, "events") {
				switch rapid.IntRange(0, 3).Draw(t, "event") {
				case 0:
					h.CountFirst()
					first++
				case 1:
					h.Observe(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "latency")))
				case 2:
					h.ObserveLoad(rapid.Float64Range(0, 4).Draw(t, "load"))
				case 3:
					if h.Allow() {
						allowed++
					}
				}
				if float64(allowed) > hedge.MaxShare*float64(first)+1e-6 {
					t.Fatalf("%d hedges for %d first attempts", allowed, first)
				}
			}
		})
	})
})

func BenchmarkHedger(b *testing.B) {
	h := hedge.New()
	b.ReportAllocs()
	for i := range b.N {
		h.CountFirst()
		h.ObserveLoad(0.5)
		h.Observe(time.Duration(i%1000) * time.Microsecond)
		if _, ok := h.Delay(); ok {
			h.Allow()
		}
	}
}

var _ = DescribeTable("room for a hedge",
	func(busy, limit int, want bool) { Expect(hedge.HasRoom(busy, limit)).To(Equal(want)) },
	Entry("idle", 0, 4, true),
	Entry("a quarter full", 1, 4, true),
	Entry("half full", 2, 4, false),
	Entry("single slot taken", 1, 1, false),
	Entry("limit not known", 9, 0, true),
)

package tail

import (
	"fmt"
	"sync"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestTail(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "tail")
}

// The target values.
const (
	maxStragglerRatio = 1.25 // p99 with stragglers relative to the healthy p99
	minHedgeGain      = 0.20 // share by which hedging lowers the healthy p99
	maxExtraLoad      = 0.05 // hedges per first attempt
)

// seeds of the simulations whose results are merged. One alone has too few slow queries
// for a stable p99.
var seeds = []uint64{7, 8, 9, 10}

// result is the measurement of one policy without and with stragglers.
type result struct{ healthy, stragglers measurement }

func (r result) ratio() float64 { return r.stragglers.p99 / r.healthy.p99 }

// measurement has latencies in ms. hedgeShare is the number of hedges per first attempt.
type measurement struct{ p50, p99, hedgeShare float64 }

// runAll simulates a policy with every seed in parallel and merges the results.
func runAll(p policy, stragglers bool) measurement {
	seeds := seeds
	if !p.twoChoices {
		seeds = seeds[:1] // without load-based picking the queues grow without bound
	}
	sims := make([]*sim, len(seeds))
	var wg sync.WaitGroup
	for i, seed := range seeds {
		wg.Go(func() { sims[i] = simulate(p, stragglers, seed) })
	}
	wg.Wait()
	all := sims[0]
	for _, s := range sims[1:] {
		all.latencies.Merge(s.latencies)
		all.hedges += s.hedges
		all.firstAttempts += s.firstAttempts
	}
	return measurement{all.percentileMs(50), all.percentileMs(99), float64(all.hedges) / float64(all.firstAttempts)}
}

// measure simulates all policies once and prints their measurements.
var measure = sync.OnceValue(func() map[string]result {
	results := map[string]result{}
	fmt.Printf("%-24s %26s %26s %8s\n", "policy", "healthy p50/p99 ms", "stragglers p50/p99 ms", "extra")
	for _, p := range []policy{
		{name: "random"},
		{name: "two choices", twoChoices: true},
		{name: "two choices, eject", twoChoices: true, eject: true},
		{name: "all", twoChoices: true, eject: true, hedge: true},
	} {
		r := result{runAll(p, false), runAll(p, true)}
		results[p.name] = r
		fmt.Printf("%-24s %15.1f %10.1f %15.1f %10.1f %7.1f%%\n", p.name, r.healthy.p50, r.healthy.p99, r.stragglers.p50, r.stragglers.p99, 100*r.stragglers.hedgeShare)
	}
	return results
})

var _ = Describe("complete queries over 25 shards", func() {
	It("keep their tail latency with stragglers if these are ejected, and only then", func() {
		r := measure()
		Expect(r["two choices, eject"].ratio()).To(BeNumerically("<=", maxStragglerRatio))
		Expect(r["two choices"].ratio()).To(BeNumerically(">", maxStragglerRatio))
		Expect(r["random"].ratio()).To(BeNumerically(">", maxStragglerRatio))
	})

	It("have a lower tail latency with hedging, within the limit on extra load", func() {
		r := measure()
		Expect(r["all"].healthy.p99).To(BeNumerically("<=", (1-minHedgeGain)*r["two choices, eject"].healthy.p99))
		Expect(r["all"].stragglers.p99).To(BeNumerically("<", r["two choices, eject"].stragglers.p99))
		Expect(r["all"].healthy.hedgeShare).To(BeNumerically("<=", maxExtraLoad))
		Expect(r["all"].stragglers.hedgeShare).To(BeNumerically("<=", maxExtraLoad))
	})
})

// TestStragglerRatioWithHedging checks the straggler ratio with hedging. The healthy p99
// that it is relative to is then lower than without hedging.
func TestStragglerRatioWithHedging(t *testing.T) {
	NewWithT(t).Expect(measure()["all"].ratio()).To(BeNumerically("<=", maxStragglerRatio))
}

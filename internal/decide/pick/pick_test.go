package pick_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/decide/pick"
)

func TestPick(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pick")
}

// shares returns the fraction of n choices that each candidate receives.
func shares(n int, cands ...pick.Candidate) []float64 {
	rng := rand.New(rand.NewPCG(1, 2))
	out := make([]float64, len(cands))
	for range n {
		out[pick.TwoChoices(rng, cands)]++
	}
	for i := range out {
		out[i] /= float64(n)
	}
	return out
}

var _ = DescribeTable("TwoChoices",
	func(want int, atLeast, atMost float64, cands ...pick.Candidate) {
		Expect(shares(3000, cands...)[want]).To(And(BeNumerically(">=", atLeast), BeNumerically("<=", atMost)))
	},
	Entry("never chooses the busiest of three", 0, 0.0, 0.0, pick.Candidate{Own: 9, Limit: 4}, pick.Candidate{Limit: 4}, pick.Candidate{Limit: 4}),
	Entry("counts the reported attempts of other processes", 0, 0.0, 0.0, pick.Candidate{Others: 9}, pick.Candidate{}, pick.Candidate{}),
	Entry("gives an old report less weight", 0, 0.2, 1.0, pick.Candidate{Others: 9, Age: time.Hour}, pick.Candidate{Own: 1}, pick.Candidate{Own: 1}),
	Entry("compares load relative to the limit", 1, 1.0, 1.0, pick.Candidate{Own: 4, Limit: 4}, pick.Candidate{Own: 4, Limit: 40}),
	Entry("does not choose a candidate to avoid", 0, 0.0, 0.0, pick.Candidate{Avoid: true}, pick.Candidate{Own: 50}, pick.Candidate{Own: 50}),
	Entry("chooses among candidates to avoid when there are no others", 0, 0.4, 0.6, pick.Candidate{Avoid: true}, pick.Candidate{Avoid: true}),
	Entry("chooses a candidate to probe first", 1, 1.0, 1.0, pick.Candidate{}, pick.Candidate{Probe: true, Own: 3}),
)

var _ = It("returns -1 without candidates", func() {
	Expect(pick.TwoChoices(rand.New(rand.NewPCG(1, 2)), nil)).To(Equal(-1))
	Expect(pick.RoundRobin(7, nil)).To(Equal(-1))
})

func benchmark(b *testing.B, n int, choose func(*rand.Rand, []pick.Candidate) int) {
	rng := rand.New(rand.NewPCG(1, 2))
	cands := make([]pick.Candidate, n)
	for i := range cands {
		cands[i] = pick.Candidate{Own: i % 3, Limit: 4}
	}
	b.ReportAllocs()
	for b.Loop() {
		choose(rng, cands)
	}
}

func BenchmarkTwoChoices3(b *testing.B)  { benchmark(b, 3, pick.TwoChoices) }
func BenchmarkTwoChoices25(b *testing.B) { benchmark(b, 25, pick.TwoChoices) }
func BenchmarkRoundRobin3(b *testing.B) {
	benchmark(b, 3, func(_ *rand.Rand, c []pick.Candidate) int { return pick.RoundRobin(1, c) })
}

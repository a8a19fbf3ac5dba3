package eject_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sapphirewall/sapphirewall/internal/decide/eject"
)

func TestEject(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "eject")
}

const normal = 4 * time.Millisecond

// play chooses a replica at random each millisecond and sends it a request if it
// is allowed. Latencies are lognormal with the replica's mean. It returns the
// number of requests sent to each replica, and the time at the end.
func play(g *eject.Group, rng *rand.Rand, now time.Time, during time.Duration, means ...time.Duration) ([]int, time.Time) {
	const sigma = 0.8
	sent := make([]int, len(means))
	for end := now.Add(during); now.Before(end); now = now.Add(time.Millisecond) {
		i := rng.IntN(len(means))
		if !g.Allowed(now, i, rng) {
			continue
		}
		sent[i]++
		took := float64(means[i]) * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2)
		g.Observe(now, i, time.Duration(took), true)
	}
	return sent, now
}

var _ = Describe("Group", func() {
	var (
		rng *rand.Rand
		now time.Time
		g   *eject.Group
	)
	BeforeEach(func() {
		rng, now, g = rand.New(rand.NewPCG(3, 4)), time.Unix(1000, 0), eject.NewGroup(3)
	})

	It("ejects a straggler soon; an even choice does not", func() {
		sent, now := play(g, rng, now, time.Second, normal, normal, 10*normal)
		Expect(sent[2]).To(BeNumerically("<", 60), "an even choice sends it 333")
		sent, _ = play(g, rng, now, 10*time.Second, normal, normal, 10*normal)
		Expect(sent[2]).To(BeNumerically("<", 100), "an even choice sends it 3333")
	})

	It("returns a recovered replica to service gradually", func() {
		_, now := play(g, rng, now, time.Second, normal, normal, 10*normal)
		sent, now := play(g, rng, now, 500*time.Millisecond, normal, normal, normal)
		Expect(sent[2]).To(BeNumerically("<", 40), "an even choice sends it 167")
		_, now = play(g, rng, now, 20*time.Second, normal, normal, normal)
		sent, _ = play(g, rng, now, 3*time.Second, normal, normal, normal)
		Expect(sent[2]).To(BeNumerically("~", 1000, 200))
	})

	It("ejects a replica whose attempts are cut off by hedges before they show its latency", func() {
		sent := 0
		for k := range 400 {
			now = now.Add(time.Millisecond)
			i := k % 3
			if !g.Allowed(now, i, rng) {
				continue
			}
			if i == 2 {
				sent++
			}
			g.Observe(now, i, map[bool]time.Duration{true: 2 * normal, false: normal}[i == 2], i != 2)
		}
		Expect(sent).To(BeNumerically("<", 20), "an even choice sends it 133")
	})

	It("ejects no replica when all are equally slow", func() {
		_, now := play(g, rng, now, time.Second, normal, normal, normal)
		sent, _ := play(g, rng, now, 3*time.Second, 10*normal, 10*normal, 10*normal)
		for _, n := range sent {
			Expect(n).To(BeNumerically(">", 800))
		}
	})

	It("ejects a replica by the latencies of abandoned attempts", func() {
		for range 20 {
			g.Observe(now, 0, normal, true)
			g.Observe(now, 1, normal, true)
			g.Observe(now, 2, 10*normal, false)
		}
		Expect(g.Allowed(now, 2, rng)).To(BeFalse())
		g.Reset(2)
		Expect(g.Allowed(now, 2, rng)).To(BeTrue())
	})

	It("keeps enough replicas active for every order of events", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			now := time.Unix(1000, 0)
			n := rapid.IntRange(1, 6).Draw(t, "replicas")
			g := eject.NewGroup(n)
			lowestRand := rand.New(lowest{})
			for range rapid.IntRange(1, 300).Draw(t, "events") {
				took := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "took"))
				g.Observe(now, rapid.IntRange(0, n-1).Draw(t, "replica"), took, true)
			}
			allowed := 0
			for i := range n {
				if g.Allowed(now, i, lowestRand) {
					allowed++
				}
			}
			if float64(n-allowed) > eject.MaxShare*float64(n) || allowed == 0 {
				t.Fatalf("%d of %d replicas are allowed", allowed, n)
			}
		})
	})
})

// lowest is a random source that always draws 0.
type lowest struct{}

func (lowest) Uint64() uint64 { return 0 }

func BenchmarkGroup(b *testing.B) {
	g, rng, now := eject.NewGroup(3), rand.New(rand.NewPCG(1, 2)), time.Unix(1000, 0)
	b.ReportAllocs()
	for i := range b.N {
		g.Allowed(now, i%3, rng)
		g.Observe(now, i%3, normal, true)
	}
}

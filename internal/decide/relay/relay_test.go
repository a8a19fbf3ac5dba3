package relay_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/decide/backoff"
	"github.com/sapphirewall/sapphirewall/internal/decide/ownership"
	"github.com/sapphirewall/sapphirewall/internal/decide/relay"
)

func TestRelay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "relay")
}

// The platform's calls of one relay when all is well, and the stated bounds.
const (
	watchWait    = 10 * time.Second
	listInterval = 2 * time.Second
	modelStep    = 20 * time.Millisecond
	platformRate = 2000 // reads a second that the platform takes
	perZone      = 2
)

func fleet(n, zones int) []ownership.Candidate {
	var out []ownership.Candidate
	for i := range n {
		out = append(out, ownership.Candidate{Node: fmt.Sprint("vm-", i), Zone: fmt.Sprint("zone-", i%zones)})
	}
	return out
}

// caller is what a relay does with one kind of call.
type caller struct {
	pace *backoff.Pacer
	next time.Time
	hold time.Duration // how long an answered call takes or keeps the next away
}

// model runs the calls of the nodes that talk to the platform over an outage
// from 60 s to 120 s and returns calls a second: steady before, steady during,
// and the highest of any second after.
func model(fleet []ownership.Candidate, talks func(relay.Route) bool, cfg backoff.Config) (before, during, peak float64) {
	var callers []*caller
	for i, c := range fleet {
		if !talks(relay.RouteOf(c.Node, c.Zone, fleet, perZone)) {
			continue
		}
		for k, hold := range []time.Duration{watchWait, listInterval} {
			rng := rand.New(rand.NewPCG(uint64(i), uint64(k)))
			start := time.Unix(0, rng.Int64N(int64(hold)))
			callers = append(callers, &caller{backoff.New(cfg, rng), start, hold})
		}
	}
	counts := make([]float64, 180)
	for at := time.Duration(0); at < 180*time.Second; at += modelStep {
		now, second := time.Unix(0, int64(at)), int(at/time.Second)
		down := second >= 60 && second < 120
		for _, c := range callers {
			if now.Before(c.next) {
				continue
			}
			counts[second]++
			c.pace.Called(now)
			c.pace.Done(now, !down)
			c.next = c.pace.Next(now)
			if !down {
				c.next = now.Add(c.hold)
			}
		}
	}
	for s := range 30 {
		before += counts[20+s] / 30
		during += counts[80+s] / 30
	}
	for _, n := range counts[120:] {
		peak = max(peak, n)
	}
	return before, during, peak
}

var _ = Describe("relays", func() {
	relaysOnly := func(r relay.Route) bool { return r.Platform }
	everyNode := func(relay.Route) bool { return true }

	DescribeTable("keep the platform's calls far below its rate, also at recovery", func(nodes, zones int) {
		before, during, peak := model(fleet(nodes, zones), relaysOnly, backoff.DefaultConfig())
		fmt.Fprintf(GinkgoWriter, "%d nodes: %.1f calls/s before, %.1f down, %.0f in the worst second after\n", nodes, before, during, peak)
		Expect(before).To(BeNumerically("<", platformRate/10))
		Expect(during).To(BeNumerically("<", platformRate/10))
		Expect(peak).To(BeNumerically("<", platformRate/10))
	}, Entry("today", 9, 3), Entry("in two years", 2400, 13))

	It("are what keeps them there: without relays or pauses the model sees the rate used up", func() {
		before, _, _ := model(fleet(2400, 13), everyNode, backoff.DefaultConfig())
		Expect(before).To(BeNumerically(">", platformRate/2))
		eager := backoff.Config{Min: modelStep, Max: modelStep, Rate: 50, Burst: 50}
		_, during, _ := model(fleet(2400, 13), relaysOnly, eager)
		Expect(during).To(BeNumerically(">", platformRate/2))
	})

	It("are replaced by the next in the ranking, and others stay", func() {
		all := fleet(30, 3)
		chosen := relay.Choose("zone-1", all, perZone)
		Expect(chosen).To(HaveLen(perZone))
		var rest []ownership.Candidate
		for _, c := range all {
			if c.Node != chosen[0] {
				rest = append(rest, c)
			}
		}
		Expect(relay.Choose("zone-1", rest, perZone)[0]).To(Equal(chosen[1]))
		Expect(relay.Readers(all, perZone, 2)).To(HaveLen(2))
		Expect(relay.RouteOf("vm-1", "zone-9", all, perZone).Platform).To(BeTrue(), "a zone without relays")
	})
})

func BenchmarkRouteOf(b *testing.B) {
	for _, n := range []int{9, 225, 2400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			all := fleet(n, 13)
			for range b.N {
				relay.RouteOf("vm-1", "zone-1", all, perZone)
			}
		})
	}
}

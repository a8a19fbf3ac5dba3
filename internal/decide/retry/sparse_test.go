package retry_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/decide/fleetlimit"
	"github.com/sapphirewall/sapphirewall/internal/decide/retry"
)

// pausedShare is the share of parts that meet a paused replica: 250 ms of each 6 s.
const pausedShare = 0.25 / 6

// replayLateParts replays the queries of one of 295 VMs at one pool. It returns the share
// of late parts that may be hedged.
func replayLateParts(perSecond, late float64) float64 {
	rng := rand.New(rand.NewPCG(2, 7))
	now := time.Unix(1000, 0)
	s := retry.NewSharedBudget(fleetlimit.ExtraLimits(0.2, 630, make([]string, 295)), time.Time{})
	hedged, n := 0, 0
	for range 20_000 {
		now = now.Add(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
		part := &retry.Part{}
		s.CountFirst(now, now)
		if rng.Float64() < late {
			n++
			if s.AllowHedge(now) {
				hedged++
				s.Settle(now, part)
			}
		}
		s.Settle(now, part)
	}
	return float64(hedged) / float64(n)
}

// hedgedShare is the share of late parts that must be hedged: a query of 90 shards, of which
// four are late, loses less than 1% of its benefit without one in ten of its hedges.
const hedgedShare = 0.9

// Guards against a budget that is split over so many VMs that the part of one holds no whole
// attempt beside the reserve for retries: one hedge in five was not sent on a quiet day of
// 295 VMs.
var _ = DescribeTable("the budget of one of 295 VMs lets it hedge late parts",
	func(perSecond, late float64) {
		Expect(replayLateParts(perSecond, late)).To(BeNumerically(">=", hedgedShare))
	},
	Entry("of paused replicas, with a query in two seconds", 0.5, pausedShare),
	Entry("of paused replicas, with two queries a second", 2.0, pausedShare),
	Entry("one in five, with a query in ten seconds", 0.1, 0.2),
	Entry("one in five, with a query in five seconds", 0.2, 0.2),
	Entry("one in five, with three queries in ten seconds", 0.3, 0.2),
)

package retry_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/decide/retry"
)

var _ = Describe("Shared", func() {
	const share, slack = 0.17, 4.0

	It("holds in every window, whatever the load does", func() {
		rng := rand.New(rand.NewPCG(1, 1))
		now := time.Unix(1000, 0)
		s := retry.NewSharedBudget(share, slack, time.Time{})
		var first, extra []time.Time
		for range 60_000 {
			now = now.Add(time.Duration(rng.ExpFloat64() * float64(2*time.Millisecond)))
			if now.Unix()%17 < 12 { // the load stops now and then
				s.CountFirst(now)
				first = append(first, now)
			}
			if rng.IntN(2) == 0 && s.AllowHedge(now) || s.AllowRetry(now) {
				extra = append(extra, now)
			}
		}
		// The window slides in steps, so a step more of first sends may count.
		const step = retry.Window / 20
		for at := time.Unix(1010, 0); at.Before(now); at = at.Add(170 * time.Millisecond) {
			Expect(float64(within(extra, at, retry.Window-step))).To(BeNumerically("<=", share*float64(within(first, at, retry.Window+step))+slack))
		}
		Expect(len(extra)).To(BeNumerically(">", int(0.9*share*float64(len(first)))), "the budget is also used")
	})

	It("lets a burst of late parts be hedged at once; a bucket of the same slack doesn't", func() {
		now := time.Unix(1000, 0)
		s, bucket := retry.NewSharedBudget(share, slack, time.Time{}), retry.NewBudget(now)
		for bucket.Allow(now) { // a bucket that has been used up
		}
		for range 250 { // ten seconds of one VM's share of a shard
			now = now.Add(40 * time.Millisecond)
			s.CountFirst(now)
		}
		hedges := 0
		for s.AllowHedge(now) {
			hedges++
		}
		Expect(hedges).To(BeNumerically(">=", 40))
	})

	It("has no slack in the first window of a process, and its share of first sends at once", func() {
		now := time.Unix(1000, 0)
		s := retry.NewSharedBudget(0.5, 4, now)
		Expect(s.AllowRetry(now)).To(BeFalse())
		s.CountFirst(now)
		s.CountFirst(now)
		Expect(s.AllowRetry(now)).To(BeTrue())
		Expect(s.AllowRetry(now.Add(retry.Window))).To(BeTrue())
	})

	It("leaves a reserve for parts that have failed", func() {
		now := time.Unix(1000, 0)
		s := retry.NewSharedBudget(0, 4, time.Time{})
		for s.AllowHedge(now) {
		}
		Expect(s.AllowRetry(now)).To(BeTrue())
	})
})

// within counts the times in the window that ends at a moment.
func within(times []time.Time, end time.Time, window time.Duration) int {
	n := 0
	for _, t := range times {
		if t.After(end.Add(-window)) && !t.After(end) {
			n++
		}
	}
	return n
}

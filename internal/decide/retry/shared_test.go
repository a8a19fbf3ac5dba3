package retry_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/decide/retry"
)

var _ = Describe("SharedBudget", func() {
	const share, slack = 0.17, 4.0

	It("stays within its limit in every window under a changing load", func() {
		rng := rand.New(rand.NewPCG(1, 1))
		now := time.Unix(1000, 0)
		s := newBudget(share, slack)
		var first, extra []time.Time
		for range 60_000 {
			now = now.Add(time.Duration(rng.ExpFloat64() * float64(2*time.Millisecond)))
			if now.Unix()%17 < 12 { // the load stops for 5 s of each 17 s
				s.CountFirst(now, now)
				first = append(first, now)
			}
			if rng.IntN(2) == 0 && s.AllowHedge(now) || s.AllowRetry(now) {
				arriveAtOnce(s, now)
				extra = append(extra, now)
			}
		}
		// The window slides in steps, so the first attempts of one more step may count.
		const step = retry.Window / 20
		for at := time.Unix(1010, 0); at.Before(now); at = at.Add(170 * time.Millisecond) {
			Expect(float64(within(extra, at, retry.Window))).To(BeNumerically("<=", share*float64(within(first, at, retry.Window+step))+slack))
		}
		Expect(len(extra)).To(BeNumerically(">", int(0.9*share*float64(len(first)))), "most of the budget can be used")
	})

	// Guards against forgetting a whole step at once, which allowed a second burst
	// less than a window after the first.
	It("allows no second burst before a window has passed since the first", func() {
		begin := time.Unix(1000, 0)
		s := newBudget(0, 4)
		s.CountFirst(begin, begin)
		now := begin.Add(retry.Window/20 - time.Millisecond) // the end of a step
		for s.AllowRetry(now) {
			arriveAtOnce(s, now)
		}
		Expect(s.AllowRetry(now.Add(retry.Window - time.Millisecond))).To(BeFalse())
		Expect(s.AllowRetry(now.Add(retry.Window + retry.Window/20))).To(BeTrue())
	})

	It("allows hedges for a burst of late parts at once; a token bucket of the same slack doesn't", func() {
		now := time.Unix(1000, 0)
		s, bucket := newBudget(share, slack), retry.NewBudget(now)
		for bucket.Allow(now) { // use up the bucket
		}
		for range 250 { // ten seconds of one VM's load on a shard
			now = now.Add(40 * time.Millisecond)
			s.CountFirst(now, now)
		}
		hedges := 0
		for s.AllowHedge(now) {
			hedges++
		}
		Expect(hedges).To(BeNumerically(">=", 40))
	})

	It("keeps a process within its limits for the start during its first window", func() {
		now := time.Unix(1000, 0)
		s := retry.NewSharedBudget(retry.Limits{Start: retry.Limit{Share: 0.5}, Steady: retry.Limit{Share: 1, Slack: 4}}, now)
		Expect(s.AllowRetry(now)).To(BeFalse())
		s.CountFirst(now, now)
		Expect(s.AllowRetry(now)).To(BeFalse())
		s.CountFirst(now, now)
		Expect(s.AllowRetry(now)).To(BeTrue())
		Expect(s.AllowRetry(now.Add(retry.Window - 1))).To(BeFalse())
		Expect(s.AllowRetry(now.Add(retry.Window))).To(BeTrue())
	})

	It("reserves a share of the budget for failed parts", func() {
		now := time.Unix(1000, 0)
		s := newBudget(0, 4)
		for s.AllowHedge(now) {
		}
		Expect(s.AllowRetry(now)).To(BeTrue())
	})
})

// newBudget returns a budget of a process that started long ago.
func newBudget(share, slack float64) *retry.SharedBudget {
	return retry.NewSharedBudget(retry.Limits{Steady: retry.Limit{Share: share, Slack: slack}}, time.Time{})
}

// arriveAtOnce settles an extra attempt that has just been allowed.
func arriveAtOnce(s *retry.SharedBudget, now time.Time) {
	part := &retry.Part{}
	s.Settle(now, part)
	s.Settle(now, part)
}

// within returns the number of times in the window that ends at end.
func within(times []time.Time, end time.Time, window time.Duration) int {
	n := 0
	for _, t := range times {
		if t.After(end.Add(-window)) && !t.After(end) {
			n++
		}
	}
	return n
}

package retry_test

import (
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/decide/fleetlimit"
	"github.com/sapphirewall/sapphirewall/internal/decide/retry"
)

// giveUp is the time after which an attempt without an answer is given up.
const giveUp = 600 * time.Millisecond

// sentAttempt is an attempt at an upstream that may be paused.
type sentAttempt struct {
	part    *retry.Part
	request int
	at      time.Time
	givenUp bool
}

// pausedPool is one VM's attempts at a pool of two upstreams, one of which is paused
// from time to time and receives what it was sent when it resumes. The other one fails
// every request, so that all of the budget is used.
type pausedPool struct {
	budget  *retry.SharedBudget
	settles bool // the budget learns when attempts arrive; otherwise it takes what was given up for arrived
	now     time.Time
	paused  bool
	held    []*sentAttempt // by the paused upstream

	firstAt, extraAt []time.Time // requests sent, and arrivals beyond the first of each
	arrived          map[int]bool
}

func (p *pausedPool) arrive(request int) {
	if p.arrived[request] {
		p.extraAt = append(p.extraAt, p.now)
	}
	p.arrived[request] = true
}

// request sends a request to the paused upstream, and again to the other one if the
// budget allows it.
func (p *pausedPool) request(n int) {
	part := &retry.Part{}
	p.budget.CountFirst(p.now, p.now)
	p.firstAt = append(p.firstAt, p.now)
	if p.paused {
		p.held = append(p.held, &sentAttempt{part: part, request: n, at: p.now})
	} else {
		p.arrive(n)
		p.budget.Settle(p.now, part)
	}
	if p.budget.AllowRetry(p.now) {
		p.arrive(n)
		p.budget.Settle(p.now, part)
	}
}

// tick gives up what has waited for too long.
func (p *pausedPool) tick() {
	for _, a := range p.held {
		if !a.givenUp && p.now.Sub(a.at) >= giveUp {
			a.givenUp = true
			if p.settles {
				p.budget.Abandon(p.now, "paused", a.part)
			} else {
				p.budget.Settle(p.now, a.part)
			}
		}
	}
}

// resume lets everything arrive that was sent to the paused upstream.
func (p *pausedPool) resume() {
	p.paused = false
	for _, a := range p.held {
		p.arrive(a.request)
		if !a.givenUp {
			p.budget.Settle(p.now, a.part)
		}
	}
	p.held = nil
	p.budget.Answered(p.now, "paused", p.now)
}

// run plays random pauses of up to ten seconds under a steady load, and returns the
// greatest number of arrivals beyond the first of each request in a window, as a share
// of what is allowed.
func (p *pausedPool) run(rng *rand.Rand, share, slack float64) float64 {
	next := p.now.Add(time.Duration(rng.IntN(10_000)) * time.Millisecond)
	for n := range 20_000 {
		p.now = p.now.Add(time.Duration(rng.ExpFloat64() * float64(5*time.Millisecond)))
		p.tick()
		if p.now.After(next) {
			if p.paused {
				p.resume()
			} else {
				p.paused = true
			}
			next = p.now.Add(time.Duration(rng.IntN(10_000)) * time.Millisecond)
		}
		p.request(n)
	}
	worst := 0.0
	for _, end := range p.extraAt {
		requests := 0
		for _, before := range []time.Duration{0, retry.Window / 2, retry.Window} {
			requests = max(requests, countBefore(p.firstAt, end.Add(-before)))
		}
		worst = max(worst, float64(countBefore(p.extraAt, end))/(share*float64(requests)+slack))
	}
	return worst
}

// countBefore is within for a window and times in order.
func countBefore(times []time.Time, end time.Time) int {
	index := func(t time.Time) int {
		i, _ := slices.BinarySearchFunc(times, t.Add(1), time.Time.Compare)
		return i
	}
	return index(end) - index(end.Add(-retry.Window))
}

var _ = Describe("SharedBudget of a pool with a paused upstream", func() {
	// The limits for all VMs, of which there is one.
	const share, slack = 0.2, 58.0

	play := func(seed uint64, settles bool) float64 {
		budget := retry.NewSharedBudget(fleetlimit.ExtraLimits(share, slack, []string{"vm"}), time.Time{})
		p := &pausedPool{budget: budget, settles: settles, now: time.Unix(1000, 0), arrived: map[int]bool{}}
		return p.run(rand.New(rand.NewPCG(seed, 1)), share, slack)
	}

	It("keeps the arrivals within the limit in every window; a budget that charges when it sends does not", func() {
		charged := 0.0
		for seed := range uint64(20) {
			Expect(play(seed, true)).To(BeNumerically("<=", 1), "seed %d", seed)
			charged = max(charged, play(seed, false))
		}
		Expect(charged).To(BeNumerically(">", 1.5))
	})

	It("charges an extra attempt until a window has passed since its upstream answered again", func() {
		now := time.Unix(1000, 0)
		s, part := newBudget(0, 1), &retry.Part{}
		Expect(s.AllowRetry(now)).To(BeTrue())
		s.Settle(now, part) // the retry; the first attempt has not arrived yet
		s.Abandon(now.Add(time.Second), "u", part)
		now = now.Add(2 * retry.Window)
		Expect(s.Unsettled()).To(Equal(1))
		s.Answered(now, "u", now.Add(-3*retry.Window/2))
		Expect(s.Unsettled()).To(Equal(0), "an answer to what was written afterwards")
		Expect(s.AllowRetry(now.Add(retry.Window / 2))).To(BeFalse())
		Expect(s.AllowRetry(now.Add(2 * retry.Window))).To(BeTrue())
	})

	It("isn't settled by an answer to what was written before, nor by another upstream", func() {
		now := time.Unix(1000, 0)
		s, part := newBudget(0, 1), &retry.Part{}
		Expect(s.AllowRetry(now)).To(BeTrue())
		s.Settle(now, part)
		s.Abandon(now.Add(time.Second), "u", part)
		s.Answered(now.Add(2*time.Second), "u", now)
		s.Answered(now.Add(2*time.Second), "other", now.Add(2*time.Second))
		Expect(s.Unsettled()).To(Equal(1))
	})

	It("takes what an upstream that never answers was sent for lost after a minute", func() {
		now := time.Unix(1000, 0)
		s, part := newBudget(0, 1), &retry.Part{}
		Expect(s.AllowRetry(now)).To(BeTrue())
		s.Settle(now, part)
		s.Abandon(now, "u", part)
		used, _ := s.Used(now.Add(59 * time.Second))
		Expect(used).To(Equal(1))
		s.Used(now.Add(61 * time.Second))
		Expect(s.Unsettled()).To(BeZero())
		used, _ = s.Used(now.Add(72 * time.Second))
		Expect(used).To(BeZero())
	})
})

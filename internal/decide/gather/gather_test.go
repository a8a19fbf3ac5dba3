package gather_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sapphirewall/sapphirewall/internal/decide/gather"
)

func TestGather(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gather")
}

var begin = time.Unix(1000, 0)

func ms(n int) time.Time { return begin.Add(time.Duration(n) * time.Millisecond) }

// query is a query over ten shards that may miss one.
func query() gather.Config {
	return gather.Config{
		Parts: 10, MinParts: 9, MaxAttempts: 2, Idempotent: true,
		AnswerBy: ms(190), Deadline: ms(3000), HedgeAfter: 40 * time.Millisecond,
	}
}

func single(idempotent bool) gather.Config {
	c := query()
	c.Parts, c.MinParts, c.Idempotent = 1, 1, idempotent
	return c
}

// started returns a machine whose first sends are out.
func started(c gather.Config) *gather.Machine {
	m := gather.New(c)
	sends, out, _ := m.Decide(begin)
	Expect(out).To(Equal(gather.Pending))
	Expect(sends).To(HaveLen(c.Parts))
	for _, s := range sends {
		m.Sent(begin, s.Part)
	}
	return m
}

func serve(m *gather.Machine, parts ...int) {
	for _, p := range parts {
		m.Ended(p, begin, gather.Served)
	}
}

func outcome(m *gather.Machine, now time.Time) gather.Outcome {
	_, out, _ := m.Decide(now)
	return out
}

var _ = Describe("Machine", func() {
	It("answers as soon as all parts are in", func() {
		m := started(query())
		serve(m, 0, 1, 2, 3, 4, 5, 6, 7, 8)
		Expect(outcome(m, ms(20))).To(Equal(gather.Pending))
		serve(m, 9)
		Expect(outcome(m, ms(21))).To(Equal(gather.Answer))
	})

	It("answers with enough parts just before the objective, not sooner", func() {
		m := started(query())
		serve(m, 0, 1, 2, 3, 4, 5, 6, 7, 8)
		Expect(outcome(m, ms(189))).To(Equal(gather.Pending))
		Expect(outcome(m, ms(190))).To(Equal(gather.Answer))
	})

	It("answers late as soon as there are enough", func() {
		m := started(query())
		serve(m, 0, 1, 2, 3, 4, 5, 6, 7)
		Expect(outcome(m, ms(190))).To(Equal(gather.Pending))
		serve(m, 8)
		Expect(outcome(m, ms(700))).To(Equal(gather.Answer))
	})

	It("hedges a late part once and says when it will be late", func() {
		m := started(query())
		serve(m, 0, 1, 2, 3, 4, 5, 6, 7, 8)
		_, _, wake := m.Decide(ms(10))
		Expect(wake).To(Equal(ms(40)))
		sends, _, _ := m.Decide(ms(40))
		Expect(sends).To(Equal([]gather.Attempt{{Part: 9, Kind: gather.Hedge}}))
		m.Sent(ms(40), 9)
		sends, _, wake = m.Decide(ms(100))
		Expect(sends).To(BeEmpty())
		Expect(wake).To(Equal(ms(190)))
		m.Ended(9, ms(40), gather.Served)
		Expect(outcome(m, ms(101))).To(Equal(gather.Answer))
	})

	It("sends a failed part again, and gives up on it after its attempts", func() {
		m := started(query())
		m.Ended(3, begin, gather.NoAnswer)
		sends, _, _ := m.Decide(ms(5))
		Expect(sends).To(Equal([]gather.Attempt{{Part: 3, Kind: gather.Retry}}))
		m.Sent(ms(5), 3)
		m.Ended(3, ms(5), gather.NoAnswer)
		sends, out, _ := m.Decide(ms(9))
		Expect(sends).To(BeEmpty())
		Expect(out).To(Equal(gather.Pending))
		serve(m, 0, 1, 2, 4, 5, 6, 7, 8, 9)
		Expect(outcome(m, ms(30))).To(Equal(gather.Answer), "nothing is waited for any more")
	})

	It("fails at once when the needed parts can't come any more", func() {
		m := started(query())
		for _, part := range []int{0, 1} {
			m.Ended(part, begin, gather.NotSent)
			sends, _, _ := m.Decide(ms(1))
			Expect(sends).To(HaveLen(1))
			m.Unsendable(sends[0])
		}
		Expect(outcome(m, ms(2))).To(Equal(gather.Failed))
	})

	It("never repeats what is not idempotent after it may have run", func() {
		m := started(single(false))
		_, _, wake := m.Decide(ms(100))
		Expect(wake).To(Equal(ms(190)), "no hedge is planned")
		m.Ended(0, begin, gather.NoAnswer)
		Expect(outcome(m, ms(101))).To(Equal(gather.Failed))
	})

	It("repeats what is not idempotent after a replica said that it did not run it", func() {
		m := started(single(false))
		m.Ended(0, begin, gather.Rejected)
		sends, _, _ := m.Decide(ms(2))
		Expect(sends).To(Equal([]gather.Attempt{{Part: 0, Kind: gather.Retry}}))
	})

	It("lets half of the parts that may be missing be left out by choice", func() {
		c := query()
		c.MinParts = 6
		m := gather.New(c)
		sends, _, _ := m.Decide(begin)
		for left := 0; left < 2; left++ {
			Expect(m.CanSkipPart()).To(BeTrue())
			m.Unsendable(sends[left])
		}
		Expect(m.CanSkipPart()).To(BeFalse())
		Expect(gather.New(query()).CanSkipPart()).To(BeFalse(), "the one part that may be missing is kept for a failure")
	})

	It("expires at the deadline", func() {
		m := started(single(true))
		Expect(outcome(m, ms(2999))).To(Equal(gather.Pending))
		Expect(outcome(m, ms(3000))).To(Equal(gather.Expired))
	})

	It("takes the answer of an attempt whose part was given up", func() {
		m := started(single(true))
		sends, _, _ := m.Decide(ms(40))
		m.Sent(ms(40), 0)
		Expect(sends).To(HaveLen(1))
		m.Ended(0, ms(40), gather.NoAnswer)
		Expect(outcome(m, ms(50))).To(Equal(gather.Pending))
		m.Ended(0, begin, gather.Served)
		Expect(outcome(m, ms(51))).To(Equal(gather.Answer))
	})
})

// TestAttempts plays random results: no part is run by more replicas than
// allowed, what is not idempotent at most once, and every request ends.
func TestAttempts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := query()
		cfg.Parts = rapid.IntRange(1, 6).Draw(rt, "parts")
		cfg.MinParts = rapid.IntRange(1, cfg.Parts).Draw(rt, "need")
		cfg.Idempotent = rapid.Bool().Draw(rt, "idempotent")
		m := gather.New(cfg)
		runs := make([]int, cfg.Parts)
		flights := make([][]time.Time, cfg.Parts)
		now := begin
		for range 400 {
			sends, out, _ := m.Decide(now)
			if out != gather.Pending {
				if out == gather.Answer && m.Received() < cfg.MinParts {
					rt.Fatalf("answered with %d of %d parts", m.Received(), cfg.MinParts)
				}
				return
			}
			for _, s := range sends {
				if rapid.IntRange(0, 9).Draw(rt, "unsendable") == 0 {
					m.Unsendable(s)
					continue
				}
				m.Sent(now, s.Part)
				runs[s.Part]++
				flights[s.Part] = append(flights[s.Part], now)
				limit := cfg.MaxAttempts
				if !cfg.Idempotent {
					limit = 1
				}
				if runs[s.Part] > limit {
					rt.Fatalf("part %d may have run %d times", s.Part, runs[s.Part])
				}
			}
			now = now.Add(time.Duration(rapid.IntRange(1, 60).Draw(rt, "ms")) * time.Millisecond)
			p := rapid.IntRange(0, cfg.Parts-1).Draw(rt, "part")
			if len(flights[p]) == 0 {
				continue
			}
			r := gather.Result(rapid.IntRange(0, 3).Draw(rt, "result"))
			if r == gather.NotSent || r == gather.Rejected {
				runs[p]--
			}
			m.Ended(p, flights[p][0], r)
			flights[p] = flights[p][1:]
		}
		rt.Fatal("the request did not end")
	})
}

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

// query returns the configuration of a query over ten shards, one of which may
// be missing.
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

// started returns a machine whose first attempts have been sent.
func started(c gather.Config) *gather.Machine {
	m := gather.New(c)
	attempts, out, _ := m.Decide(begin)
	Expect(out).To(Equal(gather.Pending))
	Expect(attempts).To(HaveLen(c.Parts))
	for _, a := range attempts {
		m.Sent(begin, a.Part)
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
	It("answers as soon as all parts are received", func() {
		m := started(query())
		serve(m, 0, 1, 2, 3, 4, 5, 6, 7, 8)
		Expect(outcome(m, ms(20))).To(Equal(gather.Pending))
		serve(m, 9)
		Expect(outcome(m, ms(21))).To(Equal(gather.Answer))
	})

	It("answers with enough parts just before the latency objective, not earlier", func() {
		m := started(query())
		serve(m, 0, 1, 2, 3, 4, 5, 6, 7, 8)
		Expect(outcome(m, ms(189))).To(Equal(gather.Pending))
		Expect(outcome(m, ms(190))).To(Equal(gather.Answer))
	})

	It("after the latency objective, answers as soon as enough parts are received", func() {
		m := started(query())
		serve(m, 0, 1, 2, 3, 4, 5, 6, 7)
		Expect(outcome(m, ms(190))).To(Equal(gather.Pending))
		serve(m, 8)
		Expect(outcome(m, ms(700))).To(Equal(gather.Answer))
	})

	It("hedges a late part once and returns the time at which it will be late", func() {
		m := started(query())
		serve(m, 0, 1, 2, 3, 4, 5, 6, 7, 8)
		_, _, wake := m.Decide(ms(10))
		Expect(wake).To(Equal(ms(40)))
		attempts, _, _ := m.Decide(ms(40))
		Expect(attempts).To(Equal([]gather.Attempt{{Part: 9, Kind: gather.Hedge}}))
		m.Sent(ms(40), 9)
		attempts, _, wake = m.Decide(ms(100))
		Expect(attempts).To(BeEmpty())
		Expect(wake).To(Equal(ms(190)))
		m.Ended(9, ms(40), gather.Served)
		Expect(outcome(m, ms(101))).To(Equal(gather.Answer))
	})

	It("sends one by one, and hedges nothing, while it is told to", func() {
		m := gather.New(query())
		m.SetOneByOne(true)
		attempts, _, _ := m.Decide(begin)
		Expect(attempts).To(HaveLen(1))
		m.Sent(begin, attempts[0].Part)
		attempts, out, wake := m.Decide(ms(1))
		Expect(attempts).To(BeEmpty())
		Expect(out).To(Equal(gather.Pending))
		Expect(wake).To(Equal(ms(40)), "then the attempt in flight is late")
		attempts, _, _ = m.Decide(ms(40))
		Expect(attempts).To(HaveLen(1))
		Expect(attempts[0].Kind).To(Equal(gather.First))
		m.Unsendable(attempts[0])
		attempts, _, _ = m.Decide(ms(40))
		Expect(attempts).To(HaveLen(1), "one that was not sent makes room for the next")
		m.Sent(ms(40), attempts[0].Part)
		m.SetOneByOne(false)
		attempts, _, _ = m.Decide(ms(41))
		Expect(attempts).To(HaveLen(7+1), "the other parts, and a hedge of the first")
	})

	It("retries a failed part and abandons it after MaxAttempts", func() {
		m := started(query())
		m.Ended(3, begin, gather.NoAnswer)
		attempts, _, _ := m.Decide(ms(5))
		Expect(attempts).To(Equal([]gather.Attempt{{Part: 3, Kind: gather.Retry}}))
		m.Sent(ms(5), 3)
		m.Ended(3, ms(5), gather.NoAnswer)
		attempts, out, _ := m.Decide(ms(9))
		Expect(attempts).To(BeEmpty())
		Expect(out).To(Equal(gather.Pending))
		serve(m, 0, 1, 2, 4, 5, 6, 7, 8, 9)
		Expect(outcome(m, ms(30))).To(Equal(gather.Answer), "no part is waited for any more")
	})

	It("fails at once when too few parts can still be received", func() {
		m := started(query())
		for _, part := range []int{0, 1} {
			m.Ended(part, begin, gather.NotSent)
			attempts, _, _ := m.Decide(ms(1))
			Expect(attempts).To(HaveLen(1))
			m.Unsendable(attempts[0])
		}
		Expect(outcome(m, ms(2))).To(Equal(gather.Failed))
	})

	It("never retries or hedges a non-idempotent request that may have been executed", func() {
		m := started(single(false))
		_, _, wake := m.Decide(ms(100))
		Expect(wake).To(Equal(ms(190)), "no hedge is scheduled")
		m.Ended(0, begin, gather.NoAnswer)
		Expect(outcome(m, ms(101))).To(Equal(gather.Failed))
	})

	It("retries a non-idempotent request after a replica reported that it did not execute it", func() {
		m := started(single(false))
		m.Ended(0, begin, gather.Rejected)
		attempts, _, _ := m.Decide(ms(2))
		Expect(attempts).To(Equal([]gather.Attempt{{Part: 0, Kind: gather.Retry}}))
	})

	It("allows half of the parts that may be missing to be skipped by choice", func() {
		c := query()
		c.MinParts = 6
		m := gather.New(c)
		attempts, _, _ := m.Decide(begin)
		for skipped := 0; skipped < 2; skipped++ {
			Expect(m.CanSkipPart()).To(BeTrue())
			m.Unsendable(attempts[skipped])
		}
		Expect(m.CanSkipPart()).To(BeFalse())
		Expect(gather.New(query()).CanSkipPart()).To(BeFalse(), "the only part that may be missing is reserved for a failure")
	})

	It("expires at the deadline", func() {
		m := started(single(true))
		Expect(outcome(m, ms(2999))).To(Equal(gather.Pending))
		Expect(outcome(m, ms(3000))).To(Equal(gather.Expired))
	})

	It("accepts the answer of the first attempt after its hedge failed", func() {
		m := started(single(true))
		attempts, _, _ := m.Decide(ms(40))
		m.Sent(ms(40), 0)
		Expect(attempts).To(HaveLen(1))
		m.Ended(0, ms(40), gather.NoAnswer)
		Expect(outcome(m, ms(50))).To(Equal(gather.Pending))
		m.Ended(0, begin, gather.Served)
		Expect(outcome(m, ms(51))).To(Equal(gather.Answer))
	})
})

// TestAttempts draws random results and checks that no part is executed by more
// replicas than allowed, that a part of a non-idempotent request is executed at
// most once, and that every request ends.
func TestAttempts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := query()
		cfg.Parts = rapid.IntRange(1, 6).Draw(rt, "parts")
		cfg.MinParts = rapid.IntRange(1, cfg.Parts).Draw(rt, "need")
		cfg.Idempotent = rapid.Bool().Draw(rt, "idempotent")
		m := gather.New(cfg)
		executions := make([]int, cfg.Parts)
		inFlight := make([][]time.Time, cfg.Parts)
		now := begin
		for range 400 {
			attempts, out, _ := m.Decide(now)
			if out != gather.Pending {
				if out == gather.Answer && m.Received() < cfg.MinParts {
					rt.Fatalf("answered with %d parts, at least %d are required", m.Received(), cfg.MinParts)
				}
				return
			}
			for _, a := range attempts {
				if rapid.IntRange(0, 9).Draw(rt, "unsendable") == 0 {
					m.Unsendable(a)
					continue
				}
				m.Sent(now, a.Part)
				executions[a.Part]++
				inFlight[a.Part] = append(inFlight[a.Part], now)
				limit := cfg.MaxAttempts
				if !cfg.Idempotent {
					limit = 1
				}
				if executions[a.Part] > limit {
					rt.Fatalf("part %d may have been executed %d times", a.Part, executions[a.Part])
				}
			}
			now = now.Add(time.Duration(rapid.IntRange(1, 60).Draw(rt, "ms")) * time.Millisecond)
			p := rapid.IntRange(0, cfg.Parts-1).Draw(rt, "part")
			if len(inFlight[p]) == 0 {
				continue
			}
			r := gather.Result(rapid.IntRange(0, 3).Draw(rt, "result"))
			if r == gather.NotSent || r == gather.Rejected {
				executions[p]--
			}
			m.Ended(p, inFlight[p][0], r)
			inFlight[p] = inFlight[p][1:]
		}
		rt.Fatal("request still pending after 400 steps")
	})
}

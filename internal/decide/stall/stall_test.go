package stall_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/decide/stall"
)

func TestStall(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "stall")
}

const (
	after  = 100 * time.Millisecond
	budget = 300 * time.Millisecond
)

var begin = time.Unix(1000, 0)

// monitor watches a request until it ends or reaches its deadline; every probe
// returns r. It returns the last action and its time.
func monitor(idempotent bool, retries int, r stall.ProbeResult) (stall.Action, time.Duration) {
	m := stall.New(begin, after, budget, time.Millisecond, idempotent)
	b := &stall.RetryBudget{}
	for range 100 * retries {
		b.Sent()
	}
	for now := begin; now.Before(begin.Add(budget)); now = m.NextCheck() {
		if m.Decide(now) != stall.Probe {
			continue
		}
		if a := m.OnProbeResult(r, b); a != stall.Wait {
			return a, now.Sub(begin)
		}
	}
	return stall.Wait, budget
}

var _ = DescribeTable("a stalled connection",
	func(idempotent bool, retries int, r stall.ProbeResult, want stall.Action, by time.Duration) {
		got, at := monitor(idempotent, retries, r)
		Expect(got).To(Equal(want))
		Expect(at).To(BeNumerically("<=", by))
	},
	Entry("that is dead is replaced", true, 0, stall.ProbeResult{Answered: true, Missing: true}, stall.Retry, budget/4),
	Entry("of a frozen upstream fails", true, 0, stall.ProbeResult{}, stall.Fail, budget/4),
	Entry("of a frozen upstream fails an action", false, 0, stall.ProbeResult{}, stall.Fail, budget/4),
	Entry("that carries an action fails it once two probes report it missing", false, 2, stall.ProbeResult{Answered: true, Missing: true}, stall.Fail, budget/2),
	Entry("of a busy upstream is kept", true, 0, stall.ProbeResult{Answered: true}, stall.Wait, budget),
	Entry("of an upstream that may be busy is replaced within the retry budget", true, 2, stall.ProbeResult{Answered: true}, stall.Retry, budget/2),
	Entry("of an upstream busy with an action is kept", false, 2, stall.ProbeResult{Answered: true}, stall.Wait, budget),
)

var _ = Describe("Monitor", func() {
	It("starts over when bytes arrive, and gives slow replicas more time", func() {
		m := stall.New(begin, after, time.Hour, 50*time.Millisecond, true)
		Expect(m.NextCheck()).To(Equal(begin.Add(200 * time.Millisecond)))
		Expect(m.Decide(m.NextCheck())).To(Equal(stall.Probe))
		m.OnBytes(begin.Add(time.Second))
		Expect(m.Decide(begin.Add(1100 * time.Millisecond))).To(Equal(stall.Wait))
	})

	It("retries at most one request in a hundred that the upstream may be executing", func() {
		b, retried := &stall.RetryBudget{}, 0
		for range 10000 {
			b.Sent()
			if b.Allow() {
				retried++
			}
		}
		Expect(retried).To(BeNumerically("<=", 100))
	})
})

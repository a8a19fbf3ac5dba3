package stall_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/decide/stall"
)

func TestSilence(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "silence")
}

const (
	after  = 100 * time.Millisecond
	budget = 300 * time.Millisecond
)

var begin = time.Unix(1000, 0)

// watch follows a request until its end or its deadline: each probe has the
// result of the fault. It returns the last action and its time.
func watch(idempotent bool, guesses int, r stall.ProbeResult) (stall.Action, time.Duration) {
	w := stall.New(begin, after, budget, time.Millisecond, idempotent)
	b := &stall.RetryBudget{}
	for range 100 * guesses {
		b.Sent()
	}
	for now := begin; now.Before(begin.Add(budget)); now = w.NextCheck() {
		if w.Decide(now) != stall.Probe {
			continue
		}
		if a := w.OnProbeResult(r, b); a != stall.Wait {
			return a, now.Sub(begin)
		}
	}
	return stall.Wait, budget
}

var _ = DescribeTable("a silent connection",
	func(idempotent bool, guesses int, r stall.ProbeResult, want stall.Action, by time.Duration) {
		got, at := watch(idempotent, guesses, r)
		Expect(got).To(Equal(want))
		Expect(at).To(BeNumerically("<=", by))
	},
	Entry("that is dead is replaced", true, 0, stall.ProbeResult{Answered: true, Missing: true}, stall.Retry, budget/4),
	Entry("of a frozen upstream fails", true, 0, stall.ProbeResult{}, stall.Fail, budget/4),
	Entry("of a frozen upstream fails an action", false, 0, stall.ProbeResult{}, stall.Fail, budget/4),
	Entry("that carries an action fails it when it is surely lost", false, 2, stall.ProbeResult{Answered: true, Missing: true}, stall.Fail, budget/2),
	Entry("of a busy upstream is listened to", true, 0, stall.ProbeResult{Answered: true}, stall.Wait, budget),
	Entry("of an upstream that may be busy is replaced within the budget for guesses", true, 2, stall.ProbeResult{Answered: true}, stall.Retry, budget/2),
	Entry("of an upstream busy with an action is listened to", false, 2, stall.ProbeResult{Answered: true}, stall.Wait, budget),
)

var _ = Describe("Watch", func() {
	It("starts anew with every byte and grants slow replicas more time", func() {
		w := stall.New(begin, after, time.Hour, 50*time.Millisecond, true)
		Expect(w.NextCheck()).To(Equal(begin.Add(200 * time.Millisecond)))
		Expect(w.Decide(w.NextCheck())).To(Equal(stall.Probe))
		w.OnBytes(begin.Add(time.Second))
		Expect(w.Decide(begin.Add(1100 * time.Millisecond))).To(Equal(stall.Wait))
	})

	It("sends again at most one in a hundred on a guess", func() {
		b, resent := &stall.RetryBudget{}, 0
		for range 10000 {
			b.Sent()
			if b.Allow() {
				resent++
			}
		}
		Expect(resent).To(BeNumerically("<=", 100))
	})
})

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
func watch(idempotent bool, guesses int, r stall.Result) (stall.Action, time.Duration) {
	w := stall.New(begin, after, budget, time.Millisecond, idempotent)
	b := &stall.Budget{}
	for range 100 * guesses {
		b.Sent()
	}
	for now := begin; now.Before(begin.Add(budget)); now = w.Wake() {
		if w.Decide(now) != stall.Probe {
			continue
		}
		if a := w.Probed(r, b); a != stall.Listen {
			return a, now.Sub(begin)
		}
	}
	return stall.Listen, budget
}

var _ = DescribeTable("a silent connection",
	func(idempotent bool, guesses int, r stall.Result, want stall.Action, by time.Duration) {
		got, at := watch(idempotent, guesses, r)
		Expect(got).To(Equal(want))
		Expect(at).To(BeNumerically("<=", by))
	},
	Entry("that is dead is replaced", true, 0, stall.Result{Answered: true, Missing: true}, stall.Resend, budget/4),
	Entry("of a frozen upstream fails", true, 0, stall.Result{}, stall.Fail, budget/4),
	Entry("of a frozen upstream fails an action", false, 0, stall.Result{}, stall.Fail, budget/4),
	Entry("that carries an action fails it when it is surely lost", false, 2, stall.Result{Answered: true, Missing: true}, stall.Fail, budget/2),
	Entry("of a busy upstream is listened to", true, 0, stall.Result{Answered: true}, stall.Listen, budget),
	Entry("of an upstream that may be busy is replaced within the budget for guesses", true, 2, stall.Result{Answered: true}, stall.Resend, budget/2),
	Entry("of an upstream busy with an action is listened to", false, 2, stall.Result{Answered: true}, stall.Listen, budget),
)

var _ = Describe("Watch", func() {
	It("starts anew with every byte and grants slow replicas more time", func() {
		w := stall.New(begin, after, time.Hour, 50*time.Millisecond, true)
		Expect(w.Wake()).To(Equal(begin.Add(200 * time.Millisecond)))
		Expect(w.Decide(w.Wake())).To(Equal(stall.Probe))
		w.Heard(begin.Add(time.Second))
		Expect(w.Decide(begin.Add(1100 * time.Millisecond))).To(Equal(stall.Listen))
	})

	It("sends again at most one in a hundred on a guess", func() {
		b, resent := &stall.Budget{}, 0
		for range 10000 {
			b.Sent()
			if b.Take() {
				resent++
			}
		}
		Expect(resent).To(BeNumerically("<=", 100))
	})
})

package retry_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/decide/retry"
)

var _ = Describe("attempts that were not sent", func() {
	now := time.Unix(1000, 0)

	// Guards against a VM that can open no connections: its attempts, of which none left
	// it, used up the budget, and its requests got one attempt each.
	It("leave the budget as it was", func() {
		s := newBudget(0, 2)
		for range 50 {
			part := &retry.Part{}
			s.Withdraw(now, part)
			Expect(s.AllowRetry(now)).To(BeTrue())
			s.Withdraw(now, part)
		}
		Expect(s.Unsettled()).To(BeZero())
	})

	DescribeTable("don't hide those that arrive", func(arrivals []bool, extra int) {
		s := newBudget(0, 10)
		part := &retry.Part{}
		for i, arrives := range arrivals {
			if i > 0 {
				Expect(s.AllowRetry(now)).To(BeTrue())
			}
			if arrives {
				s.Settle(now, part)
			} else {
				s.Withdraw(now, part)
			}
		}
		used, _ := s.Used(now)
		Expect(used).To(Equal(extra))
		Expect(s.Unsettled()).To(BeZero())
	},
		Entry("first, retry", []bool{true, true}, 1),
		Entry("first not sent, retry", []bool{false, true}, 0),
		Entry("first not sent, two retries", []bool{false, true, true}, 1),
		Entry("first, retry not sent", []bool{true, false}, 0),
		Entry("first, retry not sent, retry", []bool{true, false, true}, 1),
		Entry("nothing sent", []bool{false, false, false}, 0),
	)
})

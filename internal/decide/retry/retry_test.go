package retry_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/decide/retry"
)

func TestRetry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "retry")
}

// perAttempt is the baseline: two retries for each sub-request.
type perAttempt struct{}

func (perAttempt) CountFirst(int)       {}
func (perAttempt) Allow(time.Time) bool { return true }

// extraLoad is the retries per fresh sub-request while a whole pool fails for
// ten seconds under 1,000 sub-requests a second.
func extraLoad(b interface {
	CountFirst(int)
	Allow(time.Time) bool
},
) float64 {
	now, retries := time.Unix(0, 0), 0
	const fresh = 10_000
	for range fresh {
		now = now.Add(time.Millisecond)
		b.CountFirst(1)
		for range 2 {
			if b.Allow(now) {
				retries++
			}
		}
	}
	return float64(retries) / fresh
}

var _ = Describe("Budget", func() {
	It("keeps retries to its share when a whole pool fails; a bound for each attempt does not", func() {
		Expect(extraLoad(retry.NewBudget(time.Unix(0, 0)))).To(BeNumerically("<=", retry.Share+0.01))
		Expect(extraLoad(perAttempt{})).To(BeNumerically("==", 2))
	})

	It("allows a pool with few requests some retries", func() {
		now := time.Unix(0, 0)
		b := retry.NewBudget(now)
		for b.Allow(now) {
		}
		Expect(b.Allow(now.Add(time.Second))).To(BeTrue())
	})
})

func BenchmarkAllow(b *testing.B) {
	budget := retry.NewBudget(time.Unix(0, 0))
	b.ReportAllocs()
	for b.Loop() {
		budget.CountFirst(10)
		budget.Allow(time.Unix(0, 0))
	}
	b.ReportMetric(extraLoad(retry.NewBudget(time.Unix(0, 0))), "retries/fresh")
	b.ReportMetric(extraLoad(perAttempt{}), "baseline-retries/fresh")
}

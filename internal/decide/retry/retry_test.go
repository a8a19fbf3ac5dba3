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

// perPart is the baseline: two retries for each part, without a budget.
type perPart struct{}

func (perPart) CountFirst(int)       {}
func (perPart) Allow(time.Time) bool { return true }

// extraLoad returns the retries per first attempt while a whole pool fails for
// ten seconds under 1,000 first attempts per second.
func extraLoad(b interface {
	CountFirst(int)
	Allow(time.Time) bool
},
) float64 {
	now, retries := time.Unix(0, 0), 0
	const first = 10_000
	for range first {
		now = now.Add(time.Millisecond)
		b.CountFirst(1)
		for range 2 {
			if b.Allow(now) {
				retries++
			}
		}
	}
	return float64(retries) / first
}

var _ = Describe("Budget", func() {
	It("keeps retries to its share when a whole pool fails; a limit for each part does not", func() {
		Expect(extraLoad(retry.NewBudget(time.Unix(0, 0)))).To(BeNumerically("<=", retry.Share+0.01))
		Expect(extraLoad(perPart{})).To(BeNumerically("==", 2))
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
	b.ReportMetric(extraLoad(perPart{}), "baseline-retries/fresh")
}

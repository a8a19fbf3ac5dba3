package quantile_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/decide/quantile"
)

func TestQuantile(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quantile")
}

var _ = DescribeTable("Tracker estimates the quantile of uniform latencies, also after their range changes",
	func(q float64) {
		rng := rand.New(rand.NewPCG(1, 2))
		tr := quantile.New(q, time.Microsecond)
		for _, scale := range []time.Duration{10 * time.Millisecond, 100 * time.Millisecond} {
			for range 3000 {
				tr.Observe(time.Duration(rng.Float64() * float64(scale)))
			}
			v, ok := tr.Value()
			Expect(ok).To(BeTrue())
			Expect(float64(v) / float64(scale)).To(BeNumerically("~", q, 0.12))
		}
	},
	Entry("median", 0.5), Entry("90th percentile", 0.9),
)

var _ = It("has no value until it has enough samples", func() {
	tr := quantile.New(0.5, time.Microsecond)
	tr.Observe(time.Second)
	_, ok := tr.Value()
	Expect(ok).To(BeFalse())
})

package bytebudget_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/decide/bytebudget"
)

func TestByteBudget(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "bytebudget")
}

var _ = Describe("a budget of bytes", func() {
	limits := bytebudget.LimitsFor(40 << 20)

	// Guards against one client that sends large bodies until nobody else can.
	It("leaves room for others, however much one client asks for", func() {
		used, client := int64(0), int64(0)
		for limits.Fits(used, 64<<10) && limits.Fair(used, client, 64<<10) {
			used, client = used+64<<10, client+64<<10
		}
		Expect(client).To(BeNumerically("~", limits.Large*2/3, 128<<10))
		Expect(limits.Fair(used, 0, 1<<20)).To(BeTrue())
	})

	It("has room for small requests when large ones have used up theirs", func() {
		Expect(limits.Fits(limits.Large, 1)).To(BeFalse())
		Expect(limits.Small(limits.Large, 8<<10)).To(BeTrue())
		Expect(limits.Small(limits.Total, 1)).To(BeFalse())
	})

	// Guards against requests that are refused for bytes that only make others faster.
	It("grants bytes to spare while many are free, and never those that are needed", func() {
		Expect(limits.Spare(0, 1<<20)).To(BeEquivalentTo(1 << 20))
		used := int64(0)
		for n := limits.Spare(used, 1<<20); n > 0; n = limits.Spare(used, 1<<20) {
			used += n
		}
		Expect(limits.Fits(used, 16<<10)).To(BeTrue())
		Expect(limits.Spare(limits.Large, 1<<20)).To(BeZero())
		Expect(limits.Spare(limits.Total, 1<<20)).To(BeZero())
	})

	// Guards against dropping a client that sends at full speed before one that stopped
	// just short of its end.
	It("gives up the transfer that moves slowest, once its grace time is over", func() {
		now := time.Unix(100, 0)
		ago := func(d time.Duration, moved int64) bytebudget.Transfer {
			return bytebudget.Transfer{Since: now.Add(-d), Moved: moved}
		}
		Expect(bytebudget.Slowest(now, []bytebudget.Transfer{ago(time.Second, 900_000), ago(4*time.Second, 1_048_566), ago(100*time.Millisecond, 0)})).To(Equal(1))
		Expect(bytebudget.Slowest(now, []bytebudget.Transfer{ago(100*time.Millisecond, 0)})).To(Equal(-1))
	})

	It("reserves descriptors for what isn't a caller", func() {
		Expect(bytebudget.ConnectionLimit(0)).To(BeZero())
		Expect(bytebudget.ConnectionLimit(4100)).To(Equal(3075))
		Expect(bytebudget.ConnectionLimit(100)).To(Equal(52))
	})
})

package control

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.DescribeTable("the list of VMs is read less often the longer it is",
	func(size int, want time.Duration) { Expect(listPeriod(size)).To(Equal(want)) },
	ginkgo.Entry("empty", 0, 2*time.Second),
	ginkgo.Entry("the longest read most often", 500, 2*time.Second),
	ginkgo.Entry("one VM more", 501, 4*time.Second),
	ginkgo.Entry("the largest fleet", 14_400, 58*time.Second),
)

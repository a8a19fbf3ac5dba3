package control

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.DescribeTable("the list of VMs is read less often the longer it is",
	func(size int, want time.Duration) { Expect(listPeriod(size)).To(Equal(want)) },
	ginkgo.Entry("empty", 0, 2*time.Second),
	ginkgo.Entry("the longest that is read at the shortest interval", 500, 2*time.Second),
	ginkgo.Entry("longer by one VM", 501, 4*time.Second),
	ginkgo.Entry("the largest fleet", 14_400, 58*time.Second),
)

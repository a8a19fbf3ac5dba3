package fleetlimit_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/decide/fleetlimit"
)

func TestFleetlimit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fleetlimit")
}

func fleet(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("vm-%d", i))
	}
	return out
}

var _ = DescribeTable("the shares of all VMs add up to the limit", func(total, vms int) {
	nodes := fleet(vms)
	for _, key := range []string{"a", "b"} {
		sum := 0
		for _, self := range nodes {
			sum += fleetlimit.Share(total, key, self, nodes)
		}
		Expect(sum).To(Equal(total))
	}
},
	Entry("fewer units than VMs", 8, 9), Entry("more", 36, 9), Entry("a multiple", 36, 12),
	Entry("none", 0, 9), Entry("one VM", 5, 1), Entry("many VMs", 76, 88),
)

var _ = It("gives an unknown VM none of the remainder", func() {
	Expect(fleetlimit.Share(8, "a", "stranger", fleet(9))).To(BeZero())
})

var _ = It("allows no event until VMs that started together have counted each other", func() {
	var r fleetlimit.RateLimiter
	now := time.Unix(1000, 0)
	r.Start(now)
	Expect(r.Allows(now.Add(fleetlimit.SettleTime-1), 3)).To(BeFalse())
	Expect(r.Allows(now.Add(fleetlimit.SettleTime), 3)).To(BeTrue())
})

var _ = It("limits the events in every sliding second", func() {
	var r fleetlimit.RateLimiter
	now := time.Unix(1000, 0)
	var sent []time.Time
	for range 2000 {
		now = now.Add(7 * time.Millisecond)
		if r.Allows(now, 3) {
			r.Reserve()
			r.Record(now)
			sent = append(sent, now)
		}
	}
	for i := 3; i < len(sent); i++ {
		Expect(sent[i].Sub(sent[i-3])).To(BeNumerically(">", time.Second))
	}
	Expect(len(sent)).To(BeNumerically(">", 30))
})

var _ = It("counts a reserved event until a second after it happened", func() {
	var r fleetlimit.RateLimiter
	now := time.Unix(1000, 0)
	r.Reserve()
	r.Reserve()
	Expect(r.Allows(now.Add(time.Hour), 2)).To(BeFalse())
	r.Record(time.Time{}) // it never happened
	Expect(r.Allows(now.Add(time.Hour), 2)).To(BeTrue())
	r.Record(now.Add(time.Hour))
	Expect(r.Allows(now.Add(time.Hour+time.Second), 1)).To(BeFalse())
	Expect(r.Allows(now.Add(time.Hour+2*time.Second), 1)).To(BeTrue())
})

// Guards against connections beyond what replicas accept, which they reset with the requests
// on them: two for each of 89 VMs where 76 are accepted (21,095 resets in one day).
var _ = DescribeTable("the connections to a replica", func(total, vms, regions int) {
	near := vms / regions
	keep, scarceNear := fleetlimit.Connections(total, near)
	brief, scarceFar := fleetlimit.Connections(total, vms-near)
	Expect(scarceNear).To(BeFalse())
	Expect(2*keep*near).To(BeNumerically("<=", total), "VMs of the region, beside the connections of lost ones")
	if scarceFar {
		Expect(brief).To(Equal(1))
	} else {
		Expect(keep*near+brief*(vms-near)).To(BeNumerically("<=", total), "all VMs")
	}
},
	Entry("9 VMs", 36, 9, 3), Entry("8 VMs", 46, 8, 3), Entry("67 VMs", 76, 67, 3),
	Entry("89 VMs", 76, 89, 3), Entry("295 VMs", 196, 295, 3),
)

var _ = Describe("Connections", func() {
	It("leaves each VM one, however many there are", func() {
		limit, scarce := fleetlimit.Connections(195, 2400)
		Expect(limit).To(Equal(1))
		Expect(scarce).To(BeTrue())
		limit, _ = fleetlimit.Connections(36, 0)
		Expect(limit).To(Equal(18))
	})
})

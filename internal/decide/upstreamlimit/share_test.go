package upstreamlimit_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/decide/upstreamlimit"
)

// fleet returns n VMs, of which a third are in the upstream's region.
func fleet(n int) []upstreamlimit.VM {
	var out []upstreamlimit.VM
	for i := range n {
		out = append(out, upstreamlimit.VM{Name: fmt.Sprint("vm-", i), Near: i%3 == 0})
	}
	return out
}

var _ = DescribeTable("the shares of all VMs add up to what the limit allows", func(rate float64, vms int) {
	const window, factor, slack = 4, 1.5, 5 // the platform's bound on arrivals
	var rates, bursts float64
	for _, vm := range fleet(vms) {
		s := upstreamlimit.Rank("u", vm.Name, fleet(vms)).ShareOf(rate)
		rates += s.Rate
		bursts += s.Burst
	}
	Expect(rates).To(BeNumerically("~", rate, 1e-6))
	Expect(window*rates + bursts).To(BeNumerically("<", factor*window*rate+slack))
},
	Entry("below one request a second", 0.1, 9), Entry("one a second", 1.0, 9), Entry("as many as VMs", 9.0, 9), Entry("more", 300.0, 9),
	Entry("few for many VMs", 4.2, 88), Entry("more, for many", 100.0, 88), Entry("one VM", 0.3, 1), Entry("the largest fleet", 30.0, 2400),
)

var _ = It("gives the VMs in the upstream's region most of a limit, and all of a small one", func() {
	near := upstreamlimit.Rank("u", "vm-0", fleet(9)).ShareOf(30)
	far := upstreamlimit.Rank("u", "vm-1", fleet(9)).ShareOf(30)
	Expect(near.Rate).To(BeNumerically(">", 3*far.Rate))
	Expect(upstreamlimit.Rank("u", "vm-1", fleet(9)).ShareOf(1).Rate).To(BeZero())
})

var _ = It("assumes many VMs while none is known", func() {
	s := upstreamlimit.Rank("u", "vm-0", nil).ShareOf(10)
	Expect(s.Rate).To(BeNumerically("<=", 0.1))
	Expect(s.Burst).To(Equal(1.0))
})

// limited returns a limit of 8 a second that was heard at start, with a share.
func limited(s upstreamlimit.Share) *upstreamlimit.Limit {
	l := &upstreamlimit.Limit{}
	l.Observe(start, start.Add(-time.Millisecond), named(8), true)
	l.SetShare(start, s)
	return l
}

// send sends a request that arrives at once, if it is allowed.
func send(l *upstreamlimit.Limit, now time.Time, priority int) bool {
	if !l.Allows(now, priority) {
		return false
	}
	l.Reserve(now)
	l.Record(now)
	return true
}

var _ = It("sends at the share's rate", func() {
	l := limited(upstreamlimit.Share{Rate: 2, Burst: 1})
	n := 0
	for ms := 0; ms < 10000; ms += 10 {
		if send(l, at(ms), 0) {
			n++
		}
	}
	Expect(n).To(BeNumerically("~", 20, 1))
})

var _ = It("has no request to send at the moment at which it hears a limit", func() {
	Expect(send(limited(upstreamlimit.Share{Rate: 2, Burst: 3}), start, 0)).To(BeFalse())
})

var _ = It("counts requests that wait for a connection until they have arrived", func() {
	l := limited(upstreamlimit.Share{Rate: 1, Burst: 2})
	n := 0
	for ms := 0; ms < 60000; ms += 100 {
		if l.Allows(at(ms), 0) {
			l.Reserve(at(ms))
			n++
		}
	}
	Expect(n).To(BeNumerically("<=", 4+2), "all may arrive together")
	for range n {
		l.Record(time.Time{}) // none was sent
	}
	Expect(l.Allows(at(60000), 0)).To(BeTrue())
})

var _ = It("leaves the next request to a more urgent one that was turned away", func() {
	l := limited(upstreamlimit.Share{Rate: 1, Burst: 1})
	Expect(send(l, at(1000), 2)).To(BeTrue())
	Expect(send(l, at(1900), 1)).To(BeFalse())
	l.Denied(at(1900), 1)
	Expect(send(l, at(2010), 2)).To(BeFalse())
	Expect(send(l, at(2020), 1)).To(BeTrue())
	Expect(send(l, at(3100), 2)).To(BeTrue(), "none of the more urgent came")
})

var _ = It("tells when it has room again, and not without a share", func() {
	l := limited(upstreamlimit.Share{Rate: 2, Burst: 1})
	d, ok := l.Wait(at(100))
	Expect(ok).To(BeTrue())
	Expect(d).To(BeNumerically("~", 400*time.Millisecond, time.Millisecond))
	_, ok = limited(upstreamlimit.Share{ProbeRate: 0.1}).Wait(at(100))
	Expect(ok).To(BeFalse())
})

var _ = It("probes an upstream without a share only when nothing was heard of it for long", func() {
	l := limited(upstreamlimit.Share{ProbeRate: 0.5})
	Expect(send(l, at(9000), 0)).To(BeFalse())
	n := 0
	for ms := 9000; ms < 30000; ms += 100 {
		if send(l, at(ms), 0) {
			n++
		}
	}
	Expect(n).To(BeNumerically("~", 10, 2))
})

func BenchmarkShareOf(b *testing.B) {
	for _, vms := range []int{9, 88, 2400} {
		r := upstreamlimit.Rank("u", "vm-0", fleet(vms))
		b.Run(fmt.Sprint(vms), func(b *testing.B) {
			for b.Loop() {
				r.ShareOf(30)
			}
		})
	}
}

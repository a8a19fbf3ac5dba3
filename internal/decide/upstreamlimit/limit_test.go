package upstreamlimit_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/decide/upstreamlimit"
)

func TestUpstreamlimit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "upstreamlimit")
}

var start = time.Unix(1000, 0)

// at returns a time in milliseconds after start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// answer is an answer to a request, with the rate that is in force after it.
type answer struct {
	sent, received int // ms
	notice         upstreamlimit.Notice
	failed         bool
	want           float64 // 0: none
}

var absent = upstreamlimit.Notice{}

func named(rate float64) upstreamlimit.Notice { return upstreamlimit.NewNotice(rate) }

var _ = DescribeTable("the limit in force", func(answers ...answer) {
	var l upstreamlimit.Limit
	for _, a := range answers {
		l.Observe(at(a.received), at(a.sent), a.notice, !a.failed)
		rate, _ := l.Rate()
		Expect(rate).To(Equal(a.want))
	}
},
	Entry("lasts until an answer names none", answer{sent: 0, received: 5, notice: named(4), want: 4}, answer{sent: 6, received: 9, notice: absent}),
	Entry("isn't lifted by an answer that was on its way when it was heard", answer{sent: 5, received: 8, notice: named(4), want: 4}, answer{sent: 6, received: 20, notice: absent, want: 4}),
	Entry("isn't raised by an answer that was on its way", answer{sent: 5, received: 8, notice: named(4), want: 4}, answer{sent: 6, received: 20, notice: named(9), want: 4}),
	Entry("falls at once", answer{sent: 5, received: 8, notice: named(4), want: 4}, answer{sent: 1, received: 20, notice: named(2), want: 2}),
	Entry("rises under steady answers", answer{sent: 0, received: 5, notice: named(4), want: 4}, answer{sent: 6, received: 9, notice: named(4), want: 4},
		answer{sent: 7, received: 10, notice: named(9), want: 9}),
	Entry("isn't lifted by a failure", answer{sent: 0, received: 5, notice: named(4), want: 4}, answer{sent: 6, received: 9, notice: absent, failed: true, want: 4}),
	Entry("is heard from a failure", answer{sent: 0, received: 5, notice: named(4), failed: true, want: 4}),
	Entry("isn't touched by what can't be read", answer{sent: 0, received: 5, notice: named(4), want: 4}, answer{sent: 6, received: 9, notice: upstreamlimit.Notice{Kind: upstreamlimit.Unreadable}, want: 4}),
)

var _ = It("takes from other VMs only what was heard later", func() {
	var l upstreamlimit.Limit
	l.Observe(at(10), at(1), named(4), true)
	Expect(l.Merge(at(9), 0)).To(BeFalse())
	Expect(l.Merge(at(12), 0)).To(BeTrue())
	_, limited := l.Rate()
	Expect(limited).To(BeFalse())
	Expect(l.Merge(at(11), 4)).To(BeFalse())
})

package reach_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/decide/reach"
)

var _ = DescribeTable("access to a replica", func(w reach.Way, left time.Duration, want reach.Access) {
	Expect(w.Access(60*time.Millisecond, left)).To(Equal(want))
},
	Entry("that is not known", reach.Way{}, time.Second, reach.Ready),
	Entry("whose connections are all in use", reach.Way{Open: 3, Waiting: 5}, time.Second, reach.Ready),
	Entry("that refuses connections, one is idle", reach.Way{RefusedAt: time.Unix(1, 0), Open: 1, Idle: 1}, time.Second, reach.Ready),
	Entry("that refuses connections, none is open", reach.Way{RefusedAt: time.Unix(1, 0)}, time.Second, reach.Unreachable),
	Entry("that refuses connections, one is in use", reach.Way{RefusedAt: time.Unix(1, 0), Open: 1}, time.Second, reach.Queued),
	Entry("behind others, in time", reach.Way{RefusedAt: time.Unix(1, 0), Open: 1, Waiting: 8}, 600*time.Millisecond, reach.Queued),
	Entry("behind others, too late", reach.Way{RefusedAt: time.Unix(1, 0), Open: 1, Waiting: 9}, 600*time.Millisecond, reach.Unreachable),
	Entry("behind others on several connections", reach.Way{RefusedAt: time.Unix(1, 0), Open: 3, Waiting: 9}, 600*time.Millisecond, reach.Queued),
)

var _ = Describe("a pool to whose replicas no connections can be opened", func() {
	var now time.Time
	var m reach.Machine
	BeforeEach(func() { now, m = time.Unix(1000, 0), reach.Machine{} })

	// replicas returns n replicas that are heard, some of which refuse connections since
	// a time.
	replicas := func(n, refused int, since time.Time) []reach.Replica {
		var out []reach.Replica
		for i := range n {
			r := reach.Replica{Pool: "p", Path: &reach.Path{}, Way: reach.Way{Open: 1}}
			r.Path.Heard(now)
			if i < refused {
				r.Way.RefusedAt = since
			}
			out = append(out, r)
		}
		return out
	}

	DescribeTable("is degraded when most of them refuse", func(n, refused int, age time.Duration, want bool) {
		changed := m.Judge(now, replicas(n, refused, now.Add(-age)))
		Expect(m.Cuts().Degraded["p"]).To(Equal(want))
		Expect(changed).To(Equal(want))
		Expect(m.Cuts().Any()).To(Equal(want))
		Expect(m.Cuts().Impaired("p")).To(Equal(want))
		Expect(m.Cuts().Has("p")).To(BeFalse(), "open connections are used")
	},
		Entry("none", 9, 0, time.Duration(0), false),
		Entry("some that restart", 9, 4, time.Second, false),
		Entry("most", 9, 5, time.Second, true),
		Entry("two of three", 3, 2, time.Second, false),
		Entry("all of three", 3, 3, time.Second, true),
		Entry("the only one", 1, 1, time.Second, true),
		Entry("all, long ago", 9, 9, 6*time.Second, false),
	)

	// Guards against a swing: requests would go back to all replicas at once although
	// none was reached, because no attempt was made meanwhile.
	It("remains degraded, without further attempts, until connections were opened", func() {
		refusedAt := now
		m.Judge(now, replicas(9, 9, refusedAt))
		now = now.Add(time.Minute)
		Expect(m.Judge(now, replicas(9, 9, refusedAt))).To(BeFalse())
		Expect(m.Cuts().Degraded["p"]).To(BeTrue())
		Expect(m.Judge(now, replicas(9, 5, refusedAt))).To(BeFalse())
		Expect(m.Judge(now, replicas(9, 4, refusedAt))).To(BeTrue())
		Expect(m.Cuts().Any()).To(BeFalse())
	})

	It("is one that the VM is cut off from when none of them is heard", func() {
		all := replicas(9, 9, now)
		now = now.Add(500 * time.Millisecond)
		for _, r := range all {
			r.Path.Sent(now, 60*time.Millisecond)
			r.Path.Failed(now)
		}
		Expect(m.Judge(now, all)).To(BeTrue())
		Expect(m.Cuts().All).To(BeTrue())
		Expect(m.Cuts().Degraded).To(BeEmpty())
	})
})

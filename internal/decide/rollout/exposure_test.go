package rollout_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/decide/era"
	"github.com/sapphirewall/sapphirewall/internal/decide/rollout"
)

var epoch = time.Unix(1_800_000_000, 0)

// exposureOf is an Exposure that has been told a phase now.
func exposureOf(l rollout.Limits, p rollout.Phase) *rollout.Exposure {
	e := rollout.NewExposure(l)
	e.Heard(epoch, p, false)
	return e
}

// send assigns requests of routes in turn, each of which is answered, and returns how
// many of each route went to the new version.
func send(e *rollout.Exposure, now time.Time, n int, routes ...string) map[string]int {
	out := map[string]int{}
	for i := range n {
		route := routes[i%len(routes)]
		if e.Assign(now, route) == rollout.NewVersion {
			e.CountSent(route)
			out[route]++
		}
		e.CountAnswered()
	}
	return out
}

var _ = Describe("Exposure", func() {
	limits := rollout.Limits{Share: 0.1, Slack: 6, Rollback: 5 * time.Second}

	It("allows nothing until a judge is heard, and nothing without one for longer than the time to roll back leaves", func() {
		e := rollout.NewExposure(limits)
		Expect(send(e, epoch, 1000, "a")).To(BeEmpty())
		e = exposureOf(limits, rollout.Trial)
		Expect(send(e, epoch.Add(1400*time.Millisecond), 1000, "a")["a"]).To(BeNumerically(">", 0))
		Expect(send(e, epoch.Add(1500*time.Millisecond), 1000, "a")).To(BeEmpty())
	})

	DescribeTable("stays within the limits at every moment", func(p rollout.Phase) {
		e := exposureOf(limits, p)
		sent := 0
		for i := range 5000 {
			sent += send(e, epoch, 1, "a")["a"]
			Expect(float64(sent)).To(BeNumerically("<=", limits.Share*float64(i)+limits.Slack), "after %d requests", i)
		}
		Expect(sent).To(BeNumerically(">", 50))
	},
		Entry("in a trial", rollout.Trial),
		Entry("in a probe", rollout.Probe),
		Entry("in a takeover", rollout.Takeover),
	)

	It("samples a rare route like the others", func() {
		e := exposureOf(rollout.Limits{Share: 0.1, Slack: 0, Rollback: 5 * time.Second}, rollout.Trial)
		got := send(e, epoch, 10000, "a", "a", "a", "a", "a", "a", "a", "a", "a", "b")
		Expect(got["b"]).To(BeNumerically(">", got["a"]/2), fmt.Sprint(got))
	})

	It("sends everything to the new version in a commit, and to the old one if no judge is heard", func() {
		e := exposureOf(limits, rollout.Commit)
		Expect(send(e, epoch, 100, "a")["a"]).To(Equal(100))
		Expect(e.ExtraClass(epoch)).To(Equal(rollout.NewVersion))
		later := epoch.Add(2 * time.Second)
		Expect(send(e, later, 100, "a")).To(BeEmpty())
		c, ok := e.Fallback(later, rollout.OldVersion)
		Expect(ok).To(BeTrue(), "the old replicas may have been given up")
		Expect(c).To(Equal(rollout.NewVersion))
	})

	It("keeps a veto, unless the store records a completion", func() {
		e := exposureOf(limits, rollout.RolledBack)
		Expect(e.Heard(epoch, rollout.Takeover, false)).To(BeFalse())
		Expect(e.Heard(epoch, rollout.Commit, true)).To(BeFalse())
		Expect(send(e, epoch, 100, "a")).To(BeEmpty())
		_, ok := e.Fallback(epoch, rollout.OldVersion)
		Expect(ok).To(BeFalse())
		Expect(e.Heard(epoch, rollout.Completed, true)).To(BeTrue())
		Expect(send(e, epoch, 100, "a")["a"]).To(Equal(100))
		Expect(e.Heard(epoch, rollout.RolledBack, true)).To(BeFalse())
	})

	It("lets the new version serve what no old replica can, within the limits", func() {
		e := exposureOf(limits, rollout.Trial)
		allowed := 0
		for range 1000 {
			if _, ok := e.Fallback(epoch, rollout.OldVersion); ok {
				e.CountSent("a")
				allowed++
			}
		}
		Expect(allowed).To(BeNumerically("~", limits.Slack, 1))
	})
})

var _ = Describe("Present", func() {
	old := rollout.Member{Version: "v1", Start: 1000}
	young := rollout.Member{Version: "v2", Start: 2000}
	none := map[string]bool{}

	It("is the version that started first, and stays it while it has a replica", func() {
		var p rollout.Present
		Expect(p.Observe(epoch, []rollout.Member{young, old}, none)).To(BeTrue())
		v, known := p.Version()
		Expect(known).To(BeTrue())
		Expect(v).To(Equal("v1"))
		restarted := rollout.Member{Version: "v1", Start: 3000}
		Expect(p.Observe(epoch, []rollout.Member{young, restarted}, none)).To(BeFalse())
	})

	It("is not a version of an order, even while the others have no replica", func() {
		var p rollout.Present
		Expect(p.Observe(epoch, []rollout.Member{young}, map[string]bool{"v2": true})).To(BeFalse())
		_, known := p.Version()
		Expect(known).To(BeFalse())
	})

	It("changes without an order only after it had no replica for a while", func() {
		var p rollout.Present
		p.Observe(epoch, []rollout.Member{old}, none)
		Expect(p.Observe(epoch.Add(time.Second), []rollout.Member{young}, none)).To(BeFalse())
		Expect(p.Observe(epoch.Add(5*time.Second), []rollout.Member{young}, none)).To(BeFalse())
		Expect(p.Observe(epoch.Add(6*time.Second), []rollout.Member{young}, none)).To(BeTrue())
		v, _ := p.Version()
		Expect(v).To(Equal("v2"))
	})
})

var _ = Describe("Order", func() {
	o := rollout.Order{Pool: "p", Version: "v2", Duration: time.Minute, Revision: era.Join(3, 70)}

	It("is repeated by one that is read after a restore of the store, not by one in the same era", func() {
		again := o
		again.Revision = era.Join(4, 60)
		Expect(again.Repeats(o)).To(BeTrue())
		Expect(o.Repeats(again)).To(BeFalse())
		again.Revision = era.Join(3, 80)
		Expect(again.Repeats(o)).To(BeFalse())
		again.Revision, again.Version = era.Join(4, 60), "v3"
		Expect(again.Repeats(o)).To(BeFalse())
	})

	It("has phases that are written by name", func() {
		for p := rollout.NoPhase; p <= rollout.RolledBack; p++ {
			parsed, ok := rollout.ParsePhase(p.String())
			Expect(ok).To(BeTrue())
			Expect(parsed).To(Equal(p))
		}
		_, ok := rollout.ParsePhase("moving")
		Expect(ok).To(BeFalse())
	})
})

package rollout_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/decide/rollout"
	"github.com/sapphirewall/sapphirewall/internal/standin/traffic"
	"github.com/sapphirewall/sapphirewall/internal/tables"
)

func TestRollout(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "rollout")
}

const (
	seeds          = 3
	smallShare     = 0.05
	rollbackWithin = 3 * time.Second
)

// ramp is a naive policy that raises the share by the time alone.
func ramp(pool *tables.Pool, _ rollout.Progress, now time.Time, id string) string {
	r := *pool
	done := now.Sub(r.Rollout.Start).Seconds() / r.Rollout.End.Sub(r.Rollout.Start).Seconds()
	if hashFraction(id) < done {
		return r.Rollout.To
	}
	return r.Rollout.From
}

func hashFraction(id string) float64 {
	h := uint32(2166136261)
	for _, c := range id {
		h = (h ^ uint32(c)) * 16777619
	}
	return float64(h%1000) / 1000
}

// errorThreshold is a naive judge that vetoes above a fixed error rate, without
// a comparison with the old version.
type errorThreshold struct {
	*rollout.Judge
	last   map[string]rollout.Sums
	vetoed bool
}

func (t *errorThreshold) Report(now time.Time, node string, incarnation uint64, stats []rollout.Stat) {
	t.Judge.Report(now, node, incarnation, stats)
	for _, s := range stats {
		last := t.last[node+s.Route]
		if s.Version == traffic.New && s.Sums.Requests > last.Requests {
			n, e := s.Sums.Requests-last.Requests, s.Sums.Errors-last.Errors
			t.vetoed = t.vetoed || n >= 10 && e*10 > n
			t.last[node+s.Route] = s.Sums
		}
	}
}

func (t *errorThreshold) Decide(now time.Time) rollout.Progress {
	p := t.Judge.Decide(now)
	p.Vetoed = t.vetoed
	return p
}

func newErrorThreshold(r tables.Rollout, p rollout.Progress) traffic.Judge {
	return &errorThreshold{Judge: rollout.NewJudge(r, p), last: map[string]rollout.Sums{}}
}

// stopsAtLastStage is a naive judge that decides nothing once the last stage is
// reached.
type stopsAtLastStage struct{ *rollout.Judge }

func (s stopsAtLastStage) Decide(now time.Time) rollout.Progress {
	if s.Progress().Stage == rollout.LastStage {
		return s.Progress()
	}
	return s.Judge.Decide(now)
}

// detectableAt returns when the fault became detectable, or the time of the veto
// if it never did.
func detectableAt(r traffic.Result) time.Duration {
	if r.DetectableAt == traffic.Never {
		return r.VetoedAt
	}
	return r.DetectableAt
}

// isRolledBack reports whether a bad version was vetoed, received a small share
// of all traffic while its fault was active, and none soon after the fault
// became detectable.
func isRolledBack(r traffic.Result) bool {
	var all, faulty int
	for _, s := range r.Seconds {
		all += s.Requests
		faulty += s.Faulty
	}
	return r.VetoedAt != traffic.Never && float64(faulty) <= smallShare*float64(all) && r.LastNewAt <= detectableAt(r)+rollbackWithin
}

func isFinished(r traffic.Result, by time.Duration) bool {
	return r.VetoedAt == traffic.Never && r.CompletedAt != traffic.Never && r.CompletedAt <= by
}

func run(seed uint64, f traffic.Fault, t traffic.Disturbances, change func(*traffic.Config)) traffic.Result {
	cfg := traffic.Default(seed)
	cfg.Fault, cfg.Disturbances = f, t
	if change != nil {
		change(&cfg)
	}
	return traffic.Run(cfg)
}

func count(n uint64, ok func(seed uint64) bool) int {
	good := 0
	for seed := range n {
		if ok(seed) {
			good++
		}
	}
	return good
}

const (
	late   = 5*time.Minute + 10*time.Second // after the end of the rollout
	minute = time.Minute
)

var _ = Describe("a rollout", func() {
	DescribeTable("of a bad version is rolled back while its share is small",
		func(f traffic.Fault, t traffic.Disturbances) {
			Expect(count(seeds, func(seed uint64) bool { return isRolledBack(run(seed, f, t, nil)) })).To(BeEquivalentTo(seeds))
		},
		Entry("errors", traffic.Fault{Errors: 1}, traffic.Disturbances{}),
		Entry("crashes", traffic.Fault{Crashes: 0.5}, traffic.Disturbances{}),
		Entry("slow", traffic.Fault{SlowFactor: 10}, traffic.Disturbances{}),
		Entry("errors on a single route", traffic.Fault{Errors: 1, Route: "route-1"}, traffic.Disturbances{}),
		Entry("late errors", traffic.Fault{Errors: 0.3, After: late}, traffic.Disturbances{}),
		Entry("late slowness", traffic.Fault{SlowFactor: 4, After: late}, traffic.Disturbances{}),
		Entry("late crashes", traffic.Fault{Crashes: 0.3, After: late}, traffic.Disturbances{}),
		Entry("errors under load", traffic.Fault{Errors: 0.3, MinShare: 0.4}, traffic.Disturbances{}),
		Entry("slow under load", traffic.Fault{SlowFactor: 4, MinShare: 0.4}, traffic.Disturbances{}),
		Entry("errors amid noise", traffic.Fault{Errors: 1}, traffic.Disturbances{NoisePeriod: 20 * time.Second}),
		Entry("judge replaced just after the fault starts", traffic.Fault{Errors: 1, After: minute}, traffic.Disturbances{JudgeReplacedAt: minute + time.Second}),
	)
	DescribeTable("of a good version completes in time and is not rolled back",
		func(t traffic.Disturbances) {
			by := traffic.Default(0).Duration
			Expect(count(seeds, func(seed uint64) bool { return isFinished(run(seed, traffic.Fault{}, t, nil), by) })).To(BeEquivalentTo(seeds))
		},
		Entry("quiet", traffic.Disturbances{}),
		Entry("noise", traffic.Disturbances{NoisePeriod: 20 * time.Second}),
		Entry("noise after the last stage", traffic.Disturbances{NoisePeriod: 5 * minute}),
		Entry("straggler", traffic.Disturbances{Stragglers: 1}),
		Entry("zone out of service", traffic.Disturbances{ZoneOutAt: minute}),
		Entry("zone out of service after the last stage", traffic.Disturbances{ZoneOutAt: late}),
		Entry("judge replaced", traffic.Disturbances{JudgeReplacedAt: minute}),
		Entry("node restarted", traffic.Disturbances{NodeReplacedAt: minute}),
		Entry("node paused", traffic.Disturbances{NodePausedAt: minute}),
		Entry("late reports", traffic.Disturbances{ReportDelay: 500 * time.Millisecond}),
	)
	It("does not complete in time, or not safely, under a naive policy", func() {
		by := traffic.Default(0).Duration
		bad := count(seeds, func(seed uint64) bool {
			return isRolledBack(run(seed, traffic.Fault{Errors: 0.3, MinShare: 0.4}, traffic.Disturbances{}, func(c *traffic.Config) { c.Choose = ramp }))
		})
		Expect(bad).To(BeZero(), "share raised by the time alone")
		good := count(seeds, func(seed uint64) bool {
			return isFinished(run(seed, traffic.Fault{}, traffic.Disturbances{NoisePeriod: 20 * time.Second}, func(c *traffic.Config) { c.NewJudge = newErrorThreshold }), by)
		})
		Expect(good).To(BeNumerically("<", seeds), "fixed error threshold")
		caught := count(seeds, func(seed uint64) bool {
			return isRolledBack(run(seed, traffic.Fault{Errors: 0.3, After: late}, traffic.Disturbances{}, func(c *traffic.Config) {
				c.NewJudge = func(r tables.Rollout, p rollout.Progress) traffic.Judge {
					return stopsAtLastStage{rollout.NewJudge(r, p)}
				}
			}))
		})
		Expect(caught).To(BeZero(), "no decisions after the last stage")
	})
})

var _ = Describe("Choose", func() {
	start := time.Unix(1_800_000_000, 0)
	pool := func(versions ...string) *tables.Pool {
		p := &tables.Pool{Name: "p", Rollout: &tables.Rollout{From: "v1", To: "v2", Share: 1, Start: start, End: start.Add(minute)}}
		for _, v := range versions {
			p.Upstreams = append(p.Upstreams, tables.Upstream{Version: v})
		}
		return p
	}
	It("returns the same version for the same request, and keeps the new one as the share grows", func() {
		both := pool("v1", "v2")
		moved := 0
		for i := range 2000 {
			id := fmt.Sprint(i)
			was := rollout.Choose(both, rollout.Progress{Stage: 1}, start.Add(minute), id)
			Expect(rollout.Choose(both, rollout.Progress{Stage: 1}, start.Add(minute), id)).To(Equal(was))
			if was == "v2" {
				moved++
				Expect(rollout.Choose(both, rollout.Progress{Stage: 2}, start.Add(minute), id)).To(Equal("v2"))
			}
			Expect(rollout.Choose(both, rollout.Progress{Stage: 4, Vetoed: true}, start.Add(minute), id)).To(Equal("v1"))
			Expect(rollout.Choose(both, rollout.Progress{Stage: 4}, start.Add(-1), id)).To(Equal("v1"))
		}
		Expect(moved).To(BeNumerically("~", 200, 60))
	})
	It("returns no version without a rollout, and an unvetoed new one without old upstreams", func() {
		Expect(rollout.Choose(&tables.Pool{}, rollout.Progress{}, start, "x")).To(BeEmpty())
		Expect(rollout.Choose(pool("v2"), rollout.Progress{}, start, "x")).To(Equal("v2"))
		Expect(rollout.Choose(pool("v2"), rollout.Progress{Vetoed: true}, start, "x")).To(Equal("v1"))
	})
})

// BenchmarkRollout measures simulated rollouts, one seed per iteration.
//
//	go test ./internal/decide/rollout -run '^$' -bench Rollout -benchtime 100x
func BenchmarkRollout(b *testing.B) {
	faults := []struct {
		name  string
		fault traffic.Fault
	}{
		{"errors", traffic.Fault{Errors: 1}},
		{"errors-20%", traffic.Fault{Errors: 0.2}},
		{"errors-5%", traffic.Fault{Errors: 0.05}},
		{"slow-3x", traffic.Fault{SlowFactor: 3}},
		{"crashes-5%", traffic.Fault{Crashes: 0.05}},
		{"route-errors", traffic.Fault{Errors: 0.5, Route: "route-2"}},
		{"late-errors", traffic.Fault{Errors: 0.3, After: late}},
		{"late-slow", traffic.Fault{SlowFactor: 4, After: late}},
		{"load-errors", traffic.Fault{Errors: 0.3, MinShare: 0.4}},
	}
	for _, f := range faults {
		b.Run("bad/"+f.name, func(b *testing.B) { measureBad(b, f.fault, nil) })
		b.Run("bad/"+f.name+"/ramp", func(b *testing.B) { measureBad(b, f.fault, func(c *traffic.Config) { c.Choose = ramp }) })
	}
	troubles := []struct {
		name    string
		trouble traffic.Disturbances
	}{
		{"quiet", traffic.Disturbances{}},
		{"noise", traffic.Disturbances{NoisePeriod: 20 * time.Second}},
		{"straggler", traffic.Disturbances{Stragglers: 1}},
		{"2-stragglers", traffic.Disturbances{Stragglers: 2}},
		{"zone-out", traffic.Disturbances{ZoneOutAt: minute}},
		{"judge-lost", traffic.Disturbances{JudgeReplacedAt: minute}},
	}
	for _, t := range troubles {
		b.Run("good/"+t.name, func(b *testing.B) { measureGood(b, t.trouble, nil) })
		b.Run("good/"+t.name+"/threshold", func(b *testing.B) {
			measureGood(b, t.trouble, func(c *traffic.Config) { c.NewJudge = newErrorThreshold })
		})
	}
}

func measureBad(b *testing.B, f traffic.Fault, change func(*traffic.Config)) {
	var share float64
	var ends []float64
	kept := 0
	for seed := range uint64(b.N) {
		r := run(seed, f, traffic.Disturbances{}, change)
		all, faulty := 0, 0
		for _, s := range r.Seconds {
			all += s.Requests
			faulty += s.Faulty
		}
		share = max(share, float64(faulty)/float64(all))
		if !isRolledBack(r) {
			kept++
		}
		ends = append(ends, max(0, r.LastNewAt-detectableAt(r)).Seconds())
	}
	slices.Sort(ends)
	b.ReportMetric(100*share, "max-bad-share-%")
	b.ReportMetric(ends[len(ends)/2], "s-to-none-p50")
	b.ReportMetric(ends[len(ends)-1], "s-to-none-max")
	b.ReportMetric(100*float64(kept)/float64(b.N), "outside-promise-%")
}

func measureGood(b *testing.B, t traffic.Disturbances, change func(*traffic.Config)) {
	var done []float64
	finished := 0
	for seed := range uint64(b.N) {
		r := run(seed, traffic.Fault{}, t, change)
		if isFinished(r, traffic.Default(0).Duration) {
			finished++
			done = append(done, r.CompletedAt.Seconds())
		}
	}
	slices.Sort(done)
	b.ReportMetric(100*float64(finished)/float64(b.N), "done-in-time-%")
	if len(done) > 0 {
		b.ReportMetric(done[len(done)-1], "s-to-done-max")
	}
}

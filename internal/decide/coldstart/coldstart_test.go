package coldstart_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sapphirewall/sapphirewall/internal/decide/coldstart"
)

func TestColdstart(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "coldstart")
}

const service = 4 * time.Millisecond

var cfg = coldstart.Config{Cold: 1, Warm: 4}

// serve lets the replica answer at the full limit for a while, with times
// drawn from half to one and a half of mean, and returns the time after it.
func serve(w *coldstart.Warmup, now time.Time, during, mean time.Duration) time.Time {
	rng := rand.New(rand.NewPCG(1, 1))
	for end := now.Add(during); now.Before(end); now = now.Add(mean) {
		for range w.Limit(now) {
			w.Succeeded(now, mean/2+rand2(rng, mean), true)
		}
	}
	return now
}

func rand2(rng *rand.Rand, d time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(d))) }

// warm returns a replica that has been shown to bear its full load.
func warm() (*coldstart.Warmup, time.Time) {
	begin := time.Unix(1000, 0)
	w := coldstart.New(cfg, begin)
	w.Reported(begin, "s1", false)
	now := serve(w, begin, 5*time.Second, service)
	Expect(w.Limit(now)).To(Equal(cfg.Warm))
	return w, now
}

var _ = Describe("Warmup", func() {
	It("goes up one by one, by evidence only", func() {
		begin := time.Unix(1000, 0)
		w := coldstart.New(cfg, begin)
		Expect(w.Limit(begin)).To(Equal(1))
		Expect(w.Limit(begin.Add(time.Hour))).To(Equal(1), "time alone is no evidence")
		for range 100 {
			w.Succeeded(begin.Add(time.Hour), service, false)
		}
		Expect(w.Limit(begin.Add(time.Hour))).To(Equal(1), "runs below the limit are no evidence")
		now := serve(w, begin, 250*time.Millisecond, service)
		Expect(w.Limit(now)).To(Equal(2))
		now = serve(w, now, time.Second, service)
		Expect(w.Limit(now)).To(Equal(4))
	})

	DescribeTable("goes back to the cold budget",
		func(event func(w *coldstart.Warmup, now time.Time)) {
			w, now := warm()
			event(w, now)
			Expect(w.Limit(now)).To(Equal(cfg.Cold))
			Expect(w.IsCold()).To(BeTrue())
		},
		Entry("on a changed start id", func(w *coldstart.Warmup, now time.Time) { w.Reported(now, "s2", false) }),
		Entry("on a report of being cold", func(w *coldstart.Warmup, now time.Time) { w.Reported(now, "s1", true) }),
		Entry("on a lost connection", func(w *coldstart.Warmup, now time.Time) { w.Disconnected(now) }),
		Entry("on five slow runs", func(w *coldstart.Warmup, now time.Time) {
			for range 5 {
				w.Succeeded(now, 10*service, false)
			}
		}),
		Entry("on five runs given up", func(w *coldstart.Warmup, now time.Time) {
			for range 5 {
				w.Unanswered(now, 10*service)
			}
		}),
	)

	It("grows again when slowness has become normal, and after a report that stays cold", func() {
		w, now := warm()
		now = serve(w, now, 100*time.Millisecond, 10*service)
		Expect(w.Limit(now)).To(Equal(cfg.Cold))
		now = serve(w, now, time.Minute, 10*service)
		Expect(w.Limit(now)).To(Equal(cfg.Warm))
		for range 100 {
			w.Reported(now, "s1", true)
			now = serve(w, now, time.Second, 10*service)
		}
		Expect(w.Limit(now)).To(Equal(cfg.Warm))
	})

	It("holds back while the replica says that it is cold, and while it is slower than its siblings", func() {
		begin := time.Unix(1000, 0)
		w := coldstart.New(cfg, begin)
		w.Reported(begin, "s1", true)
		Expect(w.Limit(serve(w, begin, 5*time.Second, service))).To(Equal(cfg.Cold))
		w = coldstart.New(cfg, begin)
		w.SetBaseline(service)
		Expect(w.Limit(serve(w, begin, 300*time.Millisecond, 10*service))).To(Equal(cfg.Cold))
	})

	It("steps down when shed", func() {
		w, now := warm()
		w.Rejected(now)
		Expect(w.Limit(now)).To(Equal(cfg.Warm - 1))
	})

	It("keeps two owners under the cold budget during a hand-over", func() {
		begin := time.Unix(1000, 0)
		a, b := coldstart.New(coldstart.Config{Cold: 2, Warm: 4}, begin), coldstart.New(coldstart.Config{Cold: 2, Warm: 4}, begin)
		a.StartHandover(begin)
		b.StartHandover(begin)
		Expect(a.Limit(begin)).To(BeZero())
		for at := begin; at.Before(begin.Add(coldstart.HandoverSettle)); at = at.Add(service) {
			a.Succeeded(at, service, true)
			b.Succeeded(at, service, true)
			Expect(a.Limit(at) + b.Limit(at)).To(BeNumerically("<=", 2))
		}
		Expect(b.NextChange(begin)).To(Equal(begin.Add(coldstart.HandoverQuiet)))
	})

	It("stays between nothing and the warm budget, for every order of events", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			now := time.Unix(1000, 0)
			w := coldstart.New(cfg, now)
			for range rapid.IntRange(1, 300).Draw(t, "events") {
				now = now.Add(time.Duration(rapid.Int64Range(0, int64(300*time.Millisecond)).Draw(t, "pause")))
				took := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "took"))
				before := w.Limit(now)
				reset := false
				switch rapid.IntRange(0, 5).Draw(t, "event") {
				case 0, 1:
					w.Succeeded(now, took, true)
				case 2:
					w.Unanswered(now, took)
				case 3:
					w.Rejected(now)
				case 4:
					w.Disconnected(now)
					reset = true
				case 5:
					w.StartHandover(now)
				}
				is := w.Limit(now)
				if is < 0 || is > cfg.Warm || is > before+1 || reset && is > cfg.Cold {
					t.Fatalf("limit went from %d to %d", before, is)
				}
			}
		})
	})
})

func BenchmarkWarmup(b *testing.B) {
	now := time.Unix(1000, 0)
	w := coldstart.New(cfg, now)
	b.ReportAllocs()
	for range b.N {
		w.Succeeded(now, service, true)
		_ = w.Limit(now)
	}
}

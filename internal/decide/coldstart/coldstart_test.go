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

const serviceTime = 4 * time.Millisecond

var cfg = coldstart.Config{Cold: 1, Warm: 4}

// serve executes attempts at the full limit for a while, with latencies uniform
// between half and one and a half of mean, and returns the time at the end.
func serve(w *coldstart.Warmup, now time.Time, duration, mean time.Duration) time.Time {
	rng := rand.New(rand.NewPCG(1, 1))
	for end := now.Add(duration); now.Before(end); now = now.Add(mean) {
		for range w.Limit(now) {
			w.Succeeded(now, mean/2+randDuration(rng, mean), true)
		}
	}
	return now
}

func randDuration(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(d)))
}

// warm returns the state of a replica whose limit has grown to its warm capacity.
func warm() (*coldstart.Warmup, time.Time) {
	begin := time.Unix(1000, 0)
	w := coldstart.New(cfg, begin)
	w.Reported(begin, "s1", false)
	now := serve(w, begin, 5*time.Second, serviceTime)
	Expect(w.Limit(now)).To(Equal(cfg.Warm))
	return w, now
}

var _ = Describe("Warmup", func() {
	It("grows by one at a time, only on evidence", func() {
		begin := time.Unix(1000, 0)
		w := coldstart.New(cfg, begin)
		Expect(w.Limit(begin)).To(Equal(1))
		Expect(w.Limit(begin.Add(time.Hour))).To(Equal(1), "no growth with time alone")
		for range 100 {
			w.Succeeded(begin.Add(time.Hour), serviceTime, false)
		}
		Expect(w.Limit(begin.Add(time.Hour))).To(Equal(1), "no growth by attempts that do not fill the limit")
		now := serve(w, begin, 250*time.Millisecond, serviceTime)
		Expect(w.Limit(now)).To(Equal(2))
		now = serve(w, now, time.Second, serviceTime)
		Expect(w.Limit(now)).To(Equal(4))
	})

	DescribeTable("returns to the cold budget",
		func(event func(w *coldstart.Warmup, now time.Time)) {
			w, now := warm()
			event(w, now)
			Expect(w.Limit(now)).To(Equal(cfg.Cold))
			Expect(w.IsCold()).To(BeTrue())
		},
		Entry("on a changed start ID", func(w *coldstart.Warmup, now time.Time) { w.Reported(now, "s2", false) }),
		Entry("on a report of being cold", func(w *coldstart.Warmup, now time.Time) { w.Reported(now, "s1", true) }),
		Entry("on a lost connection", func(w *coldstart.Warmup, now time.Time) { w.Disconnected(now) }),
		Entry("on five slow attempts", func(w *coldstart.Warmup, now time.Time) {
			for range 5 {
				w.Succeeded(now, 10*serviceTime, false)
			}
		}),
		Entry("on five unanswered attempts", func(w *coldstart.Warmup, now time.Time) {
			for range 5 {
				w.Unanswered(now, 10*serviceTime)
			}
		}),
	)

	It("grows again after lasting slowness, and despite a report of being cold that never ends", func() {
		w, now := warm()
		now = serve(w, now, 100*time.Millisecond, 10*serviceTime)
		Expect(w.Limit(now)).To(Equal(cfg.Cold))
		now = serve(w, now, time.Minute, 10*serviceTime)
		Expect(w.Limit(now)).To(Equal(cfg.Warm))
		for range 100 {
			w.Reported(now, "s1", true)
			now = serve(w, now, time.Second, 10*serviceTime)
		}
		Expect(w.Limit(now)).To(Equal(cfg.Warm))
	})

	It("does not grow while the replica reports to be cold or is slower than other replicas", func() {
		begin := time.Unix(1000, 0)
		w := coldstart.New(cfg, begin)
		w.Reported(begin, "s1", true)
		Expect(w.Limit(serve(w, begin, 5*time.Second, serviceTime))).To(Equal(cfg.Cold))
		w = coldstart.New(cfg, begin)
		w.SetBaseline(serviceTime)
		Expect(w.Limit(serve(w, begin, 300*time.Millisecond, 10*serviceTime))).To(Equal(cfg.Cold))
	})

	It("decreases by one when the replica rejects an attempt", func() {
		w, now := warm()
		w.Rejected(now)
		Expect(w.Limit(now)).To(Equal(cfg.Warm - 1))
	})

	It("keeps two owners within the cold budget during a handover", func() {
		begin := time.Unix(1000, 0)
		a, b := coldstart.New(coldstart.Config{Cold: 2, Warm: 4}, begin), coldstart.New(coldstart.Config{Cold: 2, Warm: 4}, begin)
		a.StartHandover(begin)
		b.StartHandover(begin)
		Expect(a.Limit(begin)).To(BeZero())
		for at := begin; at.Before(begin.Add(coldstart.HandoverSettle)); at = at.Add(serviceTime) {
			a.Succeeded(at, serviceTime, true)
			b.Succeeded(at, serviceTime, true)
			Expect(a.Limit(at) + b.Limit(at)).To(BeNumerically("<=", 2))
		}
		Expect(b.NextChange(begin)).To(Equal(begin.Add(coldstart.HandoverQuiet)))
	})

	It("stays between zero and the warm capacity, and grows by one at most, whatever the order of events", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			now := time.Unix(1000, 0)
			w := coldstart.New(cfg, now)
			for range rapid.IntRange(1, 300).Draw(t, "events") {
				now = now.Add(time.Duration(rapid.Int64Range(0, int64(300*time.Millisecond)).Draw(t, "pause")))
				latency := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "took"))
				oldLimit := w.Limit(now)
				reset := false
				switch rapid.IntRange(0, 5).Draw(t, "event") {
				case 0, 1:
					w.Succeeded(now, latency, true)
				case 2:
					w.Unanswered(now, latency)
				case 3:
					w.Rejected(now)
				case 4:
					w.Disconnected(now)
					reset = true
				case 5:
					w.StartHandover(now)
				}
				newLimit := w.Limit(now)
				if newLimit < 0 || newLimit > cfg.Warm || newLimit > oldLimit+1 || reset && newLimit > cfg.Cold {
					t.Fatalf("limit changed from %d to %d", oldLimit, newLimit)
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
		w.Succeeded(now, serviceTime, true)
		_ = w.Limit(now)
	}
}

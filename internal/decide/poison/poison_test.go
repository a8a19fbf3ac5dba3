package poison_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/decide/poison"
)

func TestPoison(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "poison")
}

const (
	bad      = uint64(1)
	harmless = uint64(2)
)

var begin = time.Unix(1000, 0)

func refused(t interface {
	Refuse(time.Time, uint64) (time.Duration, bool)
}, now time.Time, fp uint64,
) bool {
	_, yes := t.Refuse(now, fp)
	return yes
}

// crashCounter is a naive tracker that refuses every request in flight at
// Threshold crashes, whether or not it was answered since.
type crashCounter map[uint64]int

func (c crashCounter) RecordCrash(_ time.Time, fps []uint64) bool {
	for _, fp := range fps {
		c[fp]++
	}
	return true
}
func (c crashCounter) RecordAnswer(uint64) bool { return false }
func (c crashCounter) Refuse(_ time.Time, fp uint64) (time.Duration, bool) {
	return 0, c[fp] >= poison.Threshold
}

type tracker interface {
	RecordCrash(time.Time, []uint64) bool
	RecordAnswer(uint64) bool
	Refuse(time.Time, uint64) (time.Duration, bool)
}

// countCrashes sends the bad request each second until it is refused, always
// together with a harmless one that is also sent alone, and returns the number
// of replica crashes.
func countCrashes(t tracker, seconds int) (crashes int) {
	for i := range seconds {
		now := begin.Add(time.Duration(i) * time.Second)
		if refused(t, now, bad) {
			continue
		}
		for range 25 { // the replicas of 25 shards crash together
			t.RecordCrash(now, []uint64{bad, harmless})
			crashes++
		}
		t.RecordAnswer(harmless)
	}
	return crashes
}

var _ = Describe("Tracker", func() {
	It("refuses a bad request after few crashes, but no harmless one, unlike a plain count of crashes", func() {
		now := begin.Add(100 * time.Second)
		t := poison.NewTracker()
		Expect(countCrashes(t, 100)).To(Equal(25 * poison.Threshold))
		Expect(refused(t, now, bad)).To(BeTrue())
		Expect(refused(t, now, harmless)).To(BeFalse())
		naive := crashCounter{}
		countCrashes(naive, 100)
		Expect(refused(naive, now, harmless)).To(BeTrue())
	})

	It("expires suspicions, and counts simultaneous crashes as one", func() {
		t := poison.NewTracker()
		for range 10 {
			t.RecordCrash(begin, []uint64{bad})
		}
		Expect(refused(t, begin, bad)).To(BeFalse())
		for i := range poison.Threshold {
			t.RecordCrash(begin.Add(time.Duration(i)*time.Second), []uint64{bad})
		}
		wait, yes := t.Refuse(begin.Add(10*time.Second), bad)
		Expect(yes).To(BeTrue())
		Expect(refused(t, begin.Add(10*time.Second).Add(wait), bad)).To(BeFalse())
		Expect(t.Suspects(begin.Add(time.Hour))).To(BeEmpty())
	})

	// Guards against a failure of many upstreams that evicts the request that caused it.
	It("keeps the requests with the most crashes when there are too many suspects", func() {
		t := poison.NewTracker()
		for i := range poison.Threshold {
			t.RecordCrash(begin.Add(time.Duration(i)*time.Second), []uint64{bad})
		}
		for i := range 5000 {
			t.RecordCrash(begin.Add(10*time.Second+time.Duration(i)*time.Millisecond), []uint64{uint64(1000 + i)})
		}
		Expect(refused(t, begin.Add(time.Minute), bad)).To(BeTrue())
	})

	It("keeps a bounded number of suspects", func() {
		t := poison.NewTracker()
		for i := range 10000 {
			t.RecordCrash(begin.Add(time.Duration(i)*time.Millisecond), []uint64{uint64(i)})
		}
		Expect(len(t.Suspects(begin.Add(10 * time.Second)))).To(BeNumerically("<=", 512))
	})
})

var _ = Describe("Aggregator", func() {
	It("merges the crashes that several owners observed, and removes those that they no longer report", func() {
		b := poison.NewAggregator()
		at := func(seconds ...int) []poison.Suspect {
			s := poison.Suspect{Fingerprint: bad}
			for _, n := range seconds {
				s.Crashes = append(s.Crashes, begin.Add(time.Duration(n)*time.Second))
			}
			return []poison.Suspect{s}
		}
		now := begin.Add(10 * time.Second)
		b.Update("a", at(1, 2))
		b.Update("b", at(1, 2))
		Expect(refused(b, now, bad)).To(BeFalse(), "two crashes, each observed by two owners")
		b.Update("c", at(3))
		Expect(refused(b, now, bad)).To(BeTrue())
		b.Update("a", nil)
		b.Update("b", nil)
		Expect(refused(b, now, bad)).To(BeFalse())
	})

	It("counts crashes close together alike in any order of the owners", func() {
		crashes := []int{0, 40, 60, 110} // ms; 0, 60 and 110 count
		rng := rand.New(rand.NewPCG(1, 2))
		for range 200 {
			b, order := poison.NewAggregator(), rng.Perm(len(crashes))
			for _, n := range order {
				at := begin.Add(time.Duration(crashes[n]) * time.Millisecond)
				b.Update(fmt.Sprint(n), []poison.Suspect{{Fingerprint: bad, Crashes: []time.Time{at}}})
			}
			Expect(refused(b, begin.Add(time.Second), bad)).To(BeTrue(), "order %v", order)
		}
	})
})

func BenchmarkRefuse(b *testing.B) {
	aggregator := poison.NewAggregator()
	aggregator.Update("a", []poison.Suspect{{Fingerprint: bad, Crashes: []time.Time{begin}}})
	b.ReportAllocs()
	for range b.N {
		aggregator.Refuse(begin, bad)
	}
}

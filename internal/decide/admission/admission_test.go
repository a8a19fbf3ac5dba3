package admission_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/decide/admission"
)

func TestAdmission(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "admission")
}

const (
	slots    = 20
	service  = 10 * time.Millisecond // 2,000 requests a second in all
	deadline = 300 * time.Millisecond
	length   = 20 * time.Second
)

// load is a route with its requests per second.
type load struct {
	route  string
	rate   float64
	urgent bool
}

// result counts what became of a route's requests.
type result struct {
	asked, answered, late, refused int
	refusedAfter                   time.Duration // longest wait for a refusal
}

// gate is the policy under test; the baseline lets everything in.
type gate interface {
	Offer(time.Time, admission.Request) admission.Decision
	Done(time.Time, string, time.Duration, bool) []admission.Decision
}

type open struct{}

func (open) Offer(_ time.Time, r admission.Request) admission.Decision {
	return admission.Decision{RequestID: r.ID, Admit: true}
}

func (open) Done(time.Time, string, time.Duration, bool) []admission.Decision { return nil }

// event is the arrival of a request, or the end of its run.
type event struct {
	at  time.Duration
	req *job
	end bool
}

type job struct {
	load
	ticket  uint64
	came    time.Duration
	entered time.Duration
}

// play offers the loads to servers with slots and one queue behind the gate.
func play(g gate, seed uint64, loads ...load) map[string]*result {
	rng := rand.New(rand.NewPCG(seed, 3))
	start := time.Unix(0, 0)
	results, jobs := map[string]*result{}, map[uint64]*job{}
	var events []event
	for _, l := range loads {
		results[l.route] = &result{}
		for t := time.Duration(0); t < length; t += time.Duration(rng.ExpFloat64() / l.rate * float64(time.Second)) {
			events = append(events, event{at: t, req: &job{load: l, came: t}})
		}
	}
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	var queue []*job
	var ends []event
	busy := 0
	run := func(now time.Duration) {
		for busy < slots && len(queue) > 0 {
			j := queue[0]
			queue = queue[1:]
			busy++
			e := event{at: now + time.Duration(rng.ExpFloat64()*float64(service)), req: j, end: true}
			i, _ := slices.BinarySearchFunc(ends, e, func(a, b event) int { return cmp.Compare(a.at, b.at) })
			ends = slices.Insert(ends, i, e)
		}
	}
	decide := func(now time.Duration, d admission.Decision) {
		j := jobs[d.RequestID]
		switch r := results[j.route]; {
		case d.Admit:
			j.entered = now
			queue = append(queue, j)
		case !d.Wait:
			r.refused++
			r.refusedAfter = max(r.refusedAfter, now-j.came)
		}
	}
	for len(events)+len(ends) > 0 {
		var e event
		if len(ends) > 0 && (len(events) == 0 || ends[0].at <= events[0].at) {
			e, ends = ends[0], ends[1:]
		} else {
			e, events = events[0], events[1:]
		}
		now := start.Add(e.at)
		if !e.end {
			e.req.ticket = uint64(len(jobs) + 1)
			jobs[e.req.ticket] = e.req
			results[e.req.route].asked++
			decide(e.at, g.Offer(now, admission.Request{ID: e.req.ticket, Route: e.req.route, Urgent: e.req.urgent, Deadline: now.Add(deadline)}))
		} else {
			busy--
			r := results[e.req.route]
			if e.at-e.req.came <= deadline {
				r.answered++
			} else {
				r.late++
			}
			for _, d := range g.Done(now, e.req.route, e.at-e.req.entered, true) {
				decide(e.at, d)
			}
		}
		run(e.at)
	}
	return results
}

func share(r *result) float64 { return float64(r.answered) / float64(r.asked) }

var _ = Describe("Controller", func() {
	const seed = 20260101

	It("answers what can be answered in time at twice the load; letting everything in answers next to nothing", func() {
		twice := load{route: "a", rate: 4000}
		got := play(admission.New(10_000), seed, twice)["a"]
		Expect(share(got)).To(BeNumerically(">", 0.4), "%+v", got)
		Expect(got.late).To(BeNumerically("<", got.asked/50), "%+v", got)
		Expect(got.refusedAfter).To(BeNumerically("<", deadline))
		naive := play(open{}, seed, twice)["a"]
		Expect(share(naive)).To(BeNumerically("<", 0.1), "%+v", naive)
	})

	It("refuses next to nothing below capacity", func() {
		got := play(admission.New(10_000), seed, load{route: "a", rate: 1200})["a"]
		Expect(share(got)).To(BeNumerically(">", 0.999), "%+v", got)
	})

	It("is fair to a small route beside a large one, and lets an urgent one in first", func() {
		got := play(admission.New(10_000), seed, load{route: "small", rate: 200}, load{route: "large", rate: 6000}, load{route: "urgent", rate: 200, urgent: true})
		Expect(share(got["small"])).To(BeNumerically(">", 0.9), "%+v", got["small"])
		Expect(share(got["urgent"])).To(BeNumerically(">", 0.99), "%+v", got["urgent"])
	})

	It("forgets a request that waits no longer", func() {
		c := admission.New(1)
		now := time.Unix(0, 0)
		r := admission.Request{ID: 2, Route: "a", Deadline: now.Add(time.Second)}
		Expect(c.Offer(now, admission.Request{ID: 1, Route: "a", Deadline: r.Deadline}).Admit).To(BeTrue())
		Expect(c.Offer(now, r).Wait).To(BeTrue())
		Expect(c.CancelWait(r)).To(BeTrue())
		Expect(c.CancelWait(r)).To(BeFalse())
		Expect(c.Done(now, "a", time.Millisecond, true)).To(BeEmpty())
	})
})

func BenchmarkOfferDone(b *testing.B) {
	c := admission.New(10_000)
	now := time.Unix(0, 0)
	b.ReportAllocs()
	for b.Loop() {
		c.Offer(now, admission.Request{Route: "a", Deadline: now.Add(time.Second)})
		c.Done(now, "a", time.Millisecond, true)
	}
}

// BenchmarkOverload reports the share answered in time at twice the capacity.
func BenchmarkOverload(b *testing.B) {
	var with, without *result
	for b.Loop() {
		with = play(admission.New(10_000), 1, load{route: "a", rate: 4000})["a"]
		without = play(open{}, 1, load{route: "a", rate: 4000})["a"]
	}
	b.ReportMetric(100*share(with), "%answered")
	b.ReportMetric(100*share(without), "%answered-baseline")
}

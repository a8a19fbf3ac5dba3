package limit_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sapphirewall/sapphirewall/internal/decide/limit"
)

func TestLimit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "limit")
}

const service = 10 * time.Millisecond

// warm returns a limiter that has learned the service time.
func warm(n int) *limit.Limiter {
	l := limit.New(n)
	l.Arrive(time.Second)
	l.Done(service)
	return l
}

// unbounded lets everybody wait.
type unbounded struct{ limit, inFlight, waiting int }

func (u *unbounded) Arrive(budget time.Duration) limit.Decision {
	if u.inFlight < u.limit {
		u.inFlight++
		return limit.Decision{Action: limit.Admit}
	}
	u.waiting++
	return limit.Decision{Action: limit.Wait, MaxWait: budget}
}

func (u *unbounded) Next() bool {
	if u.waiting == 0 || u.inFlight >= u.limit {
		return false
	}
	u.waiting--
	u.inFlight++
	return true
}

func (u *unbounded) Done(time.Duration) { u.inFlight-- }

type policy interface {
	Arrive(time.Duration) limit.Decision
	Next() bool
	Done(time.Duration)
}

// lateRuns offers twice what the replica can serve for a second and counts the
// runs that began too late to be served within the budget, and the others.
func lateRuns(p policy, slots int, budget time.Duration) (late, inTime int) {
	var queue []time.Duration
	for now := time.Duration(0); now < time.Second; now += service {
		for range slots {
			if now > 0 {
				p.Done(service)
			}
		}
		for p.Next() {
			if now-queue[0]+service > budget {
				late++
			} else {
				inTime++
			}
			queue = queue[1:]
		}
		for range 2 * slots {
			switch p.Arrive(budget).Action {
			case limit.Wait:
				queue = append(queue, now)
			case limit.Admit:
				inTime++
			}
		}
	}
	return late, inTime
}

var _ = Describe("Limiter", func() {
	It("refuses at once what can't be served in time; a queue without bound serves it too late", func() {
		const budget = 10 * service
		late, inTime := lateRuns(warm(4), 4, budget)
		Expect(late).To(BeZero())
		Expect(inTime).To(BeNumerically(">=", 380))
		late, _ = lateRuns(&unbounded{limit: 4}, 4, budget)
		Expect(late).To(BeNumerically(">", 100))
	})

	DescribeTable("an arrival when both slots are taken",
		func(budget time.Duration, waiting int, want limit.Action) {
			l := warm(2)
			l.Arrive(time.Second)
			l.Arrive(time.Second)
			for range waiting {
				Expect(l.Arrive(time.Hour).Action).To(Equal(limit.Wait))
			}
			d := l.Arrive(budget)
			Expect(d.Action).To(Equal(want))
			if want == limit.Refuse {
				Expect(d.RetryAfter).To(BeNumerically(">", 0))
				return
			}
			Expect(d.MaxWait).To(BeNumerically("<=", budget-service))
		},
		Entry("waits", time.Second, 0, limit.Wait),
		Entry("has no time to run", service, 0, limit.Refuse),
		Entry("has time to run, none to wait", 12*time.Millisecond, 0, limit.Refuse),
		Entry("has time to wait for a few", 100*time.Millisecond, 5, limit.Wait),
		Entry("has no time to wait for many", 100*time.Millisecond, 10, limit.Refuse),
		Entry("finds the queue full", time.Hour, 2*limit.MaxWaitersPerSlot, limit.Refuse),
	)

	It("never lets in more than the limit, for every order of events", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			l := limit.New(rapid.IntRange(0, 5).Draw(t, "limit"))
			for range rapid.IntRange(1, 300).Draw(t, "events") {
				before, was, waits := l.Counts()
				switch rapid.IntRange(0, 4).Draw(t, "event") {
				case 0:
					l.Arrive(time.Duration(rapid.Int64Range(-1, int64(time.Second)).Draw(t, "budget")))
				case 1:
					l.Next()
				case 2:
					l.SetLimit(rapid.IntRange(0, 5).Draw(t, "new limit"))
				case 3:
					if was > 0 {
						l.Done(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "served")))
					}
				case 4:
					if waits > 0 {
						l.CancelWait()
					}
				}
				_, is, waiting := l.Counts()
				if is > was && is > before || waiting < 0 || waiting > max(waits, 5*limit.MaxWaitersPerSlot) {
					t.Fatalf("%d in flight of %d, %d waiting", is, before, waiting)
				}
			}
		})
	})
})

func BenchmarkAcquire(b *testing.B) {
	l := warm(4)
	b.ReportAllocs()
	for range b.N {
		if l.Arrive(time.Second).Action == limit.Admit {
			l.Done(service)
		}
	}
}

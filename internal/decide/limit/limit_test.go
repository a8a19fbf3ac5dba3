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

const serviceTime = 10 * time.Millisecond

// warm returns an idle limiter that has observed one execution.
func warm(n int) *limit.Limiter {
	l := limit.New(n)
	l.Arrive(time.Second)
	l.Done(serviceTime)
	return l
}

// unbounded is the baseline: attempts wait in a queue without bound.
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

// simulate offers twice the replica's capacity for a second. It counts the
// executions that started too late to end within the budget, and the others.
func simulate(p policy, slots int, budget time.Duration) (late, inTime int) {
	var queue []time.Duration
	for now := time.Duration(0); now < time.Second; now += serviceTime {
		for range slots {
			if now > 0 {
				p.Done(serviceTime)
			}
		}
		for p.Next() {
			if now-queue[0]+serviceTime > budget {
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
	It("executes no attempt too late, whereas an unbounded queue does", func() {
		const budget = 10 * serviceTime
		late, inTime := simulate(warm(4), 4, budget)
		Expect(late).To(BeZero())
		Expect(inTime).To(BeNumerically(">=", 380))
		late, _ = simulate(&unbounded{limit: 4}, 4, budget)
		Expect(late).To(BeNumerically(">", 100))
	})

	DescribeTable("an attempt that arrives while both slots are taken",
		func(budget time.Duration, waiting int, want limit.Action) {
			l := warm(2)
			l.Arrive(time.Second)
			l.Arrive(time.Second)
			for range waiting {
				Expect(l.Arrive(time.Hour).Action).To(Equal(limit.Wait))
			}
			d := l.Arrive(budget)
			Expect(d.Action).To(Equal(want))
			if want == limit.Reject {
				Expect(d.RetryAfter).To(BeNumerically(">", 0))
				return
			}
			Expect(d.MaxWait).To(BeNumerically("<=", budget-serviceTime))
		},
		Entry("waits", time.Second, 0, limit.Wait),
		Entry("is rejected when its budget is used up by its execution", serviceTime, 0, limit.Reject),
		Entry("is rejected when its budget leaves too little time to wait", 12*time.Millisecond, 0, limit.Reject),
		Entry("waits behind a short queue", 100*time.Millisecond, 5, limit.Wait),
		Entry("is rejected behind a long queue", 100*time.Millisecond, 10, limit.Reject),
		Entry("is rejected when the queue is full", time.Hour, 2*limit.MaxWaitersPerSlot, limit.Reject),
	)

	It("never admits above the limit, whatever the order of events", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			l := limit.New(rapid.IntRange(0, 5).Draw(t, "limit"))
			for range rapid.IntRange(1, 300).Draw(t, "events") {
				oldLimit, oldInFlight, oldWaiting := l.Counts()
				switch rapid.IntRange(0, 4).Draw(t, "event") {
				case 0:
					l.Arrive(time.Duration(rapid.Int64Range(-1, int64(time.Second)).Draw(t, "budget")))
				case 1:
					l.Next()
				case 2:
					l.SetLimit(rapid.IntRange(0, 5).Draw(t, "new limit"))
				case 3:
					if oldInFlight > 0 {
						l.Done(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "served")))
					}
				case 4:
					if oldWaiting > 0 {
						l.CancelWait()
					}
				}
				_, inFlight, waiting := l.Counts()
				if inFlight > oldInFlight && inFlight > oldLimit || waiting < 0 || waiting > max(oldWaiting, 5*limit.MaxWaitersPerSlot) {
					t.Fatalf("%d attempts in flight with a limit of %d, %d waiting", inFlight, oldLimit, waiting)
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
			l.Done(serviceTime)
		}
	}
}

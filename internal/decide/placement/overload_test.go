package placement_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/decide/placement"
)

// The replayed load, from scale-2 on ishikari-sw between 4 and 14 s: a pool of
// three replicas, one with ten times and two with twice the typical latency, gets
// about as much as it can execute. Each replica executes four requests at once,
// queues a dozen more in order, and stops work at a request's deadline.
const (
	overloadVMs       = 9
	overloadTypical   = 14 * time.Millisecond
	overloadRemaining = 88 * time.Millisecond // time from sending until an answer is too late
	overloadSlots     = 4
	overloadQueue     = 12
	overloadOneWay    = 4 * time.Millisecond // network latency in one direction
	overloadDuration  = 20 * time.Second
)

var overloadSlowdowns = []float64{2, 2, 10}

// overloadCapacity returns what the pool can execute, in requests per second.
func overloadCapacity() float64 {
	sum := 0.0
	for _, s := range overloadSlowdowns {
		sum += overloadSlots / (s * overloadTypical.Seconds())
	}
	return sum
}

// timer is a function that is due at a simulated time.
type timer struct {
	at time.Duration
	do func()
}

// timeline runs timers in the order of their times.
type timeline struct {
	now  time.Duration
	next []timer
}

func (t *timeline) Len() int           { return len(t.next) }
func (t *timeline) Less(i, j int) bool { return t.next[i].at < t.next[j].at }
func (t *timeline) Swap(i, j int)      { t.next[i], t.next[j] = t.next[j], t.next[i] }
func (t *timeline) Push(x any)         { t.next = append(t.next, x.(timer)) }
func (t *timeline) Pop() any {
	last := t.next[len(t.next)-1]
	t.next = t.next[:len(t.next)-1]
	return last
}

func (t *timeline) after(d time.Duration, do func()) { heap.Push(t, timer{t.now + d, do}) }

func (t *timeline) run(until time.Duration) {
	for len(t.next) > 0 && t.next[0].at < until {
		next := heap.Pop(t).(timer)
		t.now = next.at
		next.do()
	}
}

// job is a request at a simulated replica.
type job struct {
	deadline time.Duration
	done     func(served, full bool)
}

// server is a simulated replica with slots and a queue.
type server struct {
	t        *timeline
	rng      *rand.Rand
	slowdown float64
	running  int
	waiting  []job
}

func (s *server) arrive(j job) {
	if s.running == overloadSlots && len(s.waiting) >= overloadQueue {
		j.done(false, true)
		return
	}
	s.waiting = append(s.waiting, j)
	s.start()
}

func (s *server) start() {
	for s.running < overloadSlots && len(s.waiting) > 0 {
		j := s.waiting[0]
		s.waiting = s.waiting[1:]
		remaining := j.deadline - s.t.now
		if remaining <= 0 {
			j.done(false, false)
			continue
		}
		s.running++
		execution := time.Duration((0.7 + 0.6*s.rng.Float64()) * s.slowdown * float64(overloadTypical))
		s.t.after(min(execution, remaining), func() {
			s.running--
			j.done(execution <= remaining, false)
			s.start()
		})
	}
}

// overload simulates the pool at a multiple of its capacity and returns the share
// of parts that are answered in time, and the share that was not sent.
func overload(factor float64, skip bool) (inTime, unsent float64) {
	rng := rand.New(rand.NewPCG(11, 11))
	t := &timeline{}
	var pool []*server
	for _, s := range overloadSlowdowns {
		pool = append(pool, &server{t: t, rng: rng, slowdown: s})
	}
	clock := func() time.Time { return begin.Add(t.now) }
	var requests, served, skipped float64
	for range overloadVMs {
		var cands []placement.Candidate
		for range pool {
			cands = append(cands, placement.Candidate{Replica: placement.NewReplica(overloadSlots)})
		}
		var request func()
		request = func() {
			t.after(time.Duration(rng.ExpFloat64()*float64(time.Second)*overloadVMs/(factor*overloadCapacity())), request)
			requests++
			i := placement.Choose(clock(), cands, overloadTypical, rng)
			if skip && placement.WouldMissDeadline(clock(), cands[i], overloadTypical, overloadRemaining) {
				skipped++
				return
			}
			r, sentAt, sent := cands[i].Replica, clock(), t.now
			r.Sent(sentAt)
			s := pool[i]
			t.after(overloadOneWay, func() {
				s.arrive(job{deadline: sent + overloadRemaining + 10*time.Millisecond, done: func(ok, full bool) {
					running, waiting := s.running, len(s.waiting)
					t.after(overloadOneWay, func() {
						switch {
						case full:
							r.Rejected(clock(), sentAt)
						default:
							r.Answered(clock(), sentAt, overloadTypical)
						}
						r.ObserveLoad(clock(), running, waiting, overloadSlots)
						if ok && t.now-sent <= overloadRemaining {
							served++
						}
					})
				}})
			})
		}
		t.after(time.Duration(rng.Float64()*float64(50*time.Millisecond)), request)
	}
	t.run(overloadDuration)
	return served / requests, skipped / requests
}

// At least half of what the pool can execute has to be answered in time at any
// load; otherwise most of its work goes into late answers. A pool with spare
// capacity loses at most one part in a hundred to a wrong estimate.
var _ = DescribeTable("a pool that gets more than it can execute", func(factor float64) {
	sendAll, _ := overload(factor, false)
	inTime, unsent := overload(factor, true)
	GinkgoWriter.Printf("at %.1f times the capacity: %.3f answered in time, %.3f not sent; when all are sent: %.3f in time\n", factor, inTime, unsent, sendAll)
	Expect(inTime).To(BeNumerically(">=", 0.5*min(1, 1/factor)))
	Expect(inTime).To(BeNumerically(">=", sendAll-0.01))
},
	Entry("at 0.7 of its capacity", 0.7),
	Entry("at 0.9 of its capacity", 0.9),
	Entry("at 1.2 times its capacity", 1.2),
	Entry("at 1.6 times its capacity", 1.6),
	Entry("at 2.5 times its capacity", 2.5),
)

package placement_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/decide/placement"
)

// The load that is replayed, from scale-2 on ishikari-sw between 4 and 14 s: a
// pool of three replicas, of which one is ten times slower than usual and two
// are twice, gets about what it can run. Replicas run four requests at once,
// keep a dozen more waiting in order, and stop work at a request's deadline.
const (
	overloadVMs   = 9
	overloadUsual = 14 * time.Millisecond
	overloadLeft  = 88 * time.Millisecond // until an answer comes too late
	overloadSlots = 4
	overloadQueue = 12
	overloadWay   = 4 * time.Millisecond // one way
	overloadTime  = 20 * time.Second
)

var overloadSpeeds = []float64{2, 2, 10}

// overloadCapacity is what the pool runs, in requests a second.
func overloadCapacity() float64 {
	sum := 0.0
	for _, s := range overloadSpeeds {
		sum += overloadSlots / (s * overloadUsual.Seconds())
	}
	return sum
}

// moment is something that happens at a time.
type moment struct {
	at time.Duration
	do func()
}

// timeline runs moments in order.
type timeline struct {
	now  time.Duration
	next []moment
}

func (t *timeline) Len() int           { return len(t.next) }
func (t *timeline) Less(i, j int) bool { return t.next[i].at < t.next[j].at }
func (t *timeline) Swap(i, j int)      { t.next[i], t.next[j] = t.next[j], t.next[i] }
func (t *timeline) Push(x any)         { t.next = append(t.next, x.(moment)) }
func (t *timeline) Pop() any {
	last := t.next[len(t.next)-1]
	t.next = t.next[:len(t.next)-1]
	return last
}

func (t *timeline) after(d time.Duration, do func()) { heap.Push(t, moment{t.now + d, do}) }

func (t *timeline) run(until time.Duration) {
	for len(t.next) > 0 && t.next[0].at < until {
		m := heap.Pop(t).(moment)
		t.now = m.at
		m.do()
	}
}

// job is a request at a queued replica.
type job struct {
	deadline time.Duration
	done     func(served, full bool)
}

// queued is a replica with slots and a queue.
type queued struct {
	t       *timeline
	rng     *rand.Rand
	speed   float64
	running int
	waiting []job
}

func (q *queued) arrive(j job) {
	if q.running == overloadSlots && len(q.waiting) >= overloadQueue {
		j.done(false, true)
		return
	}
	q.waiting = append(q.waiting, j)
	q.start()
}

func (q *queued) start() {
	for q.running < overloadSlots && len(q.waiting) > 0 {
		j := q.waiting[0]
		q.waiting = q.waiting[1:]
		left := j.deadline - q.t.now
		if left <= 0 {
			j.done(false, false)
			continue
		}
		q.running++
		run := time.Duration((0.7 + 0.6*q.rng.Float64()) * q.speed * float64(overloadUsual))
		q.t.after(min(run, left), func() {
			q.running--
			j.done(run <= left, false)
			q.start()
		})
	}
}

// overload plays the pool at a multiple of its capacity and returns the share
// of parts that are in time, and of those that were not sent.
func overload(factor float64, admit bool) (inTime, unsent float64) {
	rng := rand.New(rand.NewPCG(11, 11))
	t := &timeline{}
	var pool []*queued
	for _, s := range overloadSpeeds {
		pool = append(pool, &queued{t: t, rng: rng, speed: s})
	}
	clock := func() time.Time { return begin.Add(t.now) }
	var asked, served, skipped float64
	for range overloadVMs {
		var cands []placement.Candidate
		for range pool {
			cands = append(cands, placement.Candidate{Replica: placement.NewReplica(overloadSlots)})
		}
		var ask func()
		ask = func() {
			t.after(time.Duration(rng.ExpFloat64()*float64(time.Second)*overloadVMs/(factor*overloadCapacity())), ask)
			asked++
			i := placement.Choose(clock(), cands, overloadUsual, rng)
			if admit && placement.WouldMissDeadline(clock(), cands[i], overloadUsual, overloadLeft) {
				skipped++
				return
			}
			r, sentAt, begun := cands[i].Replica, clock(), t.now
			r.Sent(sentAt)
			q := pool[i]
			t.after(overloadWay, func() {
				q.arrive(job{deadline: begun + overloadLeft + 10*time.Millisecond, done: func(ok, full bool) {
					running, waiting := q.running, len(q.waiting)
					t.after(overloadWay, func() {
						switch {
						case full:
							r.Rejected(clock(), sentAt)
						default:
							r.Answered(clock(), sentAt, overloadUsual)
						}
						r.ObserveLoad(clock(), running, waiting, overloadSlots)
						if ok && t.now-begun <= overloadLeft {
							served++
						}
					})
				}})
			})
		}
		t.after(time.Duration(rng.Float64()*float64(50*time.Millisecond)), ask)
	}
	t.run(overloadTime)
	return served / asked, skipped / asked
}

// Of what the pool can run at least half has to be in time, however much it
// gets: else most of its work is for answers that come too late. A pool with
// room loses at most one part in a hundred to a wrong expectation.
var _ = DescribeTable("a pool that gets more than it can run", func(factor float64) {
	before, _ := overload(factor, false)
	inTime, unsent := overload(factor, true)
	GinkgoWriter.Printf("at %.1f times the capacity: %.3f in time, %.3f unsent; sending all: %.3f\n", factor, inTime, unsent, before)
	Expect(inTime).To(BeNumerically(">=", 0.5*min(1, 1/factor)))
	Expect(inTime).To(BeNumerically(">=", before-0.01))
},
	Entry("at 0.7 of its capacity", 0.7),
	Entry("at 0.9 of its capacity", 0.9),
	Entry("at 1.2 times its capacity", 1.2),
	Entry("at 1.6 times its capacity", 1.6),
	Entry("at 2.5 times its capacity", 2.5),
)

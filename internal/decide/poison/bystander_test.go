package poison_test

import (
	"container/heap"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/decide/poison"
)

// The play of a request that many callers send while another one crashes replicas, in
// milliseconds.
const (
	crowdVMs      = 3
	crowdReplicas = 9
	crowdAttempts = 2
	crowdWork     = 200  // of a replica for a request
	crowdDown     = 3000 // of a replica that has crashed
	crowdCheck    = 60   // whether a replica has crashed
	crowdShare    = 20   // until other VMs know of a record
	crowdCalm     = 3000 // until the bad request comes first
	crowdTime     = 20000
)

// event is something that happens at a time.
type event struct {
	at int
	do func()
}

// agenda holds events by time.
type agenda []event

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at < a[j].at }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any {
	e := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return e
}

// send is an attempt in flight at a replica.
type send struct {
	fp     uint64
	vm     int
	sentAt int
	left   int // attempts that may follow
	ended  bool
}

// crowd is VMs that send a harmless request often, and a bad one that crashes each replica
// with all that is in flight there.
type crowd struct {
	rng      *rand.Rand
	now      int
	events   agenda
	ledgers  []*poison.Ledger
	inFlight [][]*send // by replica
	downTill []int     // by replica
	record   map[uint64]poison.Record
	revision uint64
}

func (c *crowd) after(ms int, do func()) { heap.Push(&c.events, event{c.now + ms, do}) }

// play sends both requests; the bad one comes later.
func (c *crowd) play(harmlessPerS, badPerS float64) {
	c.each(harmlessPerS, harmless)
	c.after(crowdCalm, func() { c.each(badPerS, bad) })
	for c.events.Len() > 0 && c.now < crowdTime {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.do()
	}
}

// each sends a request at random times.
func (c *crowd) each(perS float64, fp uint64) {
	c.after(int(c.rng.ExpFloat64()*1000/perS), func() {
		c.attempt(fp, c.rng.IntN(crowdVMs), crowdAttempts)
		c.each(perS, fp)
	})
}

func (c *crowd) attempt(fp uint64, vm, left int) {
	l := c.ledgers[vm]
	if refused(l, at(c.now), fp) {
		return
	}
	var up []int
	for r := range crowdReplicas {
		if c.now >= c.downTill[r] {
			up = append(up, r)
		}
	}
	if len(up) == 0 || left == 0 {
		l.RecordEnd(fp)
		return
	}
	r := up[c.rng.IntN(len(up))]
	s := &send{fp: fp, vm: vm, sentAt: c.now, left: left - 1}
	c.inFlight[r] = append(c.inFlight[r], s)
	c.after(crowdWork/2+c.rng.IntN(crowdWork), func() {
		switch {
		case s.ended:
		case fp == bad:
			c.crash(r)
		default:
			s.ended = true
			if l.RecordAnswer(at(c.now), fp) {
				c.share(vm)
			}
		}
	})
}

// crash ends a replica with all that is in flight there.
func (c *crowd) crash(r int) {
	lost := c.inFlight[r]
	c.inFlight[r], c.downTill[r] = nil, c.now+crowdDown
	for _, s := range lost {
		if s.ended {
			continue
		}
		s.ended = true
		l := c.ledgers[s.vm]
		if id, counted := l.RecordLoss(at(c.now), at(s.sentAt), s.fp); counted {
			c.after(crowdCheck, func() {
				if l.Resolve(s.fp, id, true) {
					c.share(s.vm)
				}
			})
		}
		c.after(1, func() { c.attempt(s.fp, s.vm, s.left) })
	}
}

// share writes what a VM has to share, and has the others read it.
func (c *crowd) share(vm int) {
	c.after(crowdShare/2, func() {
		for _, w := range c.ledgers[vm].Pending(at(c.now), 9) {
			if w.Expect != c.record[w.Fingerprint].Revision {
				continue
			}
			c.revision++
			r := poison.Record{Crashes: w.Crashes, Revision: c.revision}
			c.record[w.Fingerprint] = r
			for i, l := range c.ledgers {
				delay := 0
				if i != vm {
					delay = crowdShare / 2
				}
				c.after(delay, func() {
					if w.Crashes == 0 {
						l.Remove(w.Fingerprint, r.Revision)
						return
					}
					l.Merge(at(c.now), w.Fingerprint, r)
				})
			}
			if w.Crashes == 0 {
				delete(c.record, w.Fingerprint)
			}
		}
	})
}

func newCrowd(seed uint64) *crowd {
	c := &crowd{rng: rand.New(rand.NewPCG(seed, 3)), record: map[uint64]poison.Record{}, inFlight: make([][]*send, crowdReplicas), downTill: make([]int, crowdReplicas)}
	for range crowdVMs {
		c.ledgers = append(c.ledgers, poison.NewLedger())
	}
	return c
}

// Guards against refusing a request that many callers send because another one crashes the
// replicas under it, three times in a row at one VM. crowdWork is long, so that many of its
// attempts are in flight at each crash.
var _ = DescribeTable("a harmless request beside one that crashes replicas is not refused for long", func(harmlessPerS, badPerS float64) {
	for seed := range uint64(100) {
		c := newCrowd(seed)
		c.play(harmlessPerS, badPerS)
		for vm, l := range c.ledgers {
			Expect(refused(l, at(c.now), bad)).To(BeTrue(), "seed %d, VM %d", seed, vm)
			Expect(refused(l, at(c.now), harmless)).To(BeFalse(), "seed %d, VM %d", seed, vm)
		}
	}
},
	Entry("5 and 5 a second", 5.0, 5.0),
	Entry("5 and 20 a second", 5.0, 20.0),
	Entry("15 and 20 a second", 15.0, 20.0),
	Entry("45 and 20 a second", 45.0, 20.0),
	Entry("150 and 20 a second", 150.0, 20.0),
)

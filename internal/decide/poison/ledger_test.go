package poison_test

import (
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/decide/poison"
)

// at returns a time in milliseconds after begin.
func at(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }

// crash records a lost connection and that its replica crashed. It reports whether the
// crash counts.
func crash(l *poison.Ledger, now, sentAt time.Time, fp uint64) bool {
	id, counted := l.RecordLoss(now, sentAt, fp)
	if counted {
		l.Resolve(fp, id, true)
	}
	return counted
}

// crashChain records a chain of n crashes, ten milliseconds apart.
func crashChain(l *poison.Ledger, fp uint64, from, n int) {
	for i := range n {
		crash(l, at(from+10*i+5), at(from+10*i), fp)
	}
}

// lossChain records a chain of n losses that are not resolved.
func lossChain(l *poison.Ledger, fp uint64, from, n int) []poison.LossID {
	var ids []poison.LossID
	for i := range n {
		id, counted := l.RecordLoss(at(from+10*i+5), at(from+10*i), fp)
		Expect(counted).To(BeTrue())
		ids = append(ids, id)
	}
	return ids
}

var _ = Describe("Ledger", func() {
	It("counts a retry that crashes the next replica at once, but simultaneous crashes once", func() {
		l := poison.NewLedger()
		for range 10 { // the shards of one query
			crash(l, at(5), at(0), bad)
		}
		Expect(l.Crashes(bad)).To(Equal(1))
		Expect(crash(l, at(9), at(6), bad)).To(BeTrue())
		Expect(crash(l, at(12), at(10), bad)).To(BeTrue())
		Expect(refused(l, at(13), bad)).To(BeTrue())
		Expect(refused(l, at(13), harmless)).To(BeFalse())
	})

	It("forgets a request that is answered, and one whose last crash is long ago", func() {
		l := poison.NewLedger()
		crashChain(l, bad, 0, 2)
		Expect(l.RecordAnswer(at(30), bad)).To(BeTrue())
		Expect(l.RecordAnswer(at(31), bad)).To(BeFalse())
		crashChain(l, bad, 4040, 2)
		Expect(l.Crashes(bad)).To(Equal(2))
		crashChain(l, bad, 4100, 1)
		Expect(refused(l, at(4200), bad)).To(BeTrue())
		Expect(refused(l, at(4110).Add(poison.SuspicionTTL), bad)).To(BeFalse())
		Expect(l.Pending(at(4110).Add(poison.SuspicionTTL), 1)).To(BeEmpty())
		Expect(l.Len()).To(BeZero())
	})

	It("shares a suspicion when its request has ended without an answer, and deletes the record when one is answered", func() {
		l := poison.NewLedger()
		crashChain(l, bad, 0, 1)
		Expect(l.Pending(at(10), 9)).To(BeEmpty(), "the request may still be answered")
		Expect(l.RecordEnd(bad)).To(BeTrue())
		Expect(l.Pending(at(10), 9)).To(Equal([]poison.Write{{Fingerprint: bad, Crashes: 1}}))
		l.Merge(at(11), bad, poison.Record{Crashes: 1, Revision: 7})
		Expect(l.Pending(at(12), 9)).To(BeEmpty())
		Expect(l.RecordAnswer(at(20), bad)).To(BeTrue())
		Expect(l.Pending(at(21), 9)).To(Equal([]poison.Write{{Fingerprint: bad, Expect: 7}}))
		l.Remove(bad, 8)
		Expect(l.Len()).To(BeZero())
	})

	// Guards against a refusal that other VMs learn of only when a slow attempt of the
	// request has ended.
	It("shares a refusal at once", func() {
		l := poison.NewLedger()
		crashChain(l, bad, 0, 3)
		Expect(l.Pending(at(40), 9)).To(Equal([]poison.Write{{Fingerprint: bad, Crashes: 3}}))
	})

	It("shares again what the store has lost", func() {
		l := poison.NewLedger()
		crashChain(l, bad, 0, 3)
		l.RecordEnd(bad)
		l.Merge(at(40), bad, poison.Record{Crashes: 3, Revision: 70})
		l.Replace(at(50), map[uint64]poison.Record{bad: {Crashes: 1, Revision: 20}})
		Expect(refused(l, at(51), bad)).To(BeTrue())
		Expect(l.Pending(at(51), 9)).To(Equal([]poison.Write{{Fingerprint: bad, Crashes: 3, Expect: 20}}))
		l.Replace(at(60), nil)
		Expect(l.Pending(at(61), 9)).To(Equal([]poison.Write{{Fingerprint: bad, Crashes: 3}}))
	})

	// Guards against a failure of many upstreams that evicts the request that caused it.
	It("keeps the requests with the most crashes when there are too many suspects", func() {
		l := poison.NewLedger()
		crashChain(l, bad, 0, 3)
		for i := range 5000 {
			crash(l, at(100+i), at(100+i), uint64(1000+i))
		}
		Expect(refused(l, at(6000), bad)).To(BeTrue())
		Expect(l.Len()).To(BeNumerically("<=", 512))
	})

	// Guards against the failure of review/4: replicas that reset connections, but did not
	// crash, had a request that many callers send refused by all VMs for minutes.
	It("counts a lost connection until its replica is known to have survived, and shares none", func() {
		l := poison.NewLedger()
		ids := lossChain(l, bad, 0, 3)
		l.RecordEnd(bad)
		wait, yes := l.Refuse(at(40), bad)
		Expect(yes).To(BeTrue(), "the next attempt might crash the next replica")
		Expect(wait).To(BeNumerically("<", time.Second))
		Expect(l.Pending(at(40), 9)).To(BeEmpty())
		for _, id := range ids {
			Expect(l.Resolve(bad, id, false)).To(BeFalse())
		}
		Expect(refused(l, at(41), bad)).To(BeFalse())
		Expect(l.Len()).To(BeZero())
	})

	It("counts the crashes among the losses of a chain, and shares them once they are proven", func() {
		l := poison.NewLedger()
		ids := lossChain(l, bad, 0, 3)
		l.RecordEnd(bad)
		Expect(l.Resolve(bad, ids[1], false)).To(BeFalse())
		Expect(l.Resolve(bad, ids[0], true)).To(BeTrue())
		Expect(l.Resolve(bad, ids[0], true)).To(BeFalse(), "resolved already")
		Expect(l.Resolve(bad, ids[2], true)).To(BeTrue())
		Expect(l.Pending(at(50), 9)).To(Equal([]poison.Write{{Fingerprint: bad, Crashes: 2}}))
		Expect(refused(l, at(50), bad)).To(BeFalse())
		crashChain(l, bad, 60, 1)
		wait, _ := l.Refuse(at(70), bad)
		Expect(wait).To(BeNumerically(">", time.Minute))
	})

	It("ignores what becomes of a loss after an answer", func() {
		l := poison.NewLedger()
		old := lossChain(l, bad, 0, 1)[0]
		Expect(l.RecordAnswer(at(20), bad)).To(BeTrue())
		lossChain(l, bad, 4000, 1)
		Expect(l.Resolve(bad, old, true)).To(BeFalse())
		Expect(l.Crashes(bad)).To(Equal(1))
	})

	It("counts no loss of a request that was answered lately, but soon after the last answer", func() {
		l := poison.NewLedger()
		for ms := 0; ms < 10_000; ms += 1000 {
			l.RecordAnswer(at(ms), harmless)
			Expect(crash(l, at(ms+900), at(ms+800), harmless)).To(BeFalse())
		}
		Expect(crash(l, at(9000+3500), at(9000+3400), harmless)).To(BeTrue(), "it may have begun to crash replicas")
		Expect(crash(l, at(9000), at(8900), bad)).To(BeTrue())
	})

	It("takes a loss for part of what other VMs have counted", func() {
		l := poison.NewLedger()
		ids := lossChain(l, bad, 0, 2)
		l.Merge(at(30), bad, poison.Record{Crashes: 1, Revision: 5})
		Expect(l.Crashes(bad)).To(Equal(2))
		l.Merge(at(31), bad, poison.Record{Crashes: 2, Revision: 6})
		Expect(l.Crashes(bad)).To(Equal(2))
		for _, id := range ids {
			Expect(l.Resolve(bad, id, false)).To(BeFalse())
		}
		Expect(l.Crashes(bad)).To(Equal(2), "the crashes of other VMs stay")
	})

	// Three crashes, and the three retries that the platform allows afterwards.
	It("refuses a request on every VM after six rounds at most, although VMs learn of the crashes late", func() {
		for seed := range uint64(300) {
			w := newSharedWorld(seed)
			rounds, _ := w.play(func() int { return 60 })
			Expect(rounds).To(BeNumerically("<=", poison.Threshold+3), "seed %d", seed)
			w.expectRefusedEverywhere()
		}
	})

	It("lets it reach replicas in three rounds at most later than four seconds after the third crash, although checks of replicas hang", func() {
		for seed := range uint64(300) {
			w := newSharedWorld(seed)
			_, late := w.play(func() int { return 50 + w.rng.IntN(1100) })
			Expect(late).To(BeNumerically("<=", 3), "seed %d", seed)
			w.expectRefusedEverywhere()
		}
	})
})

// check is a loss whose replica is being checked.
type check struct {
	ledger *poison.Ledger
	id     poison.LossID
	due    int // time of its end
}

// sharedWorld is VMs that share one record. In each round a bad request reaches a
// VM; between rounds, writes and watches take effect in random order.
type sharedWorld struct {
	seed     uint64
	rng      *rand.Rand
	ledgers  []*poison.Ledger
	checks   []check
	record   map[uint64]poison.Record
	revision uint64
	now      int
}

func newSharedWorld(seed uint64) *sharedWorld {
	w := &sharedWorld{seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), record: map[uint64]poison.Record{}}
	for range 8 {
		w.ledgers = append(w.ledgers, poison.NewLedger())
	}
	return w
}

// play returns the number of rounds in which the request reached replicas, and how many of
// these were later than four seconds after the third. checkTime returns how long the next
// check of a replica takes, in milliseconds.
func (w *sharedWorld) play(checkTime func() int) (rounds, late int) {
	third := 0
	for range 60 {
		w.now += 250
		w.endChecks()
		l := w.ledgers[w.rng.IntN(len(w.ledgers))]
		if !refused(l, at(w.now), bad) {
			if rounds++; rounds == 3 {
				third = w.now
			}
			if third > 0 && w.now > third+4000 {
				late++
			}
			for range 4 { // the parts of one query crash together
				if id, counted := l.RecordLoss(at(w.now+5), at(w.now), bad); counted {
					w.checks = append(w.checks, check{l, id, w.now + checkTime()})
				}
			}
			l.RecordEnd(bad)
		}
		w.now += 60
		w.endChecks()
		for range 1 + w.rng.IntN(3) {
			w.spread(0.6)
		}
	}
	w.spread(1)
	return rounds, late
}

// endChecks ends the checks that are due, of replicas that have crashed.
func (w *sharedWorld) endChecks() {
	w.checks = slices.DeleteFunc(w.checks, func(c check) bool {
		if w.now < c.due {
			return false
		}
		c.ledger.Resolve(bad, c.id, true)
		return true
	})
}

func (w *sharedWorld) expectRefusedEverywhere() {
	GinkgoHelper()
	for _, l := range w.ledgers {
		Expect(refused(l, at(w.now), bad)).To(BeTrue(), "seed %d", w.seed)
	}
}

// spread makes the pending writes of all VMs, and lets each VM read the record with
// a probability.
func (w *sharedWorld) spread(probability float64) {
	w.now += 10
	for _, i := range w.rng.Perm(len(w.ledgers)) {
		for _, write := range w.ledgers[i].Pending(at(w.now), 9) {
			if write.Expect != w.record[write.Fingerprint].Revision {
				continue // conflict
			}
			w.revision++
			w.record[write.Fingerprint] = poison.Record{Crashes: write.Crashes, Revision: w.revision}
		}
	}
	for _, i := range w.rng.Perm(len(w.ledgers)) {
		if r, ok := w.record[bad]; ok && w.rng.Float64() < probability {
			w.ledgers[i].Merge(at(w.now), bad, r)
		}
	}
}

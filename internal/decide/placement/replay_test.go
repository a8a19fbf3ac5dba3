package placement_test

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/decide/pick"
	"github.com/sapphirewall/sapphirewall/internal/decide/placement"
)

func TestPlacement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "placement")
}

// The load that is replayed: one VM's share of a shard with three replicas, the
// first in its own zone.
const (
	usual    = 22 * time.Millisecond
	every    = 40 * time.Millisecond // between two parts
	late     = 60 * time.Millisecond
	replicas = 3
)

var begin = time.Unix(1000, 0)

// world is how the replicas behave: the answer to a request sent at a time since
// the start, as its latency and whether it was rejected.
type world func(rng *rand.Rand, replica int, at time.Duration) (time.Duration, bool)

// healthy is a run on a replica that is well, with the way to another region.
func healthy(rng *rand.Rand, replica int) time.Duration {
	run := time.Duration((0.7 + 0.6*rng.Float64()) * float64(usual-2*time.Millisecond))
	if replica > 0 {
		return run + 16*time.Millisecond
	}
	return run
}

// pausing replicas stand still for 250 ms every 6 s, each at its own time.
func pausing(rng *rand.Rand, replica int, at time.Duration) (time.Duration, bool) {
	run := healthy(rng, replica)
	phase := (at + time.Duration(replica)*2*time.Second) % (6 * time.Second)
	if left := 250*time.Millisecond - phase; left > 0 {
		return run + left, false
	}
	return run, false
}

// slowing turns the near replica eight times slower from 5 s to 15 s.
func slowing(rng *rand.Rand, replica int, at time.Duration) (time.Duration, bool) {
	run := healthy(rng, replica)
	if replica == 0 && at > 5*time.Second && at < 15*time.Second {
		run *= 8
	}
	return run, false
}

// shedding replicas reject 60 in 100, but for the last one.
func shedding(rng *rand.Rand, replica int, _ time.Duration) (time.Duration, bool) {
	if replica < 2 && rng.Float64() < 0.6 {
		return time.Millisecond, true
	}
	return healthy(rng, replica), false
}

// event is the end of a request.
type event struct {
	at, sentAt time.Time
	replica    int
	rejected   bool
}

// chooser is a policy under test.
type chooser interface {
	choose(now time.Time) int
	sent(now time.Time, replica int)
	ended(e event)
}

// replay plays 30 s and returns the share of parts that are late or rejected,
// and the share that left the region.
func replay(w world, c chooser) (bad, away float64) {
	rng := rand.New(rand.NewPCG(7, 7))
	var events []event
	sent := 0
	for at := time.Duration(0); at < 30*time.Second; at += every {
		now := begin.Add(at)
		sort.Slice(events, func(i, j int) bool { return events[i].at.Before(events[j].at) })
		for len(events) > 0 && !events[0].at.After(now) {
			c.ended(events[0])
			events = events[1:]
		}
		r := c.choose(now)
		c.sent(now, r)
		took, rejected := w(rng, r, at)
		events = append(events, event{at: now.Add(took), sentAt: now, replica: r, rejected: rejected})
		sent++
		if took > late || rejected {
			bad++
		}
		if r > 0 {
			away++
		}
	}
	return bad / float64(sent), away / float64(sent)
}

// byEvidence is the policy of this package.
type byEvidence struct {
	rng   *rand.Rand
	cands []placement.Candidate
}

func newByEvidence() *byEvidence {
	c := &byEvidence{rng: rand.New(rand.NewPCG(1, 1))}
	for i := range replicas {
		d := placement.SameZone
		if i > 0 {
			d = placement.OtherRegion
		}
		c.cands = append(c.cands, placement.Candidate{Replica: placement.NewReplica(4), Distance: d})
	}
	return c
}

func (c *byEvidence) choose(now time.Time) int { return placement.Choose(now, c.cands, usual, c.rng) }

func (c *byEvidence) sent(now time.Time, r int) { c.cands[r].Replica.Sent(now) }

func (c *byEvidence) ended(e event) {
	if e.rejected {
		c.cands[e.replica].Replica.Rejected(e.at, e.sentAt)
		return
	}
	c.cands[e.replica].Replica.Answered(e.at, e.sentAt, usual)
}

// twoChoices is the baseline: the policy of the entry, by requests in flight.
type twoChoices struct {
	rng *rand.Rand
	own [replicas]int
}

func (c *twoChoices) choose(time.Time) int {
	var cands []pick.Candidate
	for _, own := range c.own {
		cands = append(cands, pick.Candidate{Own: own, Limit: 4})
	}
	return pick.TwoChoices(c.rng, cands)
}
func (c *twoChoices) sent(_ time.Time, r int) { c.own[r]++ }
func (c *twoChoices) ended(e event)           { c.own[e.replica]-- }

var _ = DescribeTable("a replayed load", func(w world, mostBad, mostAway float64) {
	bad, away := replay(w, newByEvidence())
	baseline, _ := replay(w, &twoChoices{rng: rand.New(rand.NewPCG(1, 1))})
	GinkgoWriter.Printf("bad %.3f, away %.3f; two choices: bad %.3f\n", bad, away, baseline)
	Expect(bad).To(BeNumerically("<=", mostBad))
	Expect(away).To(BeNumerically("<=", mostAway))
	Expect(bad).To(BeNumerically("<", baseline))
},
	// A pause of 250 ms every 6 s meets 6 of 150 parts at one replica. At most
	// half of them may be sent into it. The others leave the region, and as many
	// again in the half second in which the replica is found well.
	Entry("pauses", world(pausing), 0.02, 0.12),
	// It is slow for a third of the time. A few parts tell, and then one in
	// 1.5 s tries it; all others leave the region.
	Entry("a near replica that turns slow", world(slowing), 0.03, 0.40),
	// The sound replica gets nearly all; a share tells how the others are.
	Entry("replicas that reject a share of all requests", world(shedding), 0.10, 1.0),
)

var _ = Describe("a replica that has failed", func() {
	It("is left alone for a growing time, then tried by one request", func() {
		c := newByEvidence()
		r := c.cands[0].Replica
		r.Sent(begin)
		r.Failed(begin, begin)
		Expect(r.Ejected(begin.Add(50 * time.Millisecond))).To(BeTrue())
		after := begin.Add(150 * time.Millisecond)
		Expect(r.Ejected(after)).To(BeFalse())
		r.Sent(after)
		Expect(r.Ejected(after)).To(BeTrue(), "one at a time")
		r.Failed(after, after)
		Expect(r.Ejected(after.Add(150*time.Millisecond))).To(BeTrue(), "the pause has grown")
		later := after.Add(time.Second)
		r.Sent(later)
		r.Answered(later, later, usual)
		Expect(r.Ejected(later)).To(BeFalse())
	})

	It("counts failures of attempts that were in flight together once", func() {
		r := placement.NewReplica(4)
		for range 5 {
			r.Sent(begin)
		}
		for range 5 {
			r.Failed(begin, begin)
		}
		Expect(r.Ejected(begin.Add(150 * time.Millisecond))).To(BeFalse())
	})
})

var _ = Describe("Choose", func() {
	It("returns -1 for no candidates", func() {
		Expect(placement.Choose(begin, nil, usual, rand.New(rand.NewPCG(1, 1)))).To(Equal(-1))
	})

	It("takes a leaving replica only when there is no other", func() {
		c := newByEvidence()
		c.cands[0].Draining = true
		Expect(c.choose(begin)).NotTo(Equal(0))
		c.cands = c.cands[:1]
		Expect(c.choose(begin)).To(Equal(0))
	})
})

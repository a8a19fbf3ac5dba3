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

// The replayed load: one VM's share of a shard with three replicas, the first of
// them in the VM's own zone.
const (
	typical  = 22 * time.Millisecond
	interval = 40 * time.Millisecond // between two parts
	late     = 60 * time.Millisecond
	replicas = 3
)

var begin = time.Unix(1000, 0)

// behaviour returns the latency of a request sent to a replica at a time since
// the start, and whether it is rejected.
type behaviour func(rng *rand.Rand, replica int, at time.Duration) (time.Duration, bool)

// healthy returns the latency of a healthy replica, with the network latency to
// another region for all but the first.
func healthy(rng *rand.Rand, replica int) time.Duration {
	latency := time.Duration((0.7 + 0.6*rng.Float64()) * float64(typical-2*time.Millisecond))
	if replica > 0 {
		return latency + 16*time.Millisecond
	}
	return latency
}

// pausing replicas stop for 250 ms every 6 s, each at a different time.
func pausing(rng *rand.Rand, replica int, at time.Duration) (time.Duration, bool) {
	latency := healthy(rng, replica)
	phase := (at + time.Duration(replica)*2*time.Second) % (6 * time.Second)
	if left := 250*time.Millisecond - phase; left > 0 {
		return latency + left, false
	}
	return latency, false
}

// slowing makes the replica in the same zone eight times slower from 5 s to 15 s.
func slowing(rng *rand.Rand, replica int, at time.Duration) (time.Duration, bool) {
	latency := healthy(rng, replica)
	if replica == 0 && at > 5*time.Second && at < 15*time.Second {
		latency *= 8
	}
	return latency, false
}

// rejecting replicas, all but the last one, reject 60 in 100 requests.
func rejecting(rng *rand.Rand, replica int, _ time.Duration) (time.Duration, bool) {
	if replica < 2 && rng.Float64() < 0.6 {
		return time.Millisecond, true
	}
	return healthy(rng, replica), false
}

// event is the end of an attempt.
type event struct {
	at, sentAt time.Time
	replica    int
	rejected   bool
}

// chooser is a placement policy under test.
type chooser interface {
	choose(now time.Time) int
	sent(now time.Time, replica int)
	ended(e event)
}

// replay simulates 30 s and returns the share of parts that are late or rejected,
// and the share that is sent to other regions.
func replay(b behaviour, c chooser) (bad, remote float64) {
	rng := rand.New(rand.NewPCG(7, 7))
	var events []event
	sent := 0
	for at := time.Duration(0); at < 30*time.Second; at += interval {
		now := begin.Add(at)
		sort.Slice(events, func(i, j int) bool { return events[i].at.Before(events[j].at) })
		for len(events) > 0 && !events[0].at.After(now) {
			c.ended(events[0])
			events = events[1:]
		}
		r := c.choose(now)
		c.sent(now, r)
		took, rejected := b(rng, r, at)
		events = append(events, event{at: now.Add(took), sentAt: now, replica: r, rejected: rejected})
		sent++
		if took > late || rejected {
			bad++
		}
		if r > 0 {
			remote++
		}
	}
	return bad / float64(sent), remote / float64(sent)
}

// byObservation is the policy of this package.
type byObservation struct {
	rng   *rand.Rand
	cands []placement.Candidate
}

func newByObservation() *byObservation {
	c := &byObservation{rng: rand.New(rand.NewPCG(1, 1))}
	for i := range replicas {
		d := placement.SameZone
		if i > 0 {
			d = placement.OtherRegion
		}
		c.cands = append(c.cands, placement.Candidate{Replica: placement.NewReplica(4), Distance: d})
	}
	return c
}

func (c *byObservation) choose(now time.Time) int {
	return placement.Choose(now, c.cands, typical, c.rng)
}

func (c *byObservation) sent(now time.Time, r int) { c.cands[r].Replica.Sent(now) }

func (c *byObservation) ended(e event) {
	if e.rejected {
		c.cands[e.replica].Replica.Rejected(e.at, e.sentAt)
		return
	}
	c.cands[e.replica].Replica.Answered(e.at, e.sentAt, typical)
}

// twoChoices is the baseline: the policy of the entry process, by requests in
// flight.
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

var _ = DescribeTable("a replayed load", func(b behaviour, maxBad, maxRemote float64) {
	bad, remote := replay(b, newByObservation())
	baseline, _ := replay(b, &twoChoices{rng: rand.New(rand.NewPCG(1, 1))})
	GinkgoWriter.Printf("late or rejected %.3f, sent to other regions %.3f; two choices: late or rejected %.3f\n", bad, remote, baseline)
	Expect(bad).To(BeNumerically("<=", maxBad))
	Expect(remote).To(BeNumerically("<=", maxRemote))
	Expect(bad).To(BeNumerically("<", baseline))
},
	// At one replica, 6 of 150 parts fall into a pause of 250 ms every 6 s. At
	// most half of them may be sent into it. The others go to another region, and
	// as many again in the half second until the replica is found to have
	// recovered.
	Entry("pauses", behaviour(pausing), 0.02, 0.12),
	// The replica is slow for a third of the time. A few parts show it; then one
	// part in 1.5 s probes it and all others go to another region.
	Entry("the replica in the same zone becomes slow", behaviour(slowing), 0.03, 0.40),
	// The healthy replica gets nearly all parts; a small share shows the state of
	// the others.
	Entry("replicas that reject a share of all requests", behaviour(rejecting), 0.10, 1.0),
)

var _ = Describe("a replica that has failed", func() {
	It("is ejected for a growing time, then probed by one request", func() {
		c := newByObservation()
		r := c.cands[0].Replica
		r.Sent(begin)
		r.Failed(begin, begin)
		Expect(r.Ejected(begin.Add(50 * time.Millisecond))).To(BeTrue())
		after := begin.Add(150 * time.Millisecond)
		Expect(r.Ejected(after)).To(BeFalse())
		r.Sent(after)
		Expect(r.Ejected(after)).To(BeTrue(), "one probe at a time")
		r.Failed(after, after)
		Expect(r.Ejected(after.Add(150*time.Millisecond))).To(BeTrue(), "the ejection time has grown")
		later := after.Add(time.Second)
		r.Sent(later)
		r.Answered(later, later, typical)
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
		Expect(placement.Choose(begin, nil, typical, rand.New(rand.NewPCG(1, 1)))).To(Equal(-1))
	})

	It("chooses a draining replica only when there is no other", func() {
		c := newByObservation()
		c.cands[0].Draining = true
		Expect(c.choose(begin)).NotTo(Equal(0))
		c.cands = c.cands[:1]
		Expect(c.choose(begin)).To(Equal(0))
	})
})

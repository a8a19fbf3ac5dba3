package entry

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/hedge"
	"github.com/sapphirewall/sapphirewall/internal/decide/pick"
)

// policyRoundRobin is the value of [entry] pick-policy for the baseline.
const policyRoundRobin = "round-robin"

// chooser implements fanout.Chooser for one plan.
type chooser struct {
	service *Service
	plan    *plan
	owners  *owners
	cands   []pick.Candidate
	index   []int // of cands in the part's replicas
}

// generators keeps random generators, which are not safe for concurrent use.
var generators = sync.Pool{New: func() any {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}}

// Choose implements fanout.Chooser.
func (c *chooser) Choose(part int, tried []string) (string, bool) {
	rng := generators.Get().(*rand.Rand)
	defer generators.Put(rng)
	v := c.plan.versions[part]
	if id, ok := c.choose(rng, part, tried, v.first); ok || v.next == v.first {
		return id, ok
	}
	return c.choose(rng, part, tried, v.next)
}

// HasCapacity implements fanout.Chooser.
func (c *chooser) HasCapacity(part int, id string) bool {
	r := c.plan.replica(part, id)
	return hedge.HasRoom(int(r.own.Load()+r.others.Load()), int(r.limit.Load()))
}

// Probing implements fanout.Chooser.
func (c *chooser) Probing(part int, id string) bool { return c.plan.replica(part, id).onTrial() }

// choose picks among the replicas of a version that are not among tried.
func (c *chooser) choose(rng *rand.Rand, part int, tried []string, version string) (string, bool) {
	now := time.Now()
	c.cands, c.index = c.cands[:0], c.index[:0]
	replicas := c.plan.replicas[part]
	for i, r := range replicas {
		if (version == "" || r.version == version) && !slices.Contains(tried, r.id) {
			lost := c.service.lost.isLost(now, c.owners.addr(r.id, r.zone))
			c.cands = append(c.cands, r.candidate(now, rng, len(tried) == 0, lost))
			c.index = append(c.index, i)
		}
	}
	n := c.pick(rng)
	if n < 0 {
		return "", false
	}
	return replicas[c.index[n]].id, true
}

func (c *chooser) pick(rng *rand.Rand) int {
	if c.service.opts.PickPolicy == policyRoundRobin {
		return pick.RoundRobin(c.service.turn.Add(1), c.cands)
	}
	return pick.TwoChoices(rng, c.cands)
}

package entry

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/hedge"
	"github.com/sapphirewall/sapphirewall/internal/decide/pick"
)

// policyRoundRobin is the value of [entry] pick-policy that selects round-robin,
// the baseline for comparing policies.
const policyRoundRobin = "round-robin"

// chooser implements fanout.Chooser for one plan.
type chooser struct {
	service        *Service
	plan           *plan
	owners         *owners
	candidates     []pick.Candidate
	candidateIndex []int // position of each candidate among the part's replicas
}

// rngPool holds random generators, which are not safe for concurrent use.
var rngPool = sync.Pool{New: func() any {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}}

// Choose implements fanout.Chooser.
func (c *chooser) Choose(part int, tried []string) (string, bool) {
	rng := rngPool.Get().(*rand.Rand)
	defer rngPool.Put(rng)
	v := c.plan.versions[part]
	if id, ok := c.chooseVersion(rng, part, tried, v.preferred); ok || v.fallback == v.preferred {
		return id, ok
	}
	return c.chooseVersion(rng, part, tried, v.fallback)
}

// HasCapacity implements fanout.Chooser.
func (c *chooser) HasCapacity(part int, id string) bool {
	r := c.plan.findReplica(part, id)
	return hedge.HasRoom(int(r.ownInFlight.Load()+r.otherInFlight.Load()), int(r.limit.Load()))
}

// Probing implements fanout.Chooser.
func (c *chooser) Probing(part int, id string) bool { return c.plan.findReplica(part, id).probing() }

// chooseVersion picks a replica of a version, or of any version if it is "", that
// is not among tried.
func (c *chooser) chooseVersion(rng *rand.Rand, part int, tried []string, version string) (string, bool) {
	now := time.Now()
	c.candidates, c.candidateIndex = c.candidates[:0], c.candidateIndex[:0]
	replicas := c.plan.replicas[part]
	for i, r := range replicas {
		if (version == "" || r.version == version) && !slices.Contains(tried, r.id) {
			unreachable := c.service.unreachable.isMarked(now, c.owners.addr(r.id, r.zone))
			c.candidates = append(c.candidates, r.candidate(now, rng, len(tried) == 0, unreachable))
			c.candidateIndex = append(c.candidateIndex, i)
		}
	}
	n := c.pick(rng)
	if n < 0 {
		return "", false
	}
	return replicas[c.candidateIndex[n]].id, true
}

func (c *chooser) pick(rng *rand.Rand) int {
	if c.service.opts.PickPolicy == policyRoundRobin {
		return pick.RoundRobin(c.service.turn.Add(1), c.candidates)
	}
	return pick.TwoChoices(rng, c.candidates)
}

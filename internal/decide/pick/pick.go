package pick

import (
	"math/rand/v2"
	"time"
)

// Candidate describes one replica of the shard.
type Candidate struct {
	Own    int           // attempts of this process in flight at the replica
	Others int           // attempts of other processes, as last reported by the owner
	Age    time.Duration // time since Others was reported
	Limit  int           // concurrency that the owner allows; 0: unknown
	Avoid  bool          // chosen only if no other candidate is left
	Probe  bool          // chosen before all others, to test or to warm up the replica
}

const (
	// reportHalfLife is the age at which a reported load counts half.
	reportHalfLife = 50 * time.Millisecond
	// defaultLimit replaces an unknown limit.
	defaultLimit = 4
)

// TwoChoices returns the index of the less loaded of two candidates drawn at
// random, or -1 without candidates. The first candidate to probe is returned at
// once. Candidates to avoid are drawn only if there are no others.
func TwoChoices(rng *rand.Rand, cands []Candidate) int {
	eligible := 0
	for i := range cands {
		if cands[i].Probe {
			return i
		}
		if !cands[i].Avoid {
			eligible++
		}
	}
	all := eligible == 0
	if all {
		eligible = len(cands)
	}
	switch eligible {
	case 0:
		return -1
	case 1:
		return nth(cands, all, 0)
	}
	first := rng.IntN(eligible)
	second := rng.IntN(eligible - 1)
	if second >= first {
		second++
	}
	a, b := nth(cands, all, first), nth(cands, all, second)
	if load(&cands[b]) < load(&cands[a]) {
		return b
	}
	return a
}

// RoundRobin returns the index of the candidate for the given turn of a rotation,
// or -1 without candidates. It is the baseline that other policies are compared
// with.
func RoundRobin(turn uint64, cands []Candidate) int {
	if len(cands) == 0 {
		return -1
	}
	return int(turn % uint64(len(cands)))
}

// nth returns the index of the n-th candidate, counted from 0. Candidates to avoid
// count only if all is set.
func nth(cands []Candidate, all bool, n int) int {
	for i := range cands {
		if !all && cands[i].Avoid {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	return -1
}

// load is the estimated share of c's limit that is in use. Observed latency is left
// out: it is noisy, and slow replicas are excluded by Avoid.
func load(c *Candidate) float64 {
	limit := c.Limit
	if limit <= 0 {
		limit = defaultLimit
	}
	return (float64(c.Own) + float64(c.Others)*weight(c.Age, reportHalfLife)) / float64(limit)
}

// weight is 1 at age 0 and one half at halfLife. A hyperbola replaces exponential
// decay, which is more expensive to compute.
func weight(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return float64(halfLife) / float64(halfLife+age)
}

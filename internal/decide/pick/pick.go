package pick

import (
	"math/rand/v2"
	"time"
)

// Candidate is what is known of one replica of the shard.
type Candidate struct {
	Own    int           // requests of this process in flight at the replica
	Others int           // requests of other processes, as the owner last told
	Age    time.Duration // of Others
	Limit  int           // concurrency that the owner allows; 0: unknown
	Avoid  bool          // chosen only when no other candidate is left
	Probe  bool          // chosen before all others, to learn about it or to warm it
}

// The constants of the two-choices policy.
const (
	// reportHalfLife is the age at which a told load counts half.
	reportHalfLife = 50 * time.Millisecond
	// defaultLimit stands in for an unknown limit.
	defaultLimit = 4
)

// TwoChoices returns the index of the better of two candidates drawn at
// random, or -1 for no candidates. A candidate on trial is returned at once;
// candidates to be avoided are drawn only when nothing else is left.
func TwoChoices(rng *rand.Rand, cands []Candidate) int {
	preferred := 0
	for i := range cands {
		if cands[i].Probe {
			return i
		}
		if !cands[i].Avoid {
			preferred++
		}
	}
	all := preferred == 0
	if all {
		preferred = len(cands)
	}
	switch preferred {
	case 0:
		return -1
	case 1:
		return nth(cands, all, 0)
	}
	first := rng.IntN(preferred)
	second := rng.IntN(preferred - 1)
	if second >= first {
		second++
	}
	a, b := nth(cands, all, first), nth(cands, all, second)
	if load(&cands[b]) < load(&cands[a]) {
		return b
	}
	return a
}

// RoundRobin returns the turn-th candidate in rotation, or -1 for none. It is
// the baseline that other policies are measured against.
func RoundRobin(turn uint64, cands []Candidate) int {
	if len(cands) == 0 {
		return -1
	}
	return int(turn % uint64(len(cands)))
}

// nth returns the index of the n-th candidate that may be drawn.
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

// load is the share of c's limit that is taken, as far as is known. Learned
// speed does not count here: it is noisy, and stragglers are avoided apart.
func load(c *Candidate) float64 {
	limit := c.Limit
	if limit <= 0 {
		limit = defaultLimit
	}
	return (float64(c.Own) + float64(c.Others)*weight(c.Age, reportHalfLife)) / float64(limit)
}

// weight is near one half at the half-life, 1 at age 0, and falls without a
// call of the exponential function.
func weight(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return float64(halfLife) / float64(halfLife+age)
}

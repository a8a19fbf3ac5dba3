package admission

import (
	"math"
	"time"
)

const (
	// sureQuantile is the quantile of the execution times of a non-idempotent route that
	// must fit into the time left, and likelyQuantile that of an idempotent one. A
	// non-idempotent request that is cut off can't be repeated, and a refused one can be
	// served elsewhere.
	sureQuantile   = 0.99
	likelyQuantile = 0.9
	// stopMargin is the time for the answer itself.
	stopMargin = 50 * time.Millisecond
	// minTimes is the number of execution times from which they are used.
	minTimes = 5
	// maxTimes is the number of execution times at which the weight of all is halved.
	maxTimes = 2000
	// timeBuckets is the number of buckets, of which bucketsPerDouble cover a factor of
	// two from firstBucket on: up to two minutes, within 9%.
	timeBuckets      = 136
	bucketsPerDouble = 8
	firstBucket      = time.Millisecond
)

// Times is the distribution of a route's execution times. It is not safe for concurrent
// use.
type Times struct {
	counts [timeBuckets]uint16
	total  int
}

// Observe records how long one request took. For one that was given up, pass the time
// until then.
func (t *Times) Observe(took time.Duration) {
	i := 0
	if took > firstBucket {
		i = min(int(math.Ceil(bucketsPerDouble*math.Log2(float64(took)/float64(firstBucket)))), timeBuckets-1)
	}
	t.counts[i]++
	t.total++
	if t.total < maxTimes {
		return
	}
	t.total = 0
	for i := range t.counts {
		t.counts[i] /= 2
		t.total += int(t.counts[i])
	}
}

// Quantile returns an upper bound of a quantile, between 0 and 1, and false until there
// are enough execution times.
func (t *Times) Quantile(q float64) (time.Duration, bool) {
	if t.total < minTimes {
		return 0, false
	}
	need := int(math.Ceil(q * float64(t.total)))
	for i, n := range t.counts {
		if need -= int(n); need <= 0 {
			return time.Duration(math.Exp2(float64(i)/bucketsPerDouble) * float64(firstBucket)), true
		}
	}
	return 0, false
}

// Ending is a request that arrives while the process stops.
type Ending struct {
	Left       time.Duration // until all requests must be answered
	Limit      time.Duration // in which the request ends in any case
	Assumed    time.Duration // execution time if none was observed
	Idempotent bool
}

// Begin reports whether a request is expected to end before the process has to, and so
// may be begun.
func (t *Times) Begin(e Ending) bool {
	q := sureQuantile
	if e.Idempotent {
		q = likelyQuantile
	}
	need, known := t.Quantile(q)
	if !known {
		need = e.Assumed
	}
	return min(need, e.Limit)+stopMargin <= e.Left
}

package rollout

import "time"

// Buckets is the number of latency buckets. Bucket i counts the requests with a
// latency of less than 2^i times BucketUnit and at least half of that; the first
// bucket has no lower bound, the last one no upper bound.
const Buckets = 20

// BucketUnit is the upper bound of the first latency bucket.
const BucketUnit = 125 * time.Microsecond

// Sums holds the counters of requests that reached an upstream.
type Sums struct {
	Requests       uint64
	Errors         uint64
	Crashes        uint64
	LatencySum     time.Duration
	LatencyBuckets [Buckets]uint64
}

// add adds o to s.
func (s *Sums) add(o *Sums) {
	if o.Requests == 0 {
		return
	}
	s.Requests += o.Requests
	s.Errors += o.Errors
	s.Crashes += o.Crashes
	s.LatencySum += o.LatencySum
	for i, n := range o.LatencyBuckets {
		s.LatencyBuckets[i] += n
	}
}

// minus returns s - o. No counter of o may exceed that of s.
func (s Sums) minus(o *Sums) Sums {
	s.Requests -= o.Requests
	s.Errors -= o.Errors
	s.Crashes -= o.Crashes
	s.LatencySum -= o.LatencySum
	for i, n := range o.LatencyBuckets {
		s.LatencyBuckets[i] -= n
	}
	return s
}

// follows reports whether s can be a later reading of the counters o.
func (s *Sums) follows(o *Sums) bool {
	if s.Requests < o.Requests || s.Errors < o.Errors || s.Crashes < o.Crashes || s.LatencySum < o.LatencySum {
		return false
	}
	for i, n := range o.LatencyBuckets {
		if s.LatencyBuckets[i] < n {
			return false
		}
	}
	return true
}

// medianBucket returns the index of the bucket that contains the median latency.
func (s *Sums) medianBucket() int {
	var seen uint64
	for i, n := range s.LatencyBuckets {
		if seen += n; 2*seen >= s.Requests {
			return i
		}
	}
	return Buckets - 1
}

// countFrom returns the number of requests in bucket b and above.
func (s *Sums) countFrom(b int) uint64 {
	var n uint64
	for i := max(b, 0); i < Buckets; i++ {
		n += s.LatencyBuckets[i]
	}
	return n
}

// mean returns the mean latency, or 0 without requests.
func (s *Sums) mean() time.Duration {
	if s.Requests == 0 {
		return 0
	}
	return s.LatencySum / time.Duration(s.Requests)
}

// A series keeps its recent past in a ring of ringSlots time slots.
const (
	ringSlots    = 64
	slotDuration = 500 * time.Millisecond
)

// windows are the periods over which versions are compared, in slots. Short
// windows detect a regression that starts late, long ones a small regression.
var windows = [...]int{4, 16, ringSlots}

// series holds sums by time slot over the recent past, since the stage started,
// and in total.
type series struct {
	slots [ringSlots]Sums
	last  int64 // number of the newest slot
	stage Sums  // since the stage started
	total Sums
}

// add adds d to slot number at.
func (s *series) add(at int64, d Sums) {
	s.advance(at)
	s.slots[s.last%ringSlots].add(&d)
	s.stage.add(&d)
	s.total.add(&d)
}

// advance makes slot number at the newest and clears the slots that it skips.
func (s *series) advance(at int64) {
	if at-s.last >= ringSlots {
		s.slots = [ringSlots]Sums{}
		s.last = at
	}
	for s.last < at {
		s.last++
		s.slots[s.last%ringSlots] = Sums{}
	}
}

// at returns the sums of a slot, which must be one of the newest ringSlots.
func (s *series) at(slot int64) *Sums { return &s.slots[slot%ringSlots] }

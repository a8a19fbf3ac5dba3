package rollout

import "time"

// Buckets is the number of latency buckets; bucket i counts the requests that
// took less than 2^i times BucketUnit and at least half of that.
const Buckets = 20

// BucketUnit is the upper bound of the first latency bucket.
const BucketUnit = 125 * time.Microsecond

// Sums are counts of requests that reached an upstream.
type Sums struct {
	Requests       uint64
	Errors         uint64
	Crashes        uint64
	LatencySum     time.Duration
	LatencyBuckets [Buckets]uint64
}

// add counts o in.
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

// minus returns s - o; o must be a part of s.
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

// follows reports whether s can be a later reading of o.
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

// median is the bucket that holds the median.
func (s *Sums) median() int {
	var seen uint64
	for i, n := range s.LatencyBuckets {
		if seen += n; 2*seen >= s.Requests {
			return i
		}
	}
	return Buckets - 1
}

// from counts the requests of bucket b and above.
func (s *Sums) from(b int) uint64 {
	var n uint64
	for i := max(b, 0); i < Buckets; i++ {
		n += s.LatencyBuckets[i]
	}
	return n
}

// mean is the mean latency; 0 without requests.
func (s *Sums) mean() time.Duration {
	if s.Requests == 0 {
		return 0
	}
	return s.LatencySum / time.Duration(s.Requests)
}

// The windows over which versions are compared. Short ones find a fault that
// begins late, long ones a small one.
const (
	ringSlots = 64
	slotTime  = 500 * time.Millisecond
)

var windows = [...]int{4, 16, ringSlots}

// series are sums over the recent past, by slots of time, and in all.
type series struct {
	slots [ringSlots]Sums
	last  int64 // number of the newest slot
	stage Sums  // since the stage began
	ever  Sums
}

// add counts d at a time.
func (s *series) add(at int64, d Sums) {
	s.advance(at)
	s.slots[s.last%ringSlots].add(&d)
	s.stage.add(&d)
	s.ever.add(&d)
}

// advance empties the slots up to a time.
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

// at returns the sums of a slot that the series still holds.
func (s *series) at(slot int64) *Sums { return &s.slots[slot%ringSlots] }

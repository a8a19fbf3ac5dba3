package poison

import (
	"cmp"
	"sort"
	"time"
)

const (
	// Threshold is the number of crashes after which a request is refused.
	Threshold = 3
	// crashWindow is the time within which crashes count as one. A query that
	// crashes upstreams crashes many replicas at once, and parts of other queries
	// are in flight at these. Counted one by one, the crashes would reach Threshold
	// for those queries too.
	crashWindow = 50 * time.Millisecond
	// SuspicionTTL is the time after the last crash at which a suspicion
	// expires.
	SuspicionTTL = 5 * time.Minute
	// maxSuspects bounds the suspects of a tracker and of one source's list.
	maxSuspects = 512
)

// Suspect is the fingerprint of a request with the times of the last crashes
// while it was in flight, oldest first, at most Threshold of them.
type Suspect struct {
	Fingerprint uint64
	Crashes     []time.Time
}

// Tracker records crashes and answers at the replicas of one owner. It is not
// safe for concurrent use.
type Tracker struct {
	suspects map[uint64][]time.Time
}

// NewTracker returns a tracker without suspects.
func NewTracker() *Tracker { return &Tracker{suspects: map[uint64][]time.Time{}} }

// RecordCrash records the crash of a replica and the fingerprints of the requests
// in flight there. It reports whether the suspects have changed.
func (t *Tracker) RecordCrash(now time.Time, inFlight []uint64) bool {
	changed := false
	for _, fp := range inFlight {
		crashes, added := addCrash(t.suspects[fp], now)
		if !added {
			continue
		}
		if len(t.suspects) >= maxSuspects && len(crashes) == 1 {
			t.evict()
		}
		t.suspects[fp] = crashes
		changed = true
	}
	return changed
}

// RecordAnswer records that an attempt ended with an answer, which shows that its
// request crashes no upstream, and removes the suspicion of that request. It
// reports whether the suspects have changed.
func (t *Tracker) RecordAnswer(fp uint64) bool {
	if _, ok := t.suspects[fp]; !ok {
		return false
	}
	delete(t.suspects, fp)
	return true
}

// Refuse reports whether the request with fingerprint fp must be refused, and for
// how long.
func (t *Tracker) Refuse(now time.Time, fp uint64) (time.Duration, bool) {
	return refuse(now, t.suspects[fp])
}

// Suspects removes the expired suspects and returns the others, ordered by
// fingerprint.
func (t *Tracker) Suspects(now time.Time) []Suspect {
	out := make([]Suspect, 0, len(t.suspects))
	for fp, crashes := range t.suspects {
		if isExpired(now, crashes) {
			delete(t.suspects, fp)
			continue
		}
		out = append(out, Suspect{Fingerprint: fp, Crashes: append([]time.Time(nil), crashes...)})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Fingerprint < out[j].Fingerprint })
	return out
}

// evict removes the suspect with the fewest crashes; among equals, the one whose last
// crash is the oldest, or the one with the smallest fingerprint.
func (t *Tracker) evict() {
	var victim uint64
	var least []time.Time
	for fp, crashes := range t.suspects {
		if least == nil || cmp.Or(cmp.Compare(len(crashes), len(least)), crashes[len(crashes)-1].Compare(least[len(least)-1]), cmp.Compare(fp, victim)) < 0 {
			victim, least = fp, crashes
		}
	}
	delete(t.suspects, victim)
}

// addCrash returns crashes with at added, reduced to the last Threshold times in
// order. It returns false when a crash within crashWindow of at is recorded
// already. It copies the slice and never changes it in place.
func addCrash(crashes []time.Time, at time.Time) ([]time.Time, bool) {
	for _, c := range crashes {
		if d := at.Sub(c); d < crashWindow && d > -crashWindow {
			return crashes, false
		}
	}
	out := append(append([]time.Time(nil), crashes...), at)
	sort.Slice(out, func(i, j int) bool { return out[i].Before(out[j]) })
	return out[max(len(out)-Threshold, 0):], true
}

func isExpired(now time.Time, crashes []time.Time) bool {
	return len(crashes) == 0 || now.Sub(crashes[len(crashes)-1]) >= SuspicionTTL
}

func refuse(now time.Time, crashes []time.Time) (time.Duration, bool) {
	if len(crashes) < Threshold || isExpired(now, crashes) {
		return 0, false
	}
	return SuspicionTTL - now.Sub(crashes[len(crashes)-1]), true
}

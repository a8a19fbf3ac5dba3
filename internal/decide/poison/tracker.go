package poison

import (
	"sort"
	"time"
)

const (
	// Threshold is the number of crashes after which a request is refused.
	Threshold = 3
	// sameCrash is the time within which crashes count as one: the parts of
	// one query reach many replicas together, and so do those of innocent
	// queries beside it.
	sameCrash = 50 * time.Millisecond
	// forgetAfter is the time after the last crash in which a suspicion
	// ends.
	forgetAfter = 5 * time.Minute
	// maxSuspects bounds the memory of a tracker and of one source's list.
	maxSuspects = 512
)

// Suspect is a fingerprint with the times of its last crashes, oldest first,
// at most Threshold of them.
type Suspect struct {
	Fingerprint uint64
	Crashes     []time.Time
}

// Tracker is the evidence of one owner. It is not safe for concurrent use.
type Tracker struct {
	suspects map[uint64][]time.Time
}

// NewTracker returns a tracker that suspects nobody.
func NewTracker() *Tracker { return &Tracker{suspects: map[uint64][]time.Time{}} }

// RecordCrash takes the crash of a replica with the fingerprints in flight there.
// It reports whether Suspects has changed.
func (t *Tracker) RecordCrash(now time.Time, inFlight []uint64) bool {
	changed := false
	for _, fp := range inFlight {
		crashes, added := addCrash(t.suspects[fp], now)
		if !added {
			continue
		}
		if len(t.suspects) >= maxSuspects && len(crashes) == 1 {
			t.evict(now)
		}
		t.suspects[fp] = crashes
		changed = true
	}
	return changed
}

// RecordAnswer takes a run that ended with an answer: its request crashes nothing.
// It reports whether Suspects has changed.
func (t *Tracker) RecordAnswer(fp uint64) bool {
	if _, ok := t.suspects[fp]; !ok {
		return false
	}
	delete(t.suspects, fp)
	return true
}

// Refuse reports whether a request must not be sent, and for how long.
func (t *Tracker) Refuse(now time.Time, fp uint64) (time.Duration, bool) {
	return refuse(now, t.suspects[fp])
}

// Suspects returns all suspects, ordered by fingerprint, and forgets old ones.
func (t *Tracker) Suspects(now time.Time) []Suspect {
	out := make([]Suspect, 0, len(t.suspects))
	for fp, crashes := range t.suspects {
		if isOld(now, crashes) {
			delete(t.suspects, fp)
			continue
		}
		out = append(out, Suspect{Fingerprint: fp, Crashes: append([]time.Time(nil), crashes...)})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Fingerprint < out[j].Fingerprint })
	return out
}

// evict forgets the suspect with the oldest last crash; of equals the one with
// the smallest fingerprint.
func (t *Tracker) evict(now time.Time) {
	var victim uint64
	oldest := now.Add(time.Hour)
	for fp, crashes := range t.suspects {
		last := crashes[len(crashes)-1]
		if last.Before(oldest) || last.Equal(oldest) && fp < victim {
			victim, oldest = fp, last
		}
	}
	delete(t.suspects, victim)
}

// addCrash keeps the last Threshold distinct times in order; false if the
// crash is known. The slice is copied, never changed in place.
func addCrash(crashes []time.Time, at time.Time) ([]time.Time, bool) {
	for _, c := range crashes {
		if d := at.Sub(c); d < sameCrash && d > -sameCrash {
			return crashes, false
		}
	}
	out := append(append([]time.Time(nil), crashes...), at)
	sort.Slice(out, func(i, j int) bool { return out[i].Before(out[j]) })
	return out[max(len(out)-Threshold, 0):], true
}

func isOld(now time.Time, crashes []time.Time) bool {
	return len(crashes) == 0 || now.Sub(crashes[len(crashes)-1]) >= forgetAfter
}

func refuse(now time.Time, crashes []time.Time) (time.Duration, bool) {
	if len(crashes) < Threshold || isOld(now, crashes) {
		return 0, false
	}
	return forgetAfter - now.Sub(crashes[len(crashes)-1]), true
}

package poison

import (
	"slices"
	"time"
)

// Aggregator is what all owners suspect, as one entry process knows it. It is not
// safe for concurrent use.
type Aggregator struct {
	sources map[string][]Suspect
	merged  map[uint64][]time.Time
}

// NewAggregator returns an empty board.
func NewAggregator() *Aggregator {
	return &Aggregator{sources: map[string][]Suspect{}, merged: map[uint64][]time.Time{}}
}

// Update replaces what a source suspects. Crashes of one moment that several
// owners saw count once.
func (b *Aggregator) Update(source string, list []Suspect) {
	if len(list) == 0 && len(b.sources[source]) == 0 {
		return
	}
	b.sources[source] = list[:min(len(list), maxSuspects)]
	if len(list) == 0 {
		delete(b.sources, source)
	}
	b.merged = b.fold()
}

// fold joins the crashes of all sources. They are folded in order of time, as
// which of two near crashes is kept depends on those kept before.
func (b *Aggregator) fold() map[uint64][]time.Time {
	all := map[uint64][]time.Time{}
	for _, suspects := range b.sources {
		for _, s := range suspects {
			all[s.Fingerprint] = append(all[s.Fingerprint], s.Crashes...)
		}
	}
	for fp, times := range all {
		slices.SortFunc(times, time.Time.Compare)
		var kept []time.Time
		for _, at := range times {
			kept, _ = addCrash(kept, at)
		}
		all[fp] = kept
	}
	return all
}

// Refuse reports whether a request must not be sent, and for how long.
func (b *Aggregator) Refuse(now time.Time, fp uint64) (time.Duration, bool) {
	return refuse(now, b.merged[fp])
}

package poison

import (
	"slices"
	"time"
)

// Aggregator merges the suspects of all owners in an entry process. It is not
// safe for concurrent use.
type Aggregator struct {
	sources map[string][]Suspect
	merged  map[uint64][]time.Time
}

// NewAggregator returns an aggregator without suspects.
func NewAggregator() *Aggregator {
	return &Aggregator{sources: map[string][]Suspect{}, merged: map[uint64][]time.Time{}}
}

// Update replaces the suspects of a source. A crash that several owners observed
// at the same time counts once.
func (a *Aggregator) Update(source string, list []Suspect) {
	if len(list) == 0 && len(a.sources[source]) == 0 {
		return
	}
	a.sources[source] = list[:min(len(list), maxSuspects)]
	if len(list) == 0 {
		delete(a.sources, source)
	}
	a.merged = a.mergeSources()
}

// mergeSources merges the crashes of all sources. It adds them in order of time,
// since whether a crash counts depends on the crashes added before it.
func (a *Aggregator) mergeSources() map[uint64][]time.Time {
	all := map[uint64][]time.Time{}
	for _, suspects := range a.sources {
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

// Refuse reports whether the request with fingerprint fp must be refused, and for
// how long.
func (a *Aggregator) Refuse(now time.Time, fp uint64) (time.Duration, bool) {
	return refuse(now, a.merged[fp])
}

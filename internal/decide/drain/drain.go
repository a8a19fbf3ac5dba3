package drain

import (
	"maps"
	"sort"
	"time"
)

// ListSignalTTL is how long the list's signal lasts after the last list that
// contained it. Lists come from several servers with different lag, so
// successive lists may disagree.
const ListSignalTTL = 10 * time.Second

// maxStarts is the number of start IDs kept per upstream.
const maxStarts = 4

// Tracker combines the signals of all upstreams. It is not safe for concurrent
// use.
type Tracker struct {
	revision       uint64 // of table
	retained       uint64 // of the last Retain
	table          map[string]bool
	listed         map[string]time.Time // time of the last list with the upstream draining
	drainingStarts map[string][]string  // start IDs that have reported draining, newest last
	draining       map[string]bool      // upstreams whose newest start ID has reported draining
}

// New returns a tracker without signals.
func New() *Tracker {
	return &Tracker{table: map[string]bool{}, listed: map[string]time.Time{}, drainingStarts: map[string][]string{}, draining: map[string]bool{}}
}

// UpdateTables sets the upstreams with the "leaving" key in a revision of the
// tables. An older revision than the current one is ignored.
func (t *Tracker) UpdateTables(revision uint64, ids []string) {
	if revision < t.revision {
		return
	}
	t.revision = revision
	t.table = make(map[string]bool, len(ids))
	for _, id := range ids {
		t.table[id] = true
	}
}

// Retain removes the reported states of all upstreams that a revision of the
// tables doesn't contain, so that memory is bounded by the size of the tables. An
// older revision is ignored: it may lack an upstream that is draining.
func (t *Tracker) Retain(revision uint64, ids []string) {
	if revision < max(t.revision, t.retained) {
		return
	}
	t.retained = revision
	known := make(map[string]bool, len(ids))
	for _, id := range ids {
		known[id] = true
	}
	maps.DeleteFunc(t.drainingStarts, func(id string, _ []string) bool { return !known[id] })
	maps.DeleteFunc(t.draining, func(id string, _ bool) bool { return !known[id] })
}

// UpdateList records the upstreams that are draining by the platform's list, and
// removes those whose last such list is older than ListSignalTTL.
func (t *Tracker) UpdateList(now time.Time, ids []string) {
	for _, id := range ids {
		t.listed[id] = now
	}
	for id, last := range t.listed {
		if now.Sub(last) > ListSignalTTL {
			delete(t.listed, id)
		}
	}
}

// UpdateUpstream records the state that an upstream reports. A draining process
// never accepts work again; only another start ID ends the signal.
func (t *Tracker) UpdateUpstream(id, start string, draining bool) {
	for _, s := range t.drainingStarts[id] {
		if s == start {
			return // already draining; a late report doesn't change that
		}
	}
	if !draining {
		delete(t.draining, id)
		return
	}
	t.drainingStarts[id] = append(t.drainingStarts[id], start)
	if n := len(t.drainingStarts[id]); n > maxStarts {
		t.drainingStarts[id] = t.drainingStarts[id][n-maxStarts:]
	}
	t.draining[id] = true
}

// IsDraining reports whether any signal marks the upstream as draining, so
// that it must get no new work.
func (t *Tracker) IsDraining(now time.Time, id string) bool {
	last, listed := t.listed[id]
	return t.table[id] || t.draining[id] || listed && now.Sub(last) <= ListSignalTTL
}

// Draining returns the IDs of all draining upstreams, sorted.
func (t *Tracker) Draining(now time.Time) []string {
	var out []string
	add := func(id string) {
		if t.IsDraining(now, id) {
			out = append(out, id)
		}
	}
	for id := range t.table {
		add(id)
	}
	for id := range t.listed {
		if !t.table[id] {
			add(id)
		}
	}
	for id := range t.draining {
		if _, listed := t.listed[id]; !listed && !t.table[id] {
			add(id)
		}
	}
	sort.Strings(out)
	return out
}

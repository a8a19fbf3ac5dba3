package drain

import (
	"maps"
	"sort"
	"time"
)

// ListSignalTTL is how long a list's sign outlives the last list that gave it. The
// list comes from several servers that lag differently, so two lists may
// disagree in turn.
const ListSignalTTL = 10 * time.Second

// keptStarts bounds the processes of one upstream that are remembered to drain.
const keptStarts = 4

// Tracker joins the signs of all upstreams. It is not safe for concurrent use.
type Tracker struct {
	revision uint64 // of table
	kept     uint64 // of the last Keep
	table    map[string]bool
	listed   map[string]time.Time // last list that called the upstream leaving
	own      map[string][]string  // start ids of the upstream that drain, newest last
	current  map[string]bool      // upstreams whose newest start id drains
}

// New returns a machine without signs.
func New() *Tracker {
	return &Tracker{table: map[string]bool{}, listed: map[string]time.Time{}, own: map[string][]string{}, current: map[string]bool{}}
}

// UpdateTables takes the leaving keys of a revision; an older one is ignored.
func (m *Tracker) UpdateTables(revision uint64, ids []string) {
	if revision < m.revision {
		return
	}
	m.revision = revision
	m.table = make(map[string]bool, len(ids))
	for _, id := range ids {
		m.table[id] = true
	}
}

// Retain takes all upstreams of the tables of a revision and forgets the own word
// of every other one, so that memory is bounded by the tables. An older revision
// is ignored: it may lack an upstream that drains.
func (m *Tracker) Retain(revision uint64, ids []string) {
	if revision < max(m.revision, m.kept) {
		return
	}
	m.kept = revision
	known := make(map[string]bool, len(ids))
	for _, id := range ids {
		known[id] = true
	}
	maps.DeleteFunc(m.own, func(id string, _ []string) bool { return !known[id] })
	maps.DeleteFunc(m.current, func(id string, _ bool) bool { return !known[id] })
}

// UpdateList takes the upstreams that the platform's list calls leaving.
func (m *Tracker) UpdateList(now time.Time, ids []string) {
	for _, id := range ids {
		m.listed[id] = now
	}
	for id, last := range m.listed {
		if now.Sub(last) > ListSignalTTL {
			delete(m.listed, id)
		}
	}
}

// UpdateUpstream takes an upstream's own word. A process that drains never takes
// work again; only another start id ends the sign.
func (m *Tracker) UpdateUpstream(id, start string, draining bool) {
	for _, s := range m.own[id] {
		if s == start {
			return // known to drain; a late report doesn't change it
		}
	}
	if !draining {
		delete(m.current, id)
		return
	}
	m.own[id] = append(m.own[id], start)
	if n := len(m.own[id]); n > keptStarts {
		m.own[id] = m.own[id][n-keptStarts:]
	}
	m.current[id] = true
}

// IsDraining reports whether the upstream must get no new work.
func (m *Tracker) IsDraining(now time.Time, id string) bool {
	last, listed := m.listed[id]
	return m.table[id] || m.current[id] || listed && now.Sub(last) <= ListSignalTTL
}

// All returns the upstreams that must get no new work, in order.
func (m *Tracker) All(now time.Time) []string {
	var out []string
	add := func(id string) {
		if m.IsDraining(now, id) {
			out = append(out, id)
		}
	}
	for id := range m.table {
		add(id)
	}
	for id := range m.listed {
		if !m.table[id] {
			add(id)
		}
	}
	for id := range m.current {
		if _, listed := m.listed[id]; !listed && !m.table[id] {
			add(id)
		}
	}
	sort.Strings(out)
	return out
}

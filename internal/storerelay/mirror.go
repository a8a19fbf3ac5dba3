package storerelay

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/boottime"
	"github.com/sapphirewall/sapphirewall/internal/decide/apikey"
	"github.com/sapphirewall/sapphirewall/internal/decide/era"
	"github.com/sapphirewall/sapphirewall/internal/platform"
	"github.com/sapphirewall/sapphirewall/internal/storepack"
	"github.com/sapphirewall/sapphirewall/internal/storewatch"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// maxHistory bounds the changes that a mirror keeps: far more than are made
// between two polls.
const maxHistory = 4096

// maxFormer bounds the former large values that a mirror keeps, from which other VMs get
// only the differences to later ones.
const maxFormer = 4

// Mirror keeps the state and the recent changes of a watch for other VMs, and
// passes them on to the next handler. It implements storewatch.Handler and
// platform.Watcher, and is safe for concurrent use.
type Mirror struct {
	next storewatch.Handler

	mu          sync.Mutex // guards the fields below
	entries     map[string]platform.Entry
	history     []platform.Entry
	former      []platform.Entry // large values that were replaced, the oldest one first
	since       uint64           // history has all changes after this revision
	revision    uint64           // 0: no state yet
	unavailable bool
	changed     chan struct{} // closed and replaced at each change
	asOf        time.Duration // instant of package boottime as of which the state is confirmed; 0: none

	// keeps reports whether an entry is kept although the store has another value of it
	// now; nil: none is.
	keeps func(known, now platform.Entry) bool
	bound apikey.Bound // 0: other VMs get the state however old its confirmation is
}

// NewMirror returns a mirror that passes everything on to next.
func NewMirror(next storewatch.Handler) *Mirror {
	return &Mirror{next: next, entries: map[string]platform.Entry{}, changed: make(chan struct{})}
}

// Replace implements storewatch.Handler.
func (m *Mirror) Replace(entries []platform.Entry, revision uint64) {
	m.mu.Lock()
	entries = m.keep(entries)
	for _, e := range entries {
		m.retire(e)
	}
	m.entries = make(map[string]platform.Entry, len(entries))
	for _, e := range entries {
		m.entries[e.Key] = e
	}
	m.history, m.since, m.revision = nil, revision, revision
	m.notify()
	m.mu.Unlock()
	m.next.Replace(entries, revision)
}

// Apply implements storewatch.Handler.
func (m *Mirror) Apply(changes []platform.Entry) {
	m.mu.Lock()
	changes = m.keep(changes)
	for _, e := range changes {
		if e.Revision <= m.revision {
			continue
		}
		m.revision = e.Revision
		m.retire(e)
		m.history = append(m.history, e)
		m.entries[e.Key] = e
		if e.Deleted {
			delete(m.entries, e.Key)
		}
	}
	if over := len(m.history) - maxHistory; over > 0 {
		m.since = m.history[over-1].Revision
		m.history = append([]platform.Entry(nil), m.history[over:]...)
	}
	m.notify()
	m.mu.Unlock()
	m.next.Apply(changes)
}

// Confirmed implements storewatch.Confirmer.
func (m *Mirror) Confirmed(asOf time.Duration) {
	m.mu.Lock()
	m.asOf = max(m.asOf, asOf)
	m.mu.Unlock()
	if next, ok := m.next.(storewatch.Confirmer); ok {
		next.Confirmed(asOf)
	}
}

// keep returns entries with the known values of those that are kept. m.mu is held.
func (m *Mirror) keep(entries []platform.Entry) []platform.Entry {
	if m.keeps == nil {
		return entries
	}
	out := slices.Clone(entries)
	for i, e := range out {
		if known, ok := m.entries[e.Key]; ok && !e.Deleted && m.keeps(known, e) {
			out[i].Value = known.Value
		}
	}
	return out
}

// isCurrent reports whether the state is confirmed well enough to be passed on. m.mu is
// held.
func (m *Mirror) isCurrent() bool {
	return m.bound == 0 || m.asOf > 0 && m.bound.Relayable(boottime.Now()-m.asOf)
}

// retire keeps the value that an entry replaces, if it is large. It drops the value from
// the history, in which only the last change of a key counts: else the history would hold
// many large values. m.mu is held.
func (m *Mirror) retire(e platform.Entry) {
	old := m.entries[e.Key]
	if len(old.Value) < storepack.LargeValue || old.Revision == e.Revision {
		return
	}
	m.history = slices.DeleteFunc(m.history, func(h platform.Entry) bool { return h.Key == old.Key && h.Revision == old.Revision })
	m.former = append(m.former, old)
	if over := len(m.former) - maxFormer; over > 0 {
		m.former = slices.Delete(m.former, 0, over)
	}
}

// Value returns the value of a key at a revision, if it is large and still kept.
func (m *Mirror) Value(key string, revision uint64) ([]byte, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range append(m.former[:len(m.former):len(m.former)], m.entries[key]) {
		if e.Key == key && e.Revision == revision && len(e.Value) >= storepack.LargeValue {
			return e.Value, true
		}
	}
	return nil, false
}

// bases returns the large values of the state.
func (m *Mirror) bases() []*swpb.StoreBase {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*swpb.StoreBase
	for _, e := range m.entries {
		if len(e.Value) >= storepack.LargeValue {
			out = append(out, &swpb.StoreBase{Key: e.Key, Revision: e.Revision})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

// Unavailable implements storewatch.Handler.
func (m *Mirror) Unavailable(err error) {
	m.mu.Lock()
	m.unavailable = true
	m.notify()
	m.mu.Unlock()
	m.next.Unavailable(err)
}

// Available implements storewatch.Handler.
func (m *Mirror) Available() {
	m.mu.Lock()
	m.unavailable = false
	m.mu.Unlock()
	m.next.Available()
}

// lastRevision returns the revision of the state, 0 if there is none yet.
func (m *Mirror) lastRevision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// notify wakes the waiting Watch calls. m.mu is held.
func (m *Mirror) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Snapshot returns all entries, or ErrUnavailable while the store is unavailable
// or has not been read yet.
func (m *Mirror) Snapshot(context.Context, string) (platform.Changes, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unavailable || m.revision == 0 || !m.isCurrent() {
		return platform.Changes{}, platform.ErrUnavailable
	}
	c := m.allEntries()
	c.AsOf = m.asOf
	return c, nil
}

// LastKnown returns the last known entries, also while the store is unavailable.
// The revision is 0 if there never were any.
func (m *Mirror) LastKnown() platform.Changes {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.allEntries()
}

// allEntries returns all entries, sorted by key. m.mu is held.
func (m *Mirror) allEntries() platform.Changes {
	out := platform.Changes{Revision: m.revision, Entries: make([]platform.Entry, 0, len(m.entries))}
	for _, e := range m.entries {
		out.Entries = append(out.Entries, e)
	}
	sort.Slice(out.Entries, func(i, j int) bool { return out.Entries[i].Key < out.Entries[j].Key })
	return out
}

// Watch returns the changes after a revision, as soon as there are any or wait
// has passed.
func (m *Mirror) Watch(ctx context.Context, _ string, from uint64, wait time.Duration) (platform.Changes, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		out, changed, err := m.changesAfter(from)
		if err != nil || len(out.Entries) > 0 {
			return out, err
		}
		select {
		case <-changed:
		case <-timer.C:
			out, _, err = m.changesAfter(from)
			return out, err
		case <-ctx.Done():
			return out, ctx.Err()
		}
	}
}

// changesAfter returns the changes after a revision, and a channel that is closed
// when there may be more.
func (m *Mirror) changesAfter(from uint64) (platform.Changes, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.unavailable || m.revision == 0 || !m.isCurrent():
		return platform.Changes{}, nil, platform.ErrUnavailable
	case era.Of(from) > era.Of(m.revision):
		return platform.Changes{}, nil, platform.ErrUnavailable // the asker knows a later era
	case from < m.since:
		return platform.Changes{}, nil, platform.ErrCompacted
	}
	first := sort.Search(len(m.history), func(i int) bool { return m.history[i].Revision > from })
	out := platform.Changes{AsOf: m.asOf, Revision: max(from, m.revision), Entries: append([]platform.Entry(nil), m.history[first:]...)}
	return out, m.changed, nil
}

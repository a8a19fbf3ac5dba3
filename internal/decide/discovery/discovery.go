package discovery

import (
	"slices"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/era"
)

// GracePeriod is how long an upstream may still be used after this process has
// observed that it is draining or that its registration was removed.
// Registrations that expired while the store was unavailable are renewed within
// two seconds of its recovery; the platform's limits on the use of draining
// upstreams are three seconds or longer.
const GracePeriod = 2 * time.Second

// removedRetention is how long a removed upstream is remembered, so that its last
// registration is recognized when the store comes back from a copy some seconds old.
const removedRetention = time.Minute

// Upstream is one registered replica.
type Upstream struct {
	ID       string
	Pool     string
	Addr     string // IP:port
	Zone     string
	Version  string
	Slots    int           // concurrent requests; 0: unknown
	Draining bool          // it finishes its work and wants no more
	ColdLeft time.Duration // remaining cold time, by its own account
	Start    int64         // its start time in Unix milliseconds, as incarnation; 0: unknown
}

// State determines whether an upstream may receive requests.
type State uint8

// The states, from most to least usable.
const (
	Active     State = iota // receives requests
	LastResort              // receives requests only where no other upstream can, until GracePeriod is over
	Removed                 // receives none
)

// Registration is one store entry and the upstream that it announces.
type Registration struct {
	Key      string
	Revision uint64
	Upstream Upstream
	Valid    bool // false: the entry can't be decoded, and Upstream must not be used
	// Sequence rises with each heartbeat of the upstream since its start; 0: unknown.
	Sequence uint64
}

// precedes reports whether a registration was written before another one by the
// same incarnation of an upstream.
func (r Registration) precedes(start int64, sequence uint64) bool {
	return r.Valid && r.Upstream.Start != 0 && r.Upstream.Start == start && r.Sequence != 0 && r.Sequence < sequence
}

// record is the last state of one key.
type record struct {
	up         Upstream
	sequence   uint64
	revision   uint64
	valid      bool
	present    bool
	graceStart time.Time // when this process observed that it is draining, leaving or was removed; zero: active
	coldEnd    time.Time
	// leaving states that the upstream itself has said, in an answer, that it leaves. It
	// ends with the incarnation, whatever the store says of it.
	leaving bool
	// outdated states that the store has only a registration that precedes the
	// recorded one, as after its return from an older copy.
	outdated bool
}

// Machine holds all registrations. It is not safe for concurrent use.
type Machine struct {
	records          map[string]*record
	storeUnavailable bool
}

// New returns a machine without registrations.
func New() *Machine { return &Machine{records: map[string]*record{}} }

// Put records a registration that was written. An older revision than the
// recorded one is ignored, and so is what an upstream has written before what is
// recorded. Put reports whether more than the revision has changed.
func (m *Machine) Put(now time.Time, reg Registration) bool {
	r := m.records[reg.Key]
	if r != nil && reg.Revision < r.revision {
		return false
	}
	if r != nil && r.isOutdated(reg) {
		changed := !r.outdated
		r.revision, r.outdated = reg.Revision, true
		return changed
	}
	if r == nil {
		r = &record{}
		m.records[reg.Key] = r
	}
	before := *r
	r.leaving = r.leaving && !r.isNextIncarnation(reg)
	r.revision, r.present, r.valid, r.outdated = reg.Revision, true, reg.Valid, false
	if reg.Valid {
		r.up, r.sequence = reg.Upstream, reg.Sequence
		r.coldEnd = now.Add(reg.Upstream.ColdLeft)
	}
	switch {
	case r.leaving: // graceStart is set
	case reg.Valid && !reg.Upstream.Draining:
		r.graceStart = time.Time{}
	case r.graceStart.IsZero():
		r.graceStart = now
	}
	return before.up != r.up || before.valid != r.valid || before.present != r.present
}

// isNextIncarnation reports whether a registration is of another incarnation of the
// upstream than the recorded one. Without start times, one that returns after its removal
// counts as such.
func (r *record) isNextIncarnation(reg Registration) bool {
	switch {
	case !reg.Valid:
		return false
	case reg.Upstream.Start == 0 && r.up.Start == 0 && !r.present:
		return true
	}
	return reg.Upstream.Start != r.up.Start || reg.Upstream.Addr != r.up.Addr
}

// Leaving records that an incarnation of an upstream has said in an answer that it leaves.
// It reports whether that is new. An incarnation that isn't the recorded one is ignored.
func (m *Machine) Leaving(now time.Time, key string, start int64) bool {
	r := m.records[key]
	if r == nil || r.up.Start != start || r.leaving {
		return false
	}
	r.leaving = true
	if r.graceStart.IsZero() {
		r.graceStart = now
	}
	return true
}

// isOutdated reports whether a registration precedes what is recorded. After a
// restore of the store, the last registration of a removed upstream may be there
// again too.
func (r *record) isOutdated(reg Registration) bool {
	if reg.precedes(r.up.Start, r.sequence) {
		return true
	}
	return !r.present && era.Of(reg.Revision) > era.Of(r.revision) && reg.precedes(r.up.Start, r.sequence+1)
}

// Outdated returns, in order, the keys of upstreams that are draining or removed, for
// which the store has only a registration from before that.
func (m *Machine) Outdated() []string {
	var out []string
	for key, r := range m.records {
		if r.outdated && !r.graceStart.IsZero() {
			out = append(out, key)
		}
	}
	slices.Sort(out)
	return out
}

// Remove records that a key was removed at a revision. It reports whether the
// key was present until then.
func (m *Machine) Remove(now time.Time, key string, revision uint64) bool {
	r := m.records[key]
	if r == nil || !r.present || revision < r.revision {
		return false
	}
	r.revision, r.present = revision, false
	if r.graceStart.IsZero() {
		r.graceStart = now
	}
	return true
}

// Replace records all registrations, as read at a revision of the store. It
// returns the keys that were removed.
func (m *Machine) Replace(now time.Time, regs []Registration, revision uint64) []string {
	listed := make(map[string]bool, len(regs))
	for _, reg := range regs {
		listed[reg.Key] = true
		m.Put(now, reg)
	}
	var removed []string
	for key, r := range m.records {
		if !listed[key] && r.present && r.revision <= revision {
			m.Remove(now, key, revision)
			removed = append(removed, key)
		}
	}
	return removed
}

// StoreUnavailable records that the store is unavailable until StoreAvailable is
// called. Removals around an outage may be leases that could not be renewed, so
// their grace period starts again when the store is available.
func (m *Machine) StoreUnavailable() { m.storeUnavailable = true }

// StoreAvailable records that the store is available again, and restarts the
// grace period of removed registrations, whose upstreams may be registering
// again.
func (m *Machine) StoreAvailable(now time.Time) {
	if !m.storeUnavailable {
		return
	}
	m.storeUnavailable = false
	for _, r := range m.records {
		if !r.present && !r.leaving && !r.graceOver(now) {
			r.graceStart = now
		}
	}
}

func (r *record) graceOver(now time.Time) bool {
	return !r.graceStart.IsZero() && now.Sub(r.graceStart) >= GracePeriod
}

// Status is the current state of one upstream.
type Status struct {
	Upstream
	Key     string // of its registration
	State   State
	ColdEnd time.Time // the upstream is cold until then
}

// Usable returns all upstreams that are not in state Removed, and the time at
// which the result changes without a further event (zero: never). It deletes the
// records of upstreams that were removed long ago.
func (m *Machine) Usable(now time.Time) ([]Status, time.Time) {
	var out []Status
	var wake time.Time
	for key, r := range m.records {
		if r.graceOver(now) {
			if !r.present && now.Sub(r.graceStart) >= removedRetention {
				delete(m.records, key)
			}
			continue
		}
		if r.up.ID == "" {
			continue
		}
		st := Status{Upstream: r.up, Key: key, ColdEnd: r.coldEnd}
		if !r.graceStart.IsZero() {
			st.State = LastResort
			end := r.graceStart.Add(GracePeriod)
			if wake.IsZero() || end.Before(wake) {
				wake = end
			}
		}
		out = append(out, st)
	}
	return out, wake
}

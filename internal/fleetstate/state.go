package fleetstate

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/rollout"
	"github.com/sapphirewall/sapphirewall/internal/tables"
)

// ServiceName is the kernel name of the service that is a Source.
const ServiceName = "view"

// MemberState is what the fleet currently assumes about one VM of the system.
type MemberState uint8

// The states of a member, from best to worst.
const (
	Alive MemberState = iota + 1
	Suspect
	Leaving
	Gone
)

// Member is one VM of the system. An address is empty while its process is not
// known to be running.
type Member struct {
	Node        string
	Zone        string
	State       MemberState
	Incarnation uint64
	ControlAddr string
	EgressAddr  string
	EntryAddr   string
	Revision    uint64 // tables revision in force there, as last reported
}

// Veto withdraws a version of a pool from its rollout.
type Veto struct {
	Pool     string
	Version  string
	Reason   string
	Revision uint64    // tables revision in force at the veto
	By       string    // node that withdrew the version
	Start    time.Time // of the rollout
}

// RolloutStage is the progress of a rollout. It never goes back.
type RolloutStage struct {
	Pool      string
	Version   string
	Start     time.Time // of the rollout
	Stage     int
	HoldUntil time.Time // until then part of the traffic goes to the old version
}

// State is a process's view of the fleet at one moment. It must not be
// changed after Store.
type State struct {
	Version  uint64         // incremented at every change in this process
	Tables   *tables.Tables // nil until the first tables are in force
	Members  []Member       // ordered by Node
	Vetoes   []Veto
	Stages   []RolloutStage
	Draining map[string]bool // upstream IDs that the VM list marks as leaving
}

// Rollout returns the known progress of the pool's rollout, or the zero value
// if it has none.
func (s *State) Rollout(pool *tables.Pool) rollout.Progress {
	var p rollout.Progress
	if pool.Rollout == nil {
		return p
	}
	for i := range s.Stages {
		st := &s.Stages[i]
		if matchesRollout(pool, st.Pool, st.Version, st.Start) {
			p = p.Merge(rollout.Progress{Stage: st.Stage, HoldUntil: st.HoldUntil})
		}
	}
	for i := range s.Vetoes {
		v := &s.Vetoes[i]
		if matchesRollout(pool, v.Pool, v.Version, v.Start) {
			p.Vetoed = true
		}
	}
	return p
}

// VersionFor returns the version of the pool that a request must be sent to, or
// "" if any version will do.
func (s *State) VersionFor(pool *tables.Pool, now time.Time, requestID string) string {
	return rollout.Choose(pool, s.Rollout(pool), now, requestID)
}

// AppliesTo reports whether v is a veto of a current rollout of t, or of a rollout
// of newer tables.
func (v Veto) AppliesTo(t *tables.Tables) bool {
	if t == nil || v.Revision > t.Revision {
		return true
	}
	p := t.Pools[v.Pool]
	return p != nil && p.Rollout != nil && matchesRollout(p, v.Pool, v.Version, v.Start)
}

// matchesRollout reports whether a veto or stage with these fields concerns the
// rollout of pool. A zero start matches any.
func matchesRollout(pool *tables.Pool, name, version string, start time.Time) bool {
	sameStart := start.IsZero() || start.Unix() == pool.Rollout.Start.Unix()
	return pool.Name == name && pool.Rollout.To == version && sameStart
}

// Source provides the current state and notifies subscribers of changes.
type Source interface {
	// Current returns the newest state; never nil.
	Current() *State
	// Subscribe returns a channel that receives after every change, and a
	// function that ends the subscription. Changes in quick succession may be
	// notified once.
	Subscribe() (<-chan struct{}, func())
}

// Holder is a Source whose state is set with Store. It is safe for concurrent
// use.
type Holder struct {
	state atomic.Pointer[State]

	mu     sync.Mutex // guards subs and next
	subs   map[int]chan struct{}
	nextID int
}

// NewHolder returns a holder with an empty state.
func NewHolder() *Holder {
	h := &Holder{subs: map[int]chan struct{}{}}
	h.state.Store(&State{})
	return h
}

// Current implements Source.
func (h *Holder) Current() *State { return h.state.Load() }

// Store sets the state and notifies the subscribers.
func (h *Holder) Store(s *State) {
	h.state.Store(s)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, ch := range h.subs {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

// Subscribe implements Source.
func (h *Holder) Subscribe() (<-chan struct{}, func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	id := h.nextID
	h.nextID++
	ch := make(chan struct{}, 1)
	h.subs[id] = ch
	return ch, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.subs, id)
	}
}

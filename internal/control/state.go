package control

import (
	"sync"

	"github.com/sapphirewall/sapphirewall/internal/fleetstate"
	"github.com/sapphirewall/sapphirewall/internal/tables"
)

// state holds the current fleet state of this process and notifies long polls of
// changes.
type state struct {
	*fleetstate.Holder

	mu      sync.Mutex // guards changed, and orders updates
	changed chan struct{}
}

// newState returns an empty state whose version is first.
func newState(first uint64) *state {
	s := &state{Holder: fleetstate.NewHolder(), changed: make(chan struct{})}
	s.Store(&fleetstate.State{Version: first})
	return s
}

// update changes a copy of the current fleet state and makes it the current one.
func (s *state) update(change func(*fleetstate.State)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.Current()
	change(&next)
	next.Version++
	s.Store(&next)
	close(s.changed)
	s.changed = make(chan struct{})
}

// currentAndChange returns the current fleet state and a channel that is closed when
// it changes.
func (s *state) currentAndChange() (*fleetstate.State, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Current(), s.changed
}

// putInForce sets the tables for new requests and reports whether it did. A
// revision that is not newer than the current one is ignored.
func (s *state) putInForce(t *tables.Tables) bool {
	done := false
	s.update(func(st *fleetstate.State) {
		if st.Tables == nil || t.Revision > st.Tables.Revision {
			st.Tables = t
			done = true
		}
	})
	return done
}

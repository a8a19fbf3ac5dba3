package control

import (
	"sync"

	"github.com/sapphirewall/sapphirewall/internal/fleetstate"
	"github.com/sapphirewall/sapphirewall/internal/tables"
)

// state is the view of this process with a broadcast for long polls.
type state struct {
	*fleetstate.Holder

	mu      sync.Mutex // guards changed, and orders updates
	changed chan struct{}
}

// newState returns an empty state whose versions count from first.
func newState(first uint64) *state {
	s := &state{Holder: fleetstate.NewHolder(), changed: make(chan struct{})}
	s.Store(&fleetstate.State{Version: first})
	return s
}

// update changes a copy of the view and makes it the current one.
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

// currentAndChange returns a channel that is closed at the next change after the returned
// view.
func (s *state) currentAndChange() (*fleetstate.State, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Current(), s.changed
}

// putInForce sets the tables for new requests; an older revision is ignored.
func (s *state) putInForce(t *tables.Tables) bool {
	done := false
	s.update(func(v *fleetstate.State) {
		if v.Tables == nil || t.Revision > v.Tables.Revision {
			v.Tables = t
			done = true
		}
	})
	return done
}

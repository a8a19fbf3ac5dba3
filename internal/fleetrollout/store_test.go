package fleetrollout

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/era"
	"github.com/sapphirewall/sapphirewall/internal/decide/rollout"
	"github.com/sapphirewall/sapphirewall/internal/platform"
)

// storeModel is the store, with the records and statuses.
type storeModel struct {
	w        *world
	mu       sync.Mutex
	era      uint64
	revision uint64
	entries  map[string]platform.Entry
}

func (s *storeModel) since(revision uint64) []platform.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []platform.Entry
	for _, e := range s.entries {
		if e.Revision > revision {
			out = append(out, e)
		}
	}
	return out
}

func (s *storeModel) currentEra() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// restore makes the store lose all records, as a new era.
func (s *storeModel) restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision = 0
	clear(s.entries)
}

// vmStore is the store as a VM reaches it.
type vmStore struct{ v *vmModel }

// PutRollout implements Store. Some replies are lost, and some writes are made late.
func (s vmStore) PutRollout(_ context.Context, key string, expect uint64, value []byte, _ rollout.Order, p rollout.Phase) (uint64, error) {
	w := s.v.w
	time.Sleep(4 * time.Millisecond)
	if s.v.withoutStore() {
		return 0, platform.ErrUnavailable
	}
	w.mu.Lock()
	chance, delay := w.rng.Float64(), time.Duration(w.rng.Float64()*float64(maxWriteDelay))
	w.mu.Unlock()
	if w.reliable {
		chance = 1
	}
	if chance < lateWrites {
		go func() {
			time.Sleep(delay)
			_, _ = w.store.put(key, expect, value, p)
		}()
		return 0, platform.ErrUnknown
	}
	revision, err := w.store.put(key, expect, value, p)
	if err == nil && chance < lateWrites+lostReplies {
		return 0, platform.ErrUnknown
	}
	return revision, err
}

// The shares of writes whose reply is lost, and of those that are made late.
const (
	lostReplies   = 0.1
	lateWrites    = 0.05
	maxWriteDelay = 3 * time.Second
)

// put writes a record if it is at a revision.
func (s *storeModel) put(key string, expect uint64, value []byte, p rollout.Phase) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[key].Revision != expect {
		return 0, platform.ErrConflict
	}
	s.revision++
	revision := era.Join(s.era, s.revision)
	s.entries[key] = platform.Entry{Key: key, Value: value, Revision: revision}
	s.w.recorded(p)
	return revision, nil
}

// recorded notes the phase of a record that was written.
func (w *world) recorded(p rollout.Phase) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = append(w.ended, fmt.Sprintf("%s at %.1f s", p, time.Since(w.begin).Seconds()))
	if p != rollout.Completed {
		return
	}
	for _, r := range w.inFlight {
		if r.class == rollout.OldVersion && r.vm.disturbedUntil.Before(time.Now().Add(-contactTime)) {
			w.oldAtEnd++
		}
	}
}

// Get implements Store.
func (s vmStore) Get(_ context.Context, key string) (platform.Entry, error) {
	time.Sleep(4 * time.Millisecond)
	if s.v.withoutStore() {
		return platform.Entry{}, platform.ErrUnavailable
	}
	st := s.v.w.store
	st.mu.Lock()
	defer st.mu.Unlock()
	e, ok := st.entries[key]
	if !ok {
		return e, platform.ErrNotFound
	}
	return e, nil
}

// Era implements Store.
func (s vmStore) Era() uint64 { return s.v.w.store.currentEra() }

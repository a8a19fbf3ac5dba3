package storewatch_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/sapphirewall/sapphirewall/internal/decide/era"
	"github.com/sapphirewall/sapphirewall/internal/platform"
	"github.com/sapphirewall/sapphirewall/internal/storerelay"
	"github.com/sapphirewall/sapphirewall/internal/storewatch"
)

// drillStore is a store that may come back from an older copy. Its replies bear its
// era, as those of the platform's store do.
type drillStore struct {
	mu       sync.Mutex
	down     bool
	era      uint64
	revision uint64
	entries  map[string]platform.Entry
	history  []platform.Entry // with the store's own revisions
	changed  chan struct{}
}

func newDrillStore() *drillStore {
	return &drillStore{era: 1, entries: map[string]platform.Entry{}, changed: make(chan struct{})}
}

func (s *drillStore) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	e := platform.Entry{Key: key, Value: []byte(value), Revision: s.revision, Deleted: value == ""}
	s.entries[key] = e
	if e.Deleted {
		delete(s.entries, key)
	}
	s.history = append(s.history, e)
	s.notify()
}

func (s *drillStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *drillStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notify()
}

// restore forgets the last n changes.
func (s *drillStore) restore(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = s.history[:len(s.history)-min(n, len(s.history))]
	s.era++
	s.revision, s.entries = 0, map[string]platform.Entry{}
	for _, e := range s.history {
		s.revision, s.entries[e.Key] = e.Revision, e
		if e.Deleted {
			delete(s.entries, e.Key)
		}
	}
	s.notify()
}

// joined returns an entry with its revision in the present era.
func (s *drillStore) joined(e platform.Entry) platform.Entry {
	e.Revision = era.Join(s.era, e.Revision)
	return e
}

func (s *drillStore) Snapshot(context.Context, string) (platform.Changes, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return platform.Changes{}, platform.ErrUnavailable
	}
	c := platform.Changes{Revision: era.Join(s.era, s.revision)}
	for _, e := range s.entries {
		c.Entries = append(c.Entries, s.joined(e))
	}
	return c, nil
}

func (s *drillStore) Watch(ctx context.Context, _ string, from uint64, wait time.Duration) (platform.Changes, error) {
	timeout := time.After(wait)
	for {
		c, changed, err := s.after(from)
		if err != nil || len(c.Entries) > 0 {
			return c, err
		}
		select {
		case <-changed:
		case <-timeout:
			return c, nil
		case <-ctx.Done():
			return c, ctx.Err()
		}
	}
}

func (s *drillStore) after(from uint64) (platform.Changes, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fromEra, own := era.Split(from)
	switch {
	case s.down:
		return platform.Changes{}, nil, platform.ErrUnavailable
	case fromEra != s.era || own > s.revision:
		return platform.Changes{}, nil, platform.ErrCompacted
	}
	c := platform.Changes{Revision: era.Join(s.era, s.revision)}
	for _, e := range s.history {
		if e.Revision > own {
			c.Entries = append(c.Entries, s.joined(e))
		}
	}
	return c, s.changed, nil
}

// state returns the values of all keys.
func (s *drillStore) state() map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]string{}
	for key, e := range s.entries {
		out[key] = string(e.Value)
	}
	return out
}

// follower checks the order of what a watch reads, and keeps its state.
type follower struct {
	mu       sync.Mutex
	revision uint64
	state    map[string]string
	fault    string
}

func (f *follower) Replace(entries []platform.Entry, revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if era.Of(revision) < era.Of(f.revision) {
		f.fault = fmt.Sprintf("state of era %d after one of era %d", era.Of(revision), era.Of(f.revision))
	}
	f.revision, f.state = revision, map[string]string{}
	for _, e := range entries {
		if era.Of(e.Revision) != era.Of(revision) {
			f.fault = fmt.Sprintf("entry of era %d in a state of era %d", era.Of(e.Revision), era.Of(revision))
		}
		f.state[e.Key] = string(e.Value)
	}
}

func (f *follower) Apply(changes []platform.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range changes {
		if e.Revision <= f.revision || era.Of(e.Revision) != era.Of(f.revision) {
			f.fault = fmt.Sprintf("change at era %d revision %d after era %d", era.Of(e.Revision), e.Revision, era.Of(f.revision))
		}
		f.revision = e.Revision
		f.state[e.Key] = string(e.Value)
		if e.Deleted {
			delete(f.state, e.Key)
		}
	}
}

func (f *follower) Unavailable(error) {}
func (f *follower) Available()        {}

// check returns what is wrong with the follower's state, or "".
func (f *follower) check(want map[string]string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fault == "" && !maps.Equal(f.state, want) {
		return fmt.Sprintf("has %v, the store %v", f.state, want)
	}
	return f.fault
}

// drillSchedules is how many schedules TestDrillSchedules plays.
const drillSchedules = 10_000

// TestDrillSchedules plays random schedules of changes, outages and drills, also
// before the former has settled, against a VM that reads the store and one that reads
// through its mirror.
func TestDrillSchedules(t *testing.T) {
	for seed := range uint64(drillSchedules) {
		synctest.Test(t, func(t *testing.T) {
			if fault := playSchedule(rand.New(rand.NewPCG(seed, 3))); fault != "" {
				t.Fatalf("seed %d: %s", seed, fault)
			}
		})
	}
}

func playSchedule(rng *rand.Rand) string {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	st := newDrillStore()
	reader, asker := &follower{}, &follower{}
	mirror := storerelay.NewMirror(reader)
	wg.Go(func() { storewatch.New(st, "", mirror, zerolog.Nop()).Run(ctx) })
	wg.Go(func() { storewatch.New(mirror, "", asker, zerolog.Nop()).Run(ctx) })
	orders := map[string]string{} // of the operator, who repeats them after a drill
	for n := range 25 {
		time.Sleep(time.Duration(rng.IntN(600)) * time.Millisecond)
		key, value := fmt.Sprint("k", rng.IntN(4)), fmt.Sprint("v", n)
		switch rng.IntN(8) {
		case 0:
			st.setDown(true)
			time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
			st.setDown(false)
		case 1, 2:
			st.restore(rng.IntN(6))
			for key, value := range orders {
				if rng.IntN(3) > 0 { // the rest comes later, or after the next drill
					st.put(key, value)
				}
			}
		case 3:
			orders[key] = ""
			st.put(key, "")
		default:
			orders[key] = value
			st.put(key, value)
		}
	}
	for key, value := range orders {
		st.put(key, value)
	}
	time.Sleep(5 * time.Second)
	want := st.state()
	if fault := reader.check(want); fault != "" {
		return "reader: " + fault
	}
	if fault := asker.check(want); fault != "" {
		return "asker: " + fault
	}
	return ""
}

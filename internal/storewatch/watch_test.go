package storewatch_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/sapphirewall/sapphirewall/internal/platform"
	"github.com/sapphirewall/sapphirewall/internal/storewatch"
)

func TestStoreWatch(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "storewatch")
}

// store is an in-memory store that can be down and have its history compacted.
type store struct {
	mu        sync.Mutex
	revision  uint64
	entries   map[string]platform.Entry
	history   []platform.Entry
	compacted uint64 // the history up to this revision is compacted
	down      bool
	snapshots int
}

func newStore() *store { return &store{revision: 1, entries: map[string]platform.Entry{}} }

func (s *store) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	e := platform.Entry{Key: key, Value: []byte(value), Revision: s.revision, Deleted: value == ""}
	s.entries[key] = e
	if e.Deleted {
		delete(s.entries, key)
	}
	s.history = append(s.history, e)
}

func (s *store) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *store) Snapshot(context.Context, string) (platform.Changes, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return platform.Changes{}, platform.ErrUnavailable
	}
	s.snapshots++
	c := platform.Changes{Revision: s.revision}
	for _, e := range s.entries {
		c.Entries = append(c.Entries, e)
	}
	return c, nil
}

func (s *store) Watch(ctx context.Context, _ string, from uint64, wait time.Duration) (platform.Changes, error) {
	for end := time.Now().Add(wait); ; {
		s.mu.Lock()
		c := platform.Changes{Revision: s.revision}
		for _, e := range s.history {
			if e.Revision > from {
				c.Entries = append(c.Entries, e)
			}
		}
		down, compacted := s.down, from < s.compacted
		s.mu.Unlock()
		switch {
		case down:
			return platform.Changes{}, platform.ErrUnavailable
		case compacted:
			return platform.Changes{}, platform.ErrCompacted
		case len(c.Entries) > 0 || time.Now().After(end):
			return c, nil
		}
		select {
		case <-ctx.Done():
			return platform.Changes{}, ctx.Err()
		case <-time.After(time.Millisecond):
		}
	}
}

// recorder is a Handler that records the entries and the outages.
type recorder struct {
	mu          sync.Mutex
	values      map[string]string
	unavailable int // calls
	available   int // calls
}

func (s *recorder) Replace(entries []platform.Entry, _ uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values = map[string]string{}
	for _, e := range entries {
		s.values[e.Key] = string(e.Value)
	}
}

func (s *recorder) Apply(changes []platform.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range changes {
		if e.Deleted {
			delete(s.values, e.Key)
			continue
		}
		s.values[e.Key] = string(e.Value)
	}
}

func (s *recorder) Unavailable(err error) {
	Expect(errors.Is(err, platform.ErrUnavailable)).To(BeTrue())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable++
}

func (s *recorder) Available() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.available++
}

func (s *recorder) get(key string) func() string {
	return func() string {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.values[key]
	}
}

func start(st *store) *recorder {
	h := &recorder{}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		storewatch.New(st, "", h, zerolog.Nop()).Run(ctx)
	}()
	DeferCleanup(func() { cancel(); <-done })
	return h
}

var _ = Describe("Watch", func() {
	It("reports existing, changed and deleted keys", func() {
		st := newStore()
		st.put("a", "1")
		h := start(st)
		Eventually(h.get("a"), "5s").Should(Equal("1"))
		st.put("a", "2")
		Eventually(h.get("a"), "5s").Should(Equal("2"))
		st.put("a", "")
		Eventually(h.get("a"), "5s").Should(BeEmpty())
	})

	It("goes on after an outage and reports it once", func() {
		st := newStore()
		h := start(st)
		st.put("a", "1")
		Eventually(h.get("a"), "5s").Should(Equal("1"))
		st.set(func() { st.down = true })
		Eventually(func() int { h.mu.Lock(); defer h.mu.Unlock(); return h.unavailable }, "5s").Should(Equal(1))
		st.put("a", "2")
		time.Sleep(300 * time.Millisecond)
		st.set(func() { st.down = false })
		Eventually(h.get("a"), "5s").Should(Equal("2"))
		Expect(h.unavailable).To(Equal(1))
		Expect(h.available).To(Equal(1))
		Expect(st.snapshots).To(Equal(1), "all keys must be read only once")
	})

	It("reads all keys again when the history is gone", func() {
		st := newStore()
		st.put("gone", "1")
		h := start(st)
		Eventually(h.get("gone"), "5s").Should(Equal("1"))
		st.set(func() { st.down = true })
		Eventually(func() int { h.mu.Lock(); defer h.mu.Unlock(); return h.unavailable }, "5s").Should(Equal(1))
		st.put("gone", "")
		st.put("b", "1")
		st.set(func() { st.compacted, st.history, st.down = st.revision, nil, false })
		Eventually(h.get("b"), "5s").Should(Equal("1"))
		Expect(h.get("gone")()).To(BeEmpty())
	})
})

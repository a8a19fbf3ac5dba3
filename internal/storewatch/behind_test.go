package storewatch_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/sapphirewall/sapphirewall/internal/platform"
	"github.com/sapphirewall/sapphirewall/internal/storewatch"
)

// versionedStore has one key whose value is large. It counts the versions that are read.
type versionedStore struct {
	mu       sync.Mutex
	revision uint64
	away     bool
	read     int
	onRead   func(s *versionedStore) // called with mu held after each version that is read
	readTime time.Duration           // of a version
}

// transfer takes the time in which versions come in.
func (s *versionedStore) transfer(versions int) {
	s.mu.Lock()
	took := s.readTime
	s.mu.Unlock()
	time.Sleep(time.Duration(versions) * took)
}

func (s *versionedStore) entry(revision uint64) platform.Entry {
	s.read++
	if s.onRead != nil {
		s.onRead(s)
	}
	return platform.Entry{Key: "k", Value: make([]byte, 1<<20), Revision: revision}
}

func (s *versionedStore) Snapshot(context.Context, string) (platform.Changes, error) {
	c, err := s.snapshot()
	s.transfer(len(c.Entries))
	return c, err
}

func (s *versionedStore) snapshot() (platform.Changes, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return platform.Changes{}, fmt.Errorf("%w: away", platform.ErrUnavailable)
	}
	r := s.revision
	return platform.Changes{Revision: r, Entries: []platform.Entry{s.entry(r)}}, nil
}

func (s *versionedStore) Watch(_ context.Context, _ string, from uint64, _ time.Duration) (platform.Changes, error) {
	time.Sleep(10 * time.Millisecond)
	c, err := s.changes(from)
	s.transfer(len(c.Entries))
	return c, err
}

func (s *versionedStore) changes(from uint64) (platform.Changes, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return platform.Changes{}, fmt.Errorf("%w: away", platform.ErrUnavailable)
	}
	last := s.revision
	out := platform.Changes{Revision: last}
	for r := from + 1; r <= last; r++ {
		out.Entries = append(out.Entries, s.entry(r))
	}
	return out, nil
}

// set changes the store and returns how many versions were read before.
func (s *versionedStore) set(revision uint64, away bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.away = revision, away
	return s.read
}

func (s *versionedStore) versionsRead() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.read
}

// lastVersion keeps the revision of the last version that was handled.
type lastVersion struct {
	lastReplaced
	outages atomic.Int64
}

func (l *lastVersion) Unavailable(error) { l.outages.Add(1) }

func (l *lastVersion) Apply(changes []platform.Entry) {
	l.revision.Store(changes[len(changes)-1].Revision)
}

var _ = Describe("a watch of a key with a large value", func() {
	follow := func(store *versionedStore) *lastVersion {
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		store.revision = 1
		last := &lastVersion{}
		go storewatch.New(store, "", last, zerolog.Nop()).Run(ctx)
		Eventually(last.revision.Load, "2s").Should(BeEquivalentTo(1))
		return last
	}

	// Guards against a VM that reads all versions of 1 MB written during an outage over a
	// link of a few Mbit/s, and lacks the one in force for seconds (issue 33).
	It("reads only the present version after an outage", func() {
		store := &versionedStore{}
		last := follow(store)
		store.set(1, true)
		Eventually(last.outages.Load, "2s").Should(BeEquivalentTo(1))
		before := store.set(7, false)
		Eventually(last.revision.Load, "2s").Should(BeEquivalentTo(7))
		Expect(store.versionsRead()-before).To(Equal(1), "versions read of the six that were missed")
	})

	// Guards against reading a growing history while versions are written faster than they
	// are read.
	It("catches up with versions that are written faster than they are read", func() {
		store := &versionedStore{}
		last := follow(store)
		time.Sleep(200 * time.Millisecond) // the watch no longer pauses after the first state
		store.mu.Lock()
		// Each version takes the time in which two more are written.
		store.onRead = func(s *versionedStore) {
			if s.revision < 40 {
				s.revision += 2
			}
		}
		store.mu.Unlock()
		before := store.set(2, false)
		Eventually(last.revision.Load, "10s").Should(BeEquivalentTo(40))
		Expect(store.versionsRead()-before).To(BeNumerically("<=", 39/2+3), "versions read: about half of the 39 that were written")
	})

	// Guards against a relay that reads the versions of the time of its last read one by one
	// over a slow link (seed 1 of the rig's soak: 5 MB in 7.1 s).
	It("has the present version soon after versions that are written while it reads", func() {
		store := &versionedStore{readTime: 1100 * time.Millisecond}
		last := follow(store)
		for r := uint64(2); r <= 10; r++ {
			store.set(r, false)
			time.Sleep(300 * time.Millisecond)
		}
		// The read that is under way, and that of the present version.
		Eventually(last.revision.Load, "3s").Should(BeEquivalentTo(10))
	})
})

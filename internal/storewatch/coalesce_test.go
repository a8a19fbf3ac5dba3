package storewatch_test

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/sapphirewall/sapphirewall/internal/platform"
	"github.com/sapphirewall/sapphirewall/internal/storewatch"
)

// seriesStore has a change at every call.
type seriesStore struct {
	calls     atomic.Uint64
	coalesces bool
}

func (s *seriesStore) Snapshot(context.Context, string) (platform.Changes, error) {
	return platform.Changes{Revision: 1}, nil
}

func (s *seriesStore) Watch(_ context.Context, _ string, from uint64, _ time.Duration) (platform.Changes, error) {
	s.calls.Add(1)
	time.Sleep(10 * time.Millisecond)
	return platform.Changes{Revision: from + 1, Entries: []platform.Entry{{Key: "k", Revision: from + 1}}}, nil
}

// Coalesces implements storewatch.Coalescer.
func (s *seriesStore) Coalesces(string) bool { return s.coalesces }

// ignore is a handler that does nothing.
type ignore struct{}

func (ignore) Replace([]platform.Entry, uint64) {}
func (ignore) Apply([]platform.Entry)           {}
func (ignore) Unavailable(error)                {}
func (ignore) Available()                       {}

// callsIn returns how many calls a watch makes in a second of changes in series.
func callsIn(store *seriesStore) uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	storewatch.New(store, "", ignore{}, zerolog.Nop()).Run(ctx)
	return store.calls.Load()
}

var _ = Describe("a watch of changes in series", func() {
	It("pauses between calls, unless the store itself returns changes together", func() {
		Expect(callsIn(&seriesStore{})).To(BeNumerically("<", 6))
		// Guards against a version that waits a second time where a relay has coalesced.
		Expect(callsIn(&seriesStore{coalesces: true})).To(BeNumerically(">", 20))
	})
})

package storewatch_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/sapphirewall/sapphirewall/internal/platform"
	"github.com/sapphirewall/sapphirewall/internal/storewatch"
)

// longHistory is a store whose changes since any revision but the last are too large to be
// read in time.
type longHistory struct{ revision atomic.Uint64 }

func (s *longHistory) Snapshot(context.Context, string) (platform.Changes, error) {
	r := s.revision.Load()
	return platform.Changes{Revision: r, Entries: []platform.Entry{{Key: "k", Revision: r}}}, nil
}

func (s *longHistory) Watch(_ context.Context, _ string, from uint64, _ time.Duration) (platform.Changes, error) {
	time.Sleep(10 * time.Millisecond)
	if from < s.revision.Load() {
		return platform.Changes{}, fmt.Errorf("%w: %w", platform.ErrUnavailable, platform.ErrIncomplete)
	}
	return platform.Changes{Revision: from}, nil
}

// lastReplaced keeps the revision of the last whole state.
type lastReplaced struct {
	ignore
	revision atomic.Uint64
}

func (l *lastReplaced) Replace(_ []platform.Entry, revision uint64) { l.revision.Store(revision) }

var _ = Describe("a watch whose changes are too large to be read in time", func() {
	// Guards against a VM that asks for the same history again and again, and never gets it.
	It("reads the keys as they are now", func() {
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		store, last := &longHistory{}, &lastReplaced{}
		store.revision.Store(1)
		go storewatch.New(store, "", last, zerolog.Nop()).Run(ctx)
		Eventually(last.revision.Load, "2s").Should(BeEquivalentTo(1))
		store.revision.Store(9)
		Eventually(last.revision.Load, "2s").Should(BeEquivalentTo(9))
	})
})

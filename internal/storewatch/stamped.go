package storewatch

import (
	"context"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/boottime"
	"github.com/sapphirewall/sapphirewall/internal/platform"
)

// Stamped returns a store whose replies state that they hold as of the moment of the call.
// The store must not reply with an older state, as stale reads do.
func Stamped(store platform.Watcher) platform.Watcher { return stamped{store} }

type stamped struct{ store platform.Watcher }

// Snapshot implements platform.Watcher.
func (s stamped) Snapshot(ctx context.Context, prefix string) (platform.Changes, error) {
	asOf := boottime.Now()
	c, err := s.store.Snapshot(ctx, prefix)
	c.AsOf = asOf
	return c, err
}

// Watch implements platform.Watcher.
func (s stamped) Watch(ctx context.Context, prefix string, from uint64, wait time.Duration) (platform.Changes, error) {
	asOf := boottime.Now()
	c, err := s.store.Watch(ctx, prefix, from, wait)
	c.AsOf = asOf
	return c, err
}

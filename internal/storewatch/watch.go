// Package storewatch keeps a process up to date with the keys of a prefix of the
// platform's store: it reads them once and then watches, goes on where it was
// after an outage, and reads them again when the store no longer knows what has
// changed since.
package storewatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/sapphirewall/sapphirewall/internal/decide/backoff"
	"github.com/sapphirewall/sapphirewall/internal/platform"
)

// The times of a watch.
const (
	// wait is how long one watch call may wait for a change: the longest that
	// the platform allows, since each call has its price, and keep-alive probes
	// tell of a lost connection.
	wait = 30 * time.Second
	// firstSettle is the pause after a change that came alone, in which others
	// that come close to it gather for the next call. While calls keep bringing
	// changes the pause doubles up to longestSettle, which leaves two of the
	// three seconds in which the change of an upstream is due.
	firstSettle   = 150 * time.Millisecond
	longestSettle = 700 * time.Millisecond
)

// pace bounds the calls while the store is away. A VM must see its return
// within a fraction of the seconds in which changes are due.
var pace = backoff.Config{Min: 50 * time.Millisecond, Max: 400 * time.Millisecond, Rate: 4, Burst: 4}

// Handler takes what a Watch reads. Its methods are called one at a time.
type Handler interface {
	// Replace takes all entries of the prefix, as of a revision of the store
	// or later.
	Replace(entries []platform.Entry, revision uint64)
	// Apply takes changes in order.
	Apply(changes []platform.Entry)
	// Unavailable and Available tell that the store is lost, and regained.
	Unavailable(err error)
	Available()
}

// Prober is a store that can be asked cheaply whether it answers this VM. A
// watch that waits can't tell a store without changes from one that has stopped
// answering, which may go on while others are served.
type Prober interface {
	// Probe asks for the watch of a prefix.
	Probe(ctx context.Context, prefix string) error
	// ProbeEvery is the time between two probes.
	ProbeEvery() time.Duration
}

// Fallback is a store that may know of an earlier reading while it can't be read.
type Fallback interface {
	// LastKnown returns all entries of a prefix as they were at some revision, if
	// the last attempt to read them has shown any.
	LastKnown(prefix string) (platform.Changes, bool)
}

// Watch follows one prefix.
type Watch struct {
	store   platform.Watcher
	prefix  string
	handler Handler
	log     zerolog.Logger
	rng     *rand.Rand

	revision uint64 // up to which all is known; 0: nothing yet
	away     bool
}

// New returns the watch of a prefix.
func New(store platform.Watcher, prefix string, h Handler, log zerolog.Logger) *Watch {
	return &Watch{store: store, prefix: prefix, handler: h, log: log, rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
}

// Run follows the prefix until ctx ends.
func (w *Watch) Run(ctx context.Context) {
	pacer := backoff.New(pace, w.rng)
	settle := firstSettle
	for ctx.Err() == nil {
		begin := time.Now()
		changed, err := w.step(ctx)
		now := time.Now()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			w.lost(err)
			w.recall()
			pacer.Called(now)
			pacer.Done(now, false)
			sleep(ctx, pacer.Next(now).Sub(now))
			continue
		}
		pacer.Done(now, true)
		if now.Sub(begin) > settle {
			settle = firstSettle
		}
		if changed {
			sleep(ctx, settle)
			settle = min(2*settle, longestSettle)
		}
	}
}

// step makes one call; changed says that it brought something.
func (w *Watch) step(ctx context.Context) (changed bool, err error) {
	if w.revision == 0 {
		return true, w.read(ctx)
	}
	patience := wait
	if w.away {
		patience = time.Millisecond // tells at once whether the store is back
	}
	c, err := w.watch(ctx, patience)
	if errors.Is(err, platform.ErrCompacted) {
		w.log.Info().Str("prefix", w.prefix).Uint64("revision", w.revision).Msg("the store has dropped the history since; reading all keys again")
		return true, w.read(ctx)
	}
	if err != nil {
		return false, err
	}
	w.regained()
	if len(c.Entries) > 0 {
		w.handler.Apply(c.Entries)
	}
	w.revision = max(w.revision, c.Revision)
	return len(c.Entries) > 0, nil
}

// watch makes one watch call, and cuts it short when a probe beside it fails.
func (w *Watch) watch(ctx context.Context, patience time.Duration) (platform.Changes, error) {
	prober, ok := w.store.(Prober)
	if !ok {
		return w.store.Watch(ctx, w.prefix, w.revision, patience)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		for sleep(ctx, prober.ProbeEvery()) {
			if err := prober.Probe(ctx, w.prefix); err != nil && ctx.Err() == nil {
				cancel(err)
			}
		}
	}()
	c, err := w.store.Watch(ctx, w.prefix, w.revision, patience)
	if cause := context.Cause(ctx); cause != nil && err != nil {
		err = cause
	}
	return c, err
}

func (w *Watch) read(ctx context.Context) error {
	c, err := w.store.Snapshot(ctx, w.prefix)
	if err != nil {
		return err
	}
	w.regained()
	w.handler.Replace(c.Entries, c.Revision)
	w.revision = c.Revision
	return nil
}

func (w *Watch) lost(err error) {
	if w.away {
		return
	}
	w.away = true
	w.handler.Unavailable(err)
}

// recall takes an earlier reading while nothing is known at all. The store
// counts as away until it can be read.
func (w *Watch) recall() {
	recaller, ok := w.store.(Fallback)
	if !ok || w.revision != 0 {
		return
	}
	c, ok := recaller.LastKnown(w.prefix)
	if !ok || c.Revision == 0 {
		return
	}
	w.log.Info().Str("kind", "dependency").Str("prefix", w.prefix).Uint64("revision", c.Revision).Int("entries", len(c.Entries)).
		Msg("store can't be read; using the last state of another VM")
	w.handler.Replace(c.Entries, c.Revision)
	w.revision = c.Revision
}

func (w *Watch) regained() {
	if !w.away {
		return
	}
	w.away = false
	w.handler.Available()
}

// sleep returns true after d, or false when ctx ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

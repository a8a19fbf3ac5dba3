// Package storewatch keeps a process up to date with the keys of a prefix in the
// platform's store. It reads them once and then watches for changes, resumes at
// the last revision after an outage, and reads all keys again if the store has
// compacted the history since.
package storewatch

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/sapphirewall/sapphirewall/internal/decide/backoff"
	"github.com/sapphirewall/sapphirewall/internal/decide/era"
	"github.com/sapphirewall/sapphirewall/internal/platform"
)

const (
	// maxWait is how long one watch call may wait for a change: the longest time
	// that the platform allows, since every call has a cost. Keep-alive probes
	// detect a lost connection meanwhile.
	maxWait = 30 * time.Second
	// minSettle is the pause after an isolated change, so that the next call
	// returns further changes together. While every call returns changes, the
	// pause doubles up to maxSettle, which leaves two of the three seconds
	// within which a change of an upstream must take effect.
	minSettle = 150 * time.Millisecond
	maxSettle = 700 * time.Millisecond
	// largeValue is the size of a value, in bytes, from which reading several of its
	// versions takes a link of a few Mbit/s longer than reading the keys as they are now.
	largeValue = 64 << 10
	// slowRead is the time of a read of all keys from which further versions of a large
	// value are likely to have been written meanwhile: a third of the time in which changes
	// are due.
	slowRead = time.Second
)

// retryPace limits the calls while the store is unavailable. A VM must detect its
// recovery within a fraction of the seconds within which changes must take effect.
var retryPace = backoff.Config{Min: 50 * time.Millisecond, Max: 400 * time.Millisecond, Rate: 4, Burst: 4}

// Handler receives what a Watch reads. Its methods are called one at a time.
type Handler interface {
	// Replace receives all entries of the prefix, as of a revision of the store
	// or later.
	Replace(entries []platform.Entry, revision uint64)
	// Apply receives changes in order.
	Apply(changes []platform.Entry)
	// Unavailable is called with the error when the store becomes unavailable.
	Unavailable(err error)
	// Available is called when the store is available again.
	Available()
}

// Confirmer is a Handler that is told how current the state is.
type Confirmer interface {
	// Confirmed receives an instant of package boottime: what the handler has received is
	// the state at that instant or later.
	Confirmed(asOf time.Duration)
}

// Prober is a store with a cheap call that tests whether it answers this VM. A
// waiting watch call can't distinguish a store without changes from one that has
// stopped answering this VM, which can last while others are served.
type Prober interface {
	// Probe tests the store for the watch of a prefix.
	Probe(ctx context.Context, prefix string) error
	// ProbeEvery returns the time between two probes.
	ProbeEvery() time.Duration
}

// Coalescer is a store that may itself return changes together, so that there is no need
// to wait for more of them between two calls.
type Coalescer interface {
	// Coalesces reports whether the last call for a prefix was answered that way.
	Coalesces(prefix string) bool
}

// Fallback is a store that may return an earlier state while it can't be read.
type Fallback interface {
	// LastKnown returns all entries of a prefix as of some revision, if the last
	// attempt to read them yielded an earlier state.
	LastKnown(prefix string) (platform.Changes, bool)
}

// Watch follows the changes of one prefix.
type Watch struct {
	store   platform.Watcher
	prefix  string
	handler Handler
	log     zerolog.Logger
	rng     *rand.Rand

	revision    uint64 // up to which all changes were handled; 0: nothing read yet
	unavailable bool
	large       map[string]uint64 // revisions of the keys with a large value
	slow        bool              // the last read of all keys took slowRead
	behind      bool              // the history since revision may hold several versions of a large value
}

// New returns the watch of a prefix of store, which reports to h.
func New(store platform.Watcher, prefix string, h Handler, log zerolog.Logger) *Watch {
	return &Watch{store: store, prefix: prefix, handler: h, log: log, large: map[string]uint64{}, rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
}

// Run follows the prefix until ctx ends.
func (w *Watch) Run(ctx context.Context) {
	pacer := backoff.New(retryPace, w.rng)
	settle := minSettle
	for ctx.Err() == nil {
		begin := time.Now()
		changed, err := w.step(ctx)
		now := time.Now()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			w.storeUnavailable(err)
			w.useFallback()
			pacer.Called(now)
			pacer.Done(now, false)
			sleep(ctx, pacer.Next(now).Sub(now))
			continue
		}
		pacer.Done(now, true)
		if now.Sub(begin) > settle {
			settle = minSettle
		}
		if changed && !w.coalesced() {
			sleep(ctx, settle)
			settle = min(2*settle, maxSettle)
		}
	}
}

// coalesced reports whether the changes of the last call came together.
func (w *Watch) coalesced() bool {
	c, ok := w.store.(Coalescer)
	return ok && c.Coalesces(w.prefix)
}

// step makes one call to the store; changed reports whether it returned changes.
func (w *Watch) step(ctx context.Context) (changed bool, err error) {
	if w.revision == 0 || w.behind {
		return true, w.readAll(ctx)
	}
	timeout := maxWait
	if w.unavailable {
		timeout = time.Millisecond // detects at once whether the store is available again
	}
	c, err := w.watch(ctx, timeout)
	if errors.Is(err, platform.ErrCompacted) {
		w.log.Info().Str("prefix", w.prefix).Uint64("revision", w.revision).Msg("store no longer has the history since the last revision; reading all keys again")
		return true, w.readAll(ctx)
	}
	if errors.Is(err, platform.ErrIncomplete) {
		w.log.Info().Err(err).Str("prefix", w.prefix).Uint64("revision", w.revision).Msg("changes since the last revision are too large to be read in time; reading the keys as they are now")
		return true, w.readAll(ctx)
	}
	if err != nil {
		return false, err
	}
	w.storeAvailable()
	if len(c.Entries) > 0 {
		changed, repeated := w.recordLarge(w.large, c.Entries)
		w.behind = repeated || changed && w.slow
		w.handler.Apply(c.Entries)
	}
	w.revision = max(w.revision, c.Revision)
	w.confirm(c.AsOf)
	return len(c.Entries) > 0, nil
}

// recordLarge records the revisions of the keys that have large values now. It reports
// whether one differs from before, and whether the changes hold one more than once: such versions
// are written faster than this VM reads them, and by the next call there are more.
func (w *Watch) recordLarge(before map[string]uint64, changes []platform.Entry) (changed, repeated bool) {
	seen := map[string]bool{}
	for _, e := range changes {
		if len(e.Value) < largeValue {
			delete(w.large, e.Key)
			continue
		}
		changed = changed || before[e.Key] != e.Revision
		repeated = repeated || seen[e.Key]
		seen[e.Key], w.large[e.Key] = true, e.Revision
	}
	return changed, repeated
}

// watch makes one watch call, and cancels it when a concurrent probe fails.
func (w *Watch) watch(ctx context.Context, timeout time.Duration) (platform.Changes, error) {
	prober, ok := w.store.(Prober)
	if !ok {
		return w.store.Watch(ctx, w.prefix, w.revision, timeout)
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
	c, err := w.store.Watch(ctx, w.prefix, w.revision, timeout)
	if cause := context.Cause(ctx); cause != nil && err != nil {
		err = cause
	}
	return c, err
}

func (w *Watch) readAll(ctx context.Context) error {
	begin := time.Now()
	c, err := w.store.Snapshot(ctx, w.prefix)
	if err != nil {
		return err
	}
	took := time.Since(begin)
	before, own := era.Split(w.revision)
	current, after := era.Split(c.Revision)
	if current < before {
		return fmt.Errorf("%w: state of era %d, but era %d was read before", platform.ErrUnavailable, current, before)
	}
	if current > before && w.revision != 0 {
		w.log.Info().Str("kind", "era").Str("prefix", w.prefix).Uint64("before", before).Uint64("era", current).Uint64("revision_before", own).Uint64("revision", after).
			Int("entries", len(c.Entries)).Msg("store has come back from an older copy; its state was read again")
	}
	w.storeAvailable()
	known := w.large
	w.large = map[string]uint64{}
	changed, _ := w.recordLarge(known, c.Entries)
	w.slow = took >= slowRead && len(w.large) > 0
	w.behind = w.slow && changed
	w.handler.Replace(c.Entries, c.Revision)
	w.revision = c.Revision
	w.confirm(c.AsOf)
	return nil
}

// confirm tells the handler that it has the state as of an instant; 0: not known.
func (w *Watch) confirm(asOf time.Duration) {
	if h, ok := w.handler.(Confirmer); ok && asOf > 0 {
		h.Confirmed(asOf)
	}
}

func (w *Watch) storeUnavailable(err error) {
	if w.unavailable {
		return
	}
	w.unavailable = true
	w.behind = w.revision != 0 && len(w.large) > 0
	w.handler.Unavailable(err)
}

// useFallback hands an earlier state to the handler if nothing was read yet. The
// store counts as unavailable until a call to it succeeds.
func (w *Watch) useFallback() {
	fallback, ok := w.store.(Fallback)
	if !ok || w.revision != 0 {
		return
	}
	c, ok := fallback.LastKnown(w.prefix)
	if !ok || c.Revision == 0 {
		return
	}
	w.log.Info().Str("kind", "dependency").Str("prefix", w.prefix).Uint64("revision", c.Revision).Int("entries", len(c.Entries)).
		Msg("store unavailable; using the last state known to another VM")
	w.handler.Replace(c.Entries, c.Revision)
	w.revision = c.Revision
}

func (w *Watch) storeAvailable() {
	if !w.unavailable {
		return
	}
	w.unavailable = false
	w.handler.Available()
}

// sleep returns true after d, or false if ctx ends before.
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

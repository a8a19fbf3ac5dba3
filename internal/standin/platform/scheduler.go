package standinplatform

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/platform"
)

// Outcome is what happens to one call in Turns.
type Outcome uint8

// The numOutcomes of a call.
const (
	Applied      Outcome = iota
	Rejected             // not applied, and the caller knows
	RequestLost          // not applied, the caller gets no reply
	ReplyLost            // applied, the caller gets no reply
	DelayedWrite         // the caller gets no reply; applied by ReleaseDelayed
	StaleRead            // a read that answers from the past
	numOutcomes
)

// NumOutcomes is the number of fates, for drawing one.
const NumOutcomes = int(numOutcomes)

// Scheduler lets several actors use one Store in an order that its user chooses,
// a call at a time, so that every interleaving can be brought about and
// repeated.
type Scheduler struct {
	store  *Store
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex // guards the fields below
	cond    *sync.Cond
	running int
	waiting map[string]*turn
	delayed []func()
	history []map[string]platform.Entry // the entries after each write
}

// turn is a call that waits for its fate.
type turn struct {
	fate chan Outcome
}

// NewScheduler returns turns on store without actors.
func NewScheduler(store *Store) *Scheduler {
	t := &Scheduler{store: store, waiting: map[string]*turn{}}
	t.cond = sync.NewCond(&t.mu)
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.history = append(t.history, map[string]platform.Entry{})
	return t
}

// Go starts an actor, which must make no calls but through kv.
func (t *Scheduler) Go(name string, actor func(ctx context.Context, kv platform.KV)) {
	t.mu.Lock()
	t.running++
	t.mu.Unlock()
	go func() {
		defer func() {
			t.mu.Lock()
			t.running--
			t.cond.Broadcast()
			t.mu.Unlock()
		}()
		actor(t.ctx, &turnKV{t: t, name: name})
	}()
}

// AwaitBlocked waits until every actor waits in a call or has ended, and returns
// those that wait, ordered by name.
func (t *Scheduler) AwaitBlocked() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.waiting) < t.running {
		t.cond.Wait()
	}
	names := make([]string, 0, len(t.waiting))
	for n := range t.waiting {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// Step gives the waiting call of an actor its fate.
func (t *Scheduler) Step(name string, f Outcome) {
	t.mu.Lock()
	w := t.waiting[name]
	delete(t.waiting, name)
	t.mu.Unlock()
	w.fate <- f
}

// ReleaseDelayed applies the writes that were delayed, in order. No actor may
// be running.
func (t *Scheduler) ReleaseDelayed() {
	t.mu.Lock()
	delayed := t.delayed
	t.delayed = nil
	t.mu.Unlock()
	for _, apply := range delayed {
		apply()
	}
}

// Close ends all waiting calls as refused and waits for the actors.
func (t *Scheduler) Close() {
	t.cancel()
	t.mu.Lock()
	defer t.mu.Unlock()
	for t.running > 0 {
		t.cond.Wait()
	}
}

// History returns the value of a key after each write to it, in order.
func (t *Scheduler) History(key string) []platform.Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []platform.Entry
	for _, entries := range t.history {
		e, ok := entries[key]
		if ok && (len(out) == 0 || out[len(out)-1].Revision != e.Revision) {
			out = append(out, e)
		}
	}
	return out
}

// wait blocks until the actor's turn and returns the fate of its call.
func (t *Scheduler) wait(name string) Outcome {
	w := &turn{fate: make(chan Outcome, 1)}
	t.mu.Lock()
	t.waiting[name] = w
	t.cond.Broadcast()
	t.mu.Unlock()
	select {
	case f := <-w.fate:
		return f
	case <-t.ctx.Done():
		return Rejected
	}
}

// remember keeps the entries after a write.
func (t *Scheduler) remember() {
	t.store.mu.Lock()
	entries := copyEntries(t.store.entries)
	t.store.mu.Unlock()
	t.mu.Lock()
	t.history = append(t.history, entries)
	t.mu.Unlock()
}

// past returns an entry as it was before about half of the writes.
func (t *Scheduler) past(key string) (platform.Entry, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.history[len(t.history)/2][key]
	if !ok || e.Deleted {
		return platform.Entry{}, platform.ErrNotFound
	}
	return e, nil
}

// turnKV is the key-value service as one actor sees it.
type turnKV struct {
	t    *Scheduler
	name string
}

// write makes a call that changes the store, under its fate.
func (k *turnKV) write(apply func() error) error {
	run := func() error {
		err := apply()
		k.t.remember()
		return err
	}
	switch k.t.wait(k.name) {
	case Rejected:
		return platform.ErrUnavailable
	case RequestLost:
		return platform.ErrUnknown
	case ReplyLost:
		_ = run()
		return platform.ErrUnknown
	case DelayedWrite:
		k.t.mu.Lock()
		k.t.delayed = append(k.t.delayed, func() { _ = run() })
		k.t.mu.Unlock()
		return platform.ErrUnknown
	default:
		return run()
	}
}

// read waits for a read's turn; stale tells to answer from the past.
func (k *turnKV) read() (stale bool, err error) {
	switch k.t.wait(k.name) {
	case Rejected, RequestLost, ReplyLost:
		return false, platform.ErrUnavailable
	case StaleRead:
		return true, nil
	default:
		return false, nil
	}
}

// Get implements platform.KV.
func (k *turnKV) Get(ctx context.Context, key string) (platform.Entry, error) {
	stale, err := k.read()
	if err != nil {
		return platform.Entry{}, err
	}
	if stale {
		return k.t.past(key)
	}
	return k.t.store.Get(ctx, key)
}

// List implements platform.KV.
func (k *turnKV) List(ctx context.Context, prefix string) ([]platform.Entry, error) {
	if _, err := k.read(); err != nil {
		return nil, err
	}
	return k.t.store.List(ctx, prefix)
}

// CompareAndSwap implements platform.KV.
func (k *turnKV) CompareAndSwap(_ context.Context, key string, expect uint64, value []byte, lease platform.LeaseID) (e platform.Entry, err error) {
	err = k.write(func() error {
		e, err = k.t.store.CompareAndSwap(context.Background(), key, expect, value, lease)
		return err
	})
	return e, err
}

// Delete implements platform.KV.
func (k *turnKV) Delete(_ context.Context, key string, expect uint64) error {
	return k.write(func() error { return k.t.store.Delete(context.Background(), key, expect) })
}

// Watch implements platform.KV; it doesn't wait.
func (k *turnKV) Watch(ctx context.Context, prefix string, from uint64, _ time.Duration) (platform.Changes, error) {
	if _, err := k.read(); err != nil {
		return platform.Changes{}, err
	}
	return k.t.store.Watch(ctx, prefix, from, 0)
}

// Grant implements platform.KV.
func (k *turnKV) Grant(_ context.Context, ttl time.Duration) (id platform.LeaseID, err error) {
	err = k.write(func() error {
		id, err = k.t.store.Grant(context.Background(), ttl)
		return err
	})
	return id, err
}

// Renew implements platform.KV.
func (k *turnKV) Renew(_ context.Context, id platform.LeaseID) error {
	return k.write(func() error { return k.t.store.Renew(context.Background(), id) })
}

// Revoke implements platform.KV.
func (k *turnKV) Revoke(_ context.Context, id platform.LeaseID) error {
	return k.write(func() error { return k.t.store.Revoke(context.Background(), id) })
}

package standinplatform

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/platform"
)

// Outcome determines what happens to one call that a Scheduler controls.
type Outcome uint8

// The outcomes of a call.
const (
	Applied      Outcome = iota
	Rejected             // not applied, and the actor gets an error that says so
	RequestLost          // not applied, and the actor gets no reply
	ReplyLost            // applied, but the actor gets no reply
	DelayedWrite         // the actor gets no reply; the write is applied by ReleaseDelayed
	StaleRead            // a Get returns an entry from an earlier state
	numOutcomes
)

// NumOutcomes is the number of outcomes, for choosing one at random.
const NumOutcomes = int(numOutcomes)

// Scheduler lets several actors share one Store and runs their calls one at a
// time, in the order of Step. This makes every interleaving of calls possible
// and reproducible.
type Scheduler struct {
	store  *Store
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex // guards the fields below
	cond    *sync.Cond
	running int
	waiting map[string]*pendingCall
	delayed []func()
	history []map[string]platform.Entry // all entries after each write
}

// pendingCall is a call that waits for Step to set its outcome.
type pendingCall struct {
	outcome chan Outcome
}

// NewScheduler returns a scheduler for store that has no actors yet.
func NewScheduler(store *Store) *Scheduler {
	s := &Scheduler{store: store, waiting: map[string]*pendingCall{}}
	s.cond = sync.NewCond(&s.mu)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.history = append(s.history, map[string]platform.Entry{})
	return s
}

// Go starts an actor. The actor must use the store only through kv.
func (s *Scheduler) Go(name string, actor func(ctx context.Context, kv platform.KV)) {
	s.mu.Lock()
	s.running++
	s.mu.Unlock()
	go func() {
		defer func() {
			s.mu.Lock()
			s.running--
			s.cond.Broadcast()
			s.mu.Unlock()
		}()
		actor(s.ctx, &scheduledKV{scheduler: s, name: name})
	}()
}

// AwaitBlocked waits until every actor is blocked in a call or has returned. It
// returns the names of the blocked actors in sorted order.
func (s *Scheduler) AwaitBlocked() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.waiting) < s.running {
		s.cond.Wait()
	}
	names := make([]string, 0, len(s.waiting))
	for n := range s.waiting {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// Step runs the pending call of an actor with the outcome f.
func (s *Scheduler) Step(name string, f Outcome) {
	s.mu.Lock()
	w := s.waiting[name]
	delete(s.waiting, name)
	s.mu.Unlock()
	w.outcome <- f
}

// ReleaseDelayed applies the delayed writes in the order in which they were
// made. All actors must be blocked or have returned.
func (s *Scheduler) ReleaseDelayed() {
	s.mu.Lock()
	delayed := s.delayed
	s.delayed = nil
	s.mu.Unlock()
	for _, apply := range delayed {
		apply()
	}
}

// Close rejects all pending calls and waits until the actors have returned.
func (s *Scheduler) Close() {
	s.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.running > 0 {
		s.cond.Wait()
	}
}

// History returns the entry of a key after each write to it, in order.
func (s *Scheduler) History(key string) []platform.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []platform.Entry
	for _, entries := range s.history {
		e, ok := entries[key]
		if ok && (len(out) == 0 || out[len(out)-1].Revision != e.Revision) {
			out = append(out, e)
		}
	}
	return out
}

// awaitOutcome blocks until Step is called for the actor and returns the outcome
// of its call.
func (s *Scheduler) awaitOutcome(name string) Outcome {
	w := &pendingCall{outcome: make(chan Outcome, 1)}
	s.mu.Lock()
	s.waiting[name] = w
	s.cond.Broadcast()
	s.mu.Unlock()
	select {
	case f := <-w.outcome:
		return f
	case <-s.ctx.Done():
		return Rejected
	}
}

// recordHistory saves a copy of all entries after a write.
func (s *Scheduler) recordHistory() {
	s.store.mu.Lock()
	entries := copyEntries(s.store.entries)
	s.store.mu.Unlock()
	s.mu.Lock()
	s.history = append(s.history, entries)
	s.mu.Unlock()
}

// staleGet returns an entry as it was after about half of the writes so far.
func (s *Scheduler) staleGet(key string) (platform.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.history[len(s.history)/2][key]
	if !ok || e.Deleted {
		return platform.Entry{}, platform.ErrNotFound
	}
	return e, nil
}

// scheduledKV implements platform.KV for one actor.
type scheduledKV struct {
	scheduler *Scheduler
	name      string
}

// write waits for the outcome of a write call and runs apply as it requires.
func (k *scheduledKV) write(apply func() error) error {
	run := func() error {
		err := apply()
		k.scheduler.recordHistory()
		return err
	}
	switch k.scheduler.awaitOutcome(k.name) {
	case Rejected:
		return platform.ErrUnavailable
	case RequestLost:
		return platform.ErrUnknown
	case ReplyLost:
		_ = run()
		return platform.ErrUnknown
	case DelayedWrite:
		k.scheduler.mu.Lock()
		k.scheduler.delayed = append(k.scheduler.delayed, func() { _ = run() })
		k.scheduler.mu.Unlock()
		return platform.ErrUnknown
	default:
		return run()
	}
}

// read waits for the outcome of a read call; stale means that the result must
// come from an earlier state.
func (k *scheduledKV) read() (stale bool, err error) {
	switch k.scheduler.awaitOutcome(k.name) {
	case Rejected, RequestLost, ReplyLost:
		return false, platform.ErrUnavailable
	case StaleRead:
		return true, nil
	default:
		return false, nil
	}
}

// Get implements platform.KV.
func (k *scheduledKV) Get(ctx context.Context, key string) (platform.Entry, error) {
	stale, err := k.read()
	if err != nil {
		return platform.Entry{}, err
	}
	if stale {
		return k.scheduler.staleGet(key)
	}
	return k.scheduler.store.Get(ctx, key)
}

// List implements platform.KV.
func (k *scheduledKV) List(ctx context.Context, prefix string) ([]platform.Entry, error) {
	if _, err := k.read(); err != nil {
		return nil, err
	}
	return k.scheduler.store.List(ctx, prefix)
}

// CompareAndSwap implements platform.KV.
func (k *scheduledKV) CompareAndSwap(_ context.Context, key string, expect uint64, value []byte, lease platform.LeaseID) (e platform.Entry, err error) {
	err = k.write(func() error {
		e, err = k.scheduler.store.CompareAndSwap(context.Background(), key, expect, value, lease)
		return err
	})
	return e, err
}

// Delete implements platform.KV.
func (k *scheduledKV) Delete(_ context.Context, key string, expect uint64) error {
	return k.write(func() error { return k.scheduler.store.Delete(context.Background(), key, expect) })
}

// Watch implements platform.KV. It returns at once, without waiting for changes.
func (k *scheduledKV) Watch(ctx context.Context, prefix string, from uint64, _ time.Duration) (platform.Changes, error) {
	if _, err := k.read(); err != nil {
		return platform.Changes{}, err
	}
	return k.scheduler.store.Watch(ctx, prefix, from, 0)
}

// Grant implements platform.KV.
func (k *scheduledKV) Grant(_ context.Context, ttl time.Duration) (id platform.LeaseID, err error) {
	err = k.write(func() error {
		id, err = k.scheduler.store.Grant(context.Background(), ttl)
		return err
	})
	return id, err
}

// Renew implements platform.KV.
func (k *scheduledKV) Renew(_ context.Context, id platform.LeaseID) error {
	return k.write(func() error { return k.scheduler.store.Renew(context.Background(), id) })
}

// Revoke implements platform.KV.
func (k *scheduledKV) Revoke(_ context.Context, id platform.LeaseID) error {
	return k.write(func() error { return k.scheduler.store.Revoke(context.Background(), id) })
}

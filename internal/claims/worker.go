package claims

import (
	"context"
	"errors"
	"expvar"
	"math/rand/v2"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/claim"
)

// opQueue bounds the operations that wait for a worker.
const opQueue = 1024

// errStopped is returned to claims that a stopping worker does not make.
var errStopped = errors.New("claims: stopping")

// worker runs one range: it alone calls the range's methods.
type worker struct {
	store   *store
	timeout time.Duration // of one call of the platform
	keys    *claim.Range
	ops     chan op
	results chan claim.Result
	waiters map[uint64]chan claim.Reply
	last    uint64 // ticket
	done    chan struct{}
	lost    *expvar.Int // outcomes that a stop left unwritten
}

// op is a claim, a settlement, or the end of waiting for a claim.
type op struct {
	record claim.Record
	waiter chan claim.Reply // of a claim, buffered; nil: a settlement
	left   bool             // the waiter has gone
}

func newWorker(s *store, timeout time.Duration, lost *expvar.Int) *worker {
	return &worker{
		store: s, timeout: timeout, lost: lost,
		keys:    claim.NewRange(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		ops:     make(chan op, opQueue),
		results: make(chan claim.Result, 1),
		waiters: map[uint64]chan claim.Reply{},
		done:    make(chan struct{}),
	}
}

// run serves operations until stop is closed and what is queued is written, or
// ctx ends.
func (w *worker) run(ctx context.Context, stop <-chan struct{}) {
	defer close(w.done)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	ending := false
	for {
		w.step(ctx, timer)
		if ending && w.keys.Idle() && len(w.ops) == 0 {
			w.lost.Add(int64(w.keys.LostOutcomes()))
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-stop:
			ending, stop = true, nil
			w.answer(w.keys.Stop())
		case o := <-w.ops:
			w.take(o)
		case res := <-w.results:
			w.answer(w.keys.OnResult(time.Now(), res))
		case <-timer.C:
		}
	}
}

// step starts the next action, if there is one.
func (w *worker) step(ctx context.Context, timer *time.Timer) {
	now := time.Now()
	a := w.keys.Next(now)
	if a.Call != claim.None {
		go w.call(ctx, a)
		return
	}
	if !a.At.IsZero() {
		timer.Reset(a.At.Sub(now))
	}
}

func (w *worker) call(ctx context.Context, a claim.Action) {
	ctx, cancel := context.WithTimeout(ctx, w.timeout)
	defer cancel()
	w.results <- w.store.do(ctx, a)
}

func (w *worker) take(o op) {
	switch {
	case o.waiter == nil:
		w.keys.Settle(o.record)
	case o.left:
		for ticket, waiter := range w.waiters {
			if waiter == o.waiter {
				w.keys.Cancel(ticket)
				delete(w.waiters, ticket)
			}
		}
		close(o.waiter)
	default:
		w.last++
		w.waiters[w.last] = o.waiter
		w.answer(w.keys.Claim(time.Now(), w.last, o.record))
	}
}

func (w *worker) answer(replies []claim.Reply) {
	for _, r := range replies {
		if waiter := w.waiters[r.Ticket]; waiter != nil {
			waiter <- r
			delete(w.waiters, r.Ticket)
		}
	}
}

// claim asks for a claim and waits until ctx ends.
func (w *worker) claim(ctx context.Context, r claim.Record) (claim.Reply, error) {
	waiter := make(chan claim.Reply, 1)
	select {
	case w.ops <- op{record: r, waiter: waiter}:
	case <-ctx.Done():
		return claim.Reply{}, ctx.Err()
	}
	select {
	case reply := <-waiter:
		return reply, nil
	case <-ctx.Done():
	case <-w.done:
		return claim.Reply{}, errStopped
	}
	select {
	case w.ops <- op{waiter: waiter, left: true}:
	case <-w.done:
		return claim.Reply{}, errStopped
	}
	return w.lastReply(ctx, waiter)
}

// lastReply returns the reply that came while the waiter left, if any: a claim
// that was granted must be told, else its key stays taken for nobody.
func (w *worker) lastReply(ctx context.Context, waiter chan claim.Reply) (claim.Reply, error) {
	select {
	case reply, ok := <-waiter:
		if ok {
			return reply, nil
		}
		return claim.Reply{}, ctx.Err()
	case <-w.done:
		return claim.Reply{}, errStopped
	}
}

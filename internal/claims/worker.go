package claims

import (
	"context"
	"errors"
	"expvar"
	"math/rand/v2"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/claim"
)

// opQueue is the number of operations that may wait for a worker.
const opQueue = 1024

// errStopped is the error of a claim that reaches a worker that has stopped.
var errStopped = errors.New("claims: worker of the key range has stopped")

// worker runs one range. Only its goroutine calls the methods of the range.
type worker struct {
	store        *store
	timeout      time.Duration // of one call to the platform
	keys         *claim.Range
	ops          chan op
	results      chan claim.Result
	waiters      map[uint64]chan claim.Reply
	lastTicket   uint64
	done         chan struct{}
	lostOutcomes *expvar.Int // outcomes that were not written before the stop
}

// op is a claim, a settlement, or the cancellation of a claim.
type op struct {
	record    claim.Record
	waiter    chan claim.Reply // of a claim, buffered; nil: a settlement
	cancelled bool             // the waiter no longer waits for its claim
}

func newWorker(s *store, timeout time.Duration, lostOutcomes *expvar.Int) *worker {
	return &worker{
		store: s, timeout: timeout, lostOutcomes: lostOutcomes,
		keys:    claim.NewRange(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		ops:     make(chan op, opQueue),
		results: make(chan claim.Result, 1),
		waiters: map[uint64]chan claim.Reply{},
		done:    make(chan struct{}),
	}
}

// run processes operations until stop is closed and the queued records are
// written, or until ctx ends.
func (w *worker) run(ctx context.Context, stop <-chan struct{}) {
	defer close(w.done)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	stopping := false
	for {
		w.startNext(ctx, timer)
		if stopping && w.keys.Idle() && len(w.ops) == 0 {
			w.lostOutcomes.Add(int64(w.keys.LostOutcomes()))
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-stop:
			stopping, stop = true, nil
			w.answer(w.keys.Stop())
		case o := <-w.ops:
			w.handle(o)
		case res := <-w.results:
			w.answer(w.keys.OnResult(time.Now(), res))
		case <-timer.C:
		}
	}
}

// startNext makes the next call if one is due, or sets the timer for a later one.
func (w *worker) startNext(ctx context.Context, timer *time.Timer) {
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

func (w *worker) handle(o op) {
	switch {
	case o.waiter == nil:
		w.keys.Settle(o.record)
	case o.cancelled:
		for ticket, waiter := range w.waiters {
			if waiter == o.waiter {
				w.keys.Cancel(ticket)
				delete(w.waiters, ticket)
			}
		}
		close(o.waiter)
	default:
		w.lastTicket++
		w.waiters[w.lastTicket] = o.waiter
		w.answer(w.keys.Claim(time.Now(), w.lastTicket, o.record))
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

// claim queues a claim and waits for the reply until ctx ends.
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
	case w.ops <- op{waiter: waiter, cancelled: true}:
	case <-w.done:
		return claim.Reply{}, errStopped
	}
	return w.lastReply(ctx, waiter)
}

// lastReply returns the reply that arrived during the cancellation, if any. A
// granted claim must be reported, or else its key stays claimed without a request
// that uses it.
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

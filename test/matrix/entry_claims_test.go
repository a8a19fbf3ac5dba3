package matrix

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/claim"
	"github.com/sapphirewall/sapphirewall/internal/decide/fanout"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// fate is what happens to one call of the platform.
type fate uint8

const (
	applied   fate = iota
	refused        // not applied, and the caller knows
	lost           // not applied, no reply
	replyLost      // applied, no reply
	delayed        // applied much later, no reply
	slow           // applied and answered much later
	held           // sent only when the paused caller wakes
	past           // a read that answers from the time before the caller's chain
	fates
)

const (
	callTime  = time.Millisecond
	lostAfter = 20 * time.Millisecond
	delayTime = 200 * time.Millisecond
)

// claimWorld is the platform's pieces of one range and the nodes that may own
// it.
type claimWorld struct {
	w      *queryWorld
	pieces map[string]claim.StoredPiece
	leases map[uint64]time.Duration // end
	last   uint64                   // revision and lease
	nodes  []*claimNode
	fate   func(node int, a claim.Action) fate
	free   bool // naive: every claim is granted
	// naive: a seal does not take the chain's next number.
	unfenced bool
}

// claimNode is one control process.
type claimNode struct {
	index    int
	keys     *claim.Range
	dead     bool
	paused   bool
	deferred []func()
	waiting  map[uint64]func(claim.Reply)
	ticket   uint64
}

func newClaimWorld(w *queryWorld) claimWorld {
	c := claimWorld{w: w, pieces: map[string]claim.StoredPiece{}, leases: map[uint64]time.Duration{}}
	for i := range 3 {
		c.nodes = append(c.nodes, &claimNode{index: i, keys: claim.NewRange(rand.New(rand.NewPCG(w.rng.Uint64(), 2))), waiting: map[uint64]func(claim.Reply){}})
	}
	return c
}

func pieceKey(a claim.Action) string { return fmt.Sprintf("%s/%d", a.Chain, a.Number) }

// apply makes a call at the platform.
func (c *claimWorld) apply(a claim.Action) claim.Result {
	for key, s := range c.pieces {
		if end, ok := c.leases[s.Lease]; !ok || c.w.now >= end {
			delete(c.pieces, key)
		}
	}
	switch a.Call {
	case claim.Grant:
		c.last++
		c.leases[c.last] = c.w.now + claim.LeaseTTL
		return claim.Result{Lease: c.last}
	case claim.Create:
		if c.w.now >= c.leases[a.Lease] {
			return claim.Result{Status: claim.LeaseExpired}
		}
		if c.unfenced && a.Piece.Seal {
			a.Number += 1 << 20
		}
		if _, ok := c.pieces[pieceKey(a)]; ok {
			return claim.Result{Status: claim.Conflict}
		}
		c.last++
		a.Piece.Records = append([]claim.Record(nil), a.Piece.Records...)
		c.pieces[pieceKey(a)] = claim.StoredPiece{Chain: a.Chain, Number: a.Number, Lease: a.Lease, Revision: c.last, Piece: a.Piece}
		return claim.Result{}
	case claim.List:
		var res claim.Result
		for _, s := range c.pieces {
			res.Found = append(res.Found, s)
		}
		return res
	}
	s, ok := c.pieces[pieceKey(a)]
	if !ok {
		return claim.Result{Status: claim.NotFound}
	}
	return claim.Result{Found: []claim.StoredPiece{s}}
}

// on runs do at a node: at once, when it wakes, or never.
func (n *claimNode) on(do func()) {
	switch {
	case n.dead:
	case n.paused:
		n.deferred = append(n.deferred, do)
	default:
		do()
	}
}

func (n *claimNode) resume() {
	n.paused = false
	todo := n.deferred
	n.deferred = nil
	for _, do := range todo {
		n.on(do)
	}
}

// step starts the node's next call.
func (c *claimWorld) step(n *claimNode) {
	a := n.keys.Next(c.w.clock())
	if a.Call == claim.None {
		if !a.At.IsZero() {
			c.w.at(a.At.Sub(start), func() { n.on(func() { c.step(n) }) })
		}
		return
	}
	f := applied
	if c.fate != nil {
		f = c.fate(n.index, a)
	}
	if len(a.Piece.Records) > 0 {
		a.Piece.Records = append([]claim.Record(nil), a.Piece.Records...)
	}
	c.call(n, a, f)
}

func (c *claimWorld) call(n *claimNode, a claim.Action, f fate) {
	var res claim.Result
	apply := func() { res = c.apply(a) }
	deliver := func(d time.Duration, status claim.CallStatus) {
		c.w.after(d, func() {
			n.on(func() {
				if status != claim.OK {
					res = claim.Result{Status: status}
				}
				c.reply(n, n.keys.OnResult(c.w.clock(), res))
				c.step(n)
			})
		})
	}
	switch f {
	case refused:
		deliver(callTime, claim.Unavailable)
	case lost:
		deliver(lostAfter, claim.Unknown)
	case replyLost:
		c.w.after(callTime, apply)
		deliver(lostAfter, claim.Unknown)
	case delayed:
		c.w.after(delayTime, apply)
		deliver(lostAfter, claim.Unknown)
	case slow:
		c.w.after(delayTime, apply)
		deliver(2*delayTime, claim.OK)
	case held:
		c.w.after(callTime, func() { n.on(apply) })
		deliver(2*callTime, claim.OK)
	case past:
		if a.Call == claim.Create || a.Call == claim.Grant {
			c.w.after(callTime, apply) // only reads can be from the past
		} else {
			res.Status = claim.NotFound
			if a.Call == claim.List {
				res.Status = claim.OK
			}
		}
		deliver(2*callTime, claim.OK)
	default:
		c.w.after(callTime, apply)
		deliver(2*callTime, claim.OK)
	}
}

func (c *claimWorld) reply(n *claimNode, replies []claim.Reply) {
	for _, r := range replies {
		if done := n.waiting[r.Ticket]; done != nil {
			delete(n.waiting, r.Ticket)
			done(r)
		}
	}
}

// ask sends a claim to a node and calls done once: with the reply, or with
// false when none came in time.
func (c *claimWorld) ask(n *claimNode, rec claim.Record, budget time.Duration, done func(claim.Reply, bool)) {
	if c.free {
		done(claim.Reply{}, true)
		return
	}
	over := false
	finish := func(r claim.Reply, ok bool) {
		if !over {
			over = true
			done(r, ok)
		}
	}
	if n.dead {
		finish(claim.Reply{}, false)
		return
	}
	var ticket uint64
	n.on(func() {
		n.ticket++
		ticket = n.ticket
		n.waiting[ticket] = func(r claim.Reply) { finish(r, true) }
		c.reply(n, n.keys.Claim(c.w.clock(), ticket, rec))
		c.step(n)
	})
	c.w.after(budget, func() {
		n.on(func() {
			delete(n.waiting, ticket)
			n.keys.Cancel(ticket)
			c.step(n)
		})
		finish(claim.Reply{}, false)
	})
}

// settle tells the first living node how a request ended.
func (c *claimWorld) settle(order []int, rec claim.Record) {
	for _, i := range order {
		if n := c.nodes[i]; !n.dead {
			c.w.after(callTime, func() {
				n.on(func() {
					n.keys.Settle(rec)
					c.step(n)
				})
			})
			return
		}
	}
}

// actDeadline is the deadline of every action.
const actDeadline = 300 * time.Millisecond

// act sends an action under a key to the claim owners in order, the first one
// that lives. payload tells requests apart that use one key.
func (w *queryWorld) act(id, key string, payload uint64, order ...int) {
	w.h.asked[id] = w.now + actDeadline
	rec := claim.Record{Key: key, Request: id, Fingerprint: payload}
	f := &flight{w: w, id: id, key: key, deadline: w.now + actDeadline, begin: w.now}
	i := 0
	for i < len(order)-1 && w.claims.nodes[order[i]].dead {
		i++
	}
	w.claims.ask(w.claims.nodes[order[i]], rec, actDeadline/2, func(r claim.Reply, ok bool) {
		switch {
		case w.gone:
		case !ok:
			rec.Status = claim.Released
			w.claims.settle(order, rec)
			w.refuse(id, verdict.NotRun)
		case r.Verdict != nil:
			w.refuse(id, r.Verdict.Outcome)
		case r.Executed != nil && r.Executed.Status == claim.Done:
			w.answered(f, string(r.Executed.Reply), r.Executed.Request)
		case r.Executed != nil:
			w.refuse(id, verdict.RanFailed)
		default:
			f.dispatch(order, rec)
		}
	})
}

// dispatch sends a claimed action and settles its claim.
func (f *flight) dispatch(order []int, rec claim.Record) {
	for i := range 3 {
		f.choices = append(f.choices, nil)
		f.choices[0] = append(f.choices[0], fmt.Sprint("ledger-", i))
	}
	f.cfg = fanout.Config{RequestID: f.id, Parts: []fanout.Part{{Pool: "ledger"}}, Retrier: f.w, Idempotent: f.w.retryAll}
	f.done = func(f *flight) {
		out, v := f.machine.Outcome(0), f.machine.Verdict()
		switch {
		case out.Covered:
			rec.Status, rec.Reply = claim.Done, out.Payload
			f.w.answered(f, string(out.Payload), f.id)
		case v.Outcome == verdict.NotRun:
			rec.Status = claim.Released
			f.w.refuse(f.id, v.Outcome)
		case v.Outcome == verdict.RanFailed:
			rec.Status = claim.Failed
			f.w.refuse(f.id, v.Outcome)
		default:
			f.w.refuse(f.id, v.Outcome)
			return
		}
		f.w.claims.settle(order, rec)
	}
	f.launch()
}

// answered records the answer of an action; owner is the request that ran.
func (w *queryWorld) answered(f *flight, payload, owner string) {
	t, whole := w.payloads[payload]
	a := answer{request: f.id, forID: f.id, snapshots: []uint64{t.snapshot}, claimed: 1, actual: 1, cutShort: !whole}
	if t.request != owner {
		a.forID = t.request
	}
	w.h.answers = append(w.h.answers, a)
	w.h.finished[f.id] = w.now
}

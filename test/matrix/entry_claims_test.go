package matrix

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/claim"
	"github.com/sapphirewall/sapphirewall/internal/decide/fanout"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// fate is what happens to one call to the platform.
type fate uint8

const (
	applied      fate = iota
	rejected          // not applied, and reported so
	requestLost       // not applied, no reply
	replyLost         // applied, no reply
	appliedLate       // applied after longDelay, no reply
	answeredLate      // applied after longDelay, answered after twice that
	sentOnResume      // sent after callTime, or on resumption if the process is paused by then
	staleRead         // reads return the state before the chain existed
	numFates
)

const (
	callTime    = time.Millisecond
	lossTimeout = 20 * time.Millisecond
	longDelay   = 200 * time.Millisecond
)

// claimSim simulates the platform's pieces of one claim range and the nodes that
// may own it.
type claimSim struct {
	sim          *querySim
	pieces       map[string]claim.StoredPiece
	leases       map[uint64]time.Duration // end by lease
	lastRevision uint64                   // of the store, also used as lease ID
	nodes        []*claimNode
	fate         func(node int, a claim.Action) fate
	grantAll     bool // naive: every claim is granted at once
	// naive: a seal does not occupy the chain's next number, so the previous
	// owner can go on writing.
	unfenced bool
}

// claimNode simulates one control process.
type claimNode struct {
	index    int
	claims   *claim.Range
	dead     bool
	paused   bool
	deferred []func()
	waiting  map[uint64]func(claim.Reply)
	ticket   uint64
}

func newClaimSim(sim *querySim) claimSim {
	c := claimSim{sim: sim, pieces: map[string]claim.StoredPiece{}, leases: map[uint64]time.Duration{}}
	for i := range 3 {
		c.nodes = append(c.nodes, &claimNode{index: i, claims: claim.NewRange(rand.New(rand.NewPCG(sim.rng.Uint64(), 2))), waiting: map[uint64]func(claim.Reply){}})
	}
	return c
}

func pieceKey(a claim.Action) string { return fmt.Sprintf("%s/%d", a.Chain, a.Number) }

// apply executes a call at the platform.
func (c *claimSim) apply(a claim.Action) claim.Result {
	for key, s := range c.pieces {
		if end, ok := c.leases[s.Lease]; !ok || c.sim.now >= end {
			delete(c.pieces, key)
		}
	}
	switch a.Call {
	case claim.Grant:
		c.lastRevision++
		c.leases[c.lastRevision] = c.sim.now + claim.LeaseTTL
		return claim.Result{Lease: c.lastRevision}
	case claim.Create:
		if c.sim.now >= c.leases[a.Lease] {
			return claim.Result{Status: claim.LeaseExpired}
		}
		if c.unfenced && a.Piece.Seal {
			a.Number += 1 << 20
		}
		if _, ok := c.pieces[pieceKey(a)]; ok {
			return claim.Result{Status: claim.Conflict}
		}
		c.lastRevision++
		a.Piece.Records = append([]claim.Record(nil), a.Piece.Records...)
		c.pieces[pieceKey(a)] = claim.StoredPiece{Chain: a.Chain, Number: a.Number, Lease: a.Lease, Revision: c.lastRevision, Piece: a.Piece}
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

// schedule runs do at once, after the resumption of a paused node, or never on a
// dead one.
func (n *claimNode) schedule(do func()) {
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
		n.schedule(do)
	}
}

// nextCall starts the node's next call to the platform.
func (c *claimSim) nextCall(n *claimNode) {
	a := n.claims.Next(c.sim.clock())
	if a.Call == claim.None {
		if !a.At.IsZero() {
			c.sim.schedule(a.At.Sub(queryEpoch), func() { n.schedule(func() { c.nextCall(n) }) })
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

func (c *claimSim) call(n *claimNode, a claim.Action, f fate) {
	var res claim.Result
	apply := func() { res = c.apply(a) }
	deliver := func(d time.Duration, status claim.CallStatus) {
		c.sim.after(d, func() {
			n.schedule(func() {
				if status != claim.OK {
					res = claim.Result{Status: status}
				}
				c.deliver(n, n.claims.OnResult(c.sim.clock(), res))
				c.nextCall(n)
			})
		})
	}
	switch f {
	case rejected:
		deliver(callTime, claim.Unavailable)
	case requestLost:
		deliver(lossTimeout, claim.Unknown)
	case replyLost:
		c.sim.after(callTime, apply)
		deliver(lossTimeout, claim.Unknown)
	case appliedLate:
		c.sim.after(longDelay, apply)
		deliver(lossTimeout, claim.Unknown)
	case answeredLate:
		c.sim.after(longDelay, apply)
		deliver(2*longDelay, claim.OK)
	case sentOnResume:
		c.sim.after(callTime, func() { n.schedule(apply) })
		deliver(2*callTime, claim.OK)
	case staleRead:
		if a.Call == claim.Create || a.Call == claim.Grant {
			c.sim.after(callTime, apply) // only reads can be stale
		} else {
			res.Status = claim.NotFound
			if a.Call == claim.List {
				res.Status = claim.OK
			}
		}
		deliver(2*callTime, claim.OK)
	default:
		c.sim.after(callTime, apply)
		deliver(2*callTime, claim.OK)
	}
}

func (c *claimSim) deliver(n *claimNode, replies []claim.Reply) {
	for _, r := range replies {
		if done := n.waiting[r.Ticket]; done != nil {
			delete(n.waiting, r.Ticket)
			done(r)
		}
	}
}

// claim sends a claim to a node and calls done once: with the reply, or with
// false if none arrived within budget.
func (c *claimSim) claim(n *claimNode, rec claim.Record, budget time.Duration, done func(claim.Reply, bool)) {
	if c.grantAll {
		done(claim.Reply{}, true)
		return
	}
	replied := false
	reply := func(r claim.Reply, ok bool) {
		if !replied {
			replied = true
			done(r, ok)
		}
	}
	if n.dead {
		reply(claim.Reply{}, false)
		return
	}
	var ticket uint64
	n.schedule(func() {
		n.ticket++
		ticket = n.ticket
		n.waiting[ticket] = func(r claim.Reply) { reply(r, true) }
		c.deliver(n, n.claims.Claim(c.sim.clock(), ticket, rec))
		c.nextCall(n)
	})
	c.sim.after(budget, func() {
		n.schedule(func() {
			delete(n.waiting, ticket)
			n.claims.Cancel(ticket)
			c.nextCall(n)
		})
		reply(claim.Reply{}, false)
	})
}

// settle reports the outcome of a request to the first running node of order.
func (c *claimSim) settle(order []int, rec claim.Record) {
	for _, i := range order {
		if n := c.nodes[i]; !n.dead {
			c.sim.after(callTime, func() {
				n.schedule(func() {
					n.claims.Settle(rec)
					c.nextCall(n)
				})
			})
			return
		}
	}
}

// actionDeadline is the deadline of every action.
const actionDeadline = 300 * time.Millisecond

// sendAction sends an action under a key, with its claim sent to the first running
// owner of order. payload distinguishes different requests that use the same key.
func (sim *querySim) sendAction(id, key string, payload uint64, order ...int) {
	sim.h.deadlines[id] = sim.now + actionDeadline
	rec := claim.Record{Key: key, Request: id, Fingerprint: payload}
	req := &pendingRequest{sim: sim, id: id, key: key, deadline: sim.now + actionDeadline, startedAt: sim.now}
	i := 0
	for i < len(order)-1 && sim.claims.nodes[order[i]].dead {
		i++
	}
	sim.claims.claim(sim.claims.nodes[order[i]], rec, actionDeadline/2, func(r claim.Reply, ok bool) {
		switch {
		case sim.entryKilled:
		case !ok:
			rec.Status = claim.Released
			sim.claims.settle(order, rec)
			sim.refuse(id, verdict.NotRun)
		case r.Verdict != nil:
			sim.refuse(id, r.Verdict.Outcome)
		case r.Executed != nil && r.Executed.Status == claim.Done:
			sim.recordActionAnswer(req, string(r.Executed.Reply), r.Executed.Request)
		case r.Executed != nil:
			sim.refuse(id, verdict.RanFailed)
		default:
			req.dispatch(order, rec)
		}
	})
}

// dispatch sends a claimed action to a replica and settles its claim.
func (req *pendingRequest) dispatch(order []int, rec claim.Record) {
	for i := range 3 {
		req.choices = append(req.choices, nil)
		req.choices[0] = append(req.choices[0], fmt.Sprint("ledger-", i))
	}
	req.cfg = fanout.Config{RequestID: req.id, Parts: []fanout.Part{{Pool: "ledger"}}, Retrier: req.sim, Idempotent: req.sim.retryAll}
	req.done = func(req *pendingRequest) {
		out, v := req.machine.Outcome(0), req.machine.Verdict()
		switch {
		case out.Covered:
			rec.Status, rec.Reply = claim.Done, out.Payload
			req.sim.recordActionAnswer(req, string(out.Payload), req.id)
		case v.Outcome == verdict.NotRun:
			rec.Status = claim.Released
			req.sim.refuse(req.id, v.Outcome)
		case v.Outcome == verdict.RanFailed:
			rec.Status = claim.Failed
			req.sim.refuse(req.id, v.Outcome)
		default:
			req.sim.refuse(req.id, v.Outcome)
			return
		}
		req.sim.claims.settle(order, rec)
	}
	req.launch()
}

// recordActionAnswer records the answer to an action; owner is the request that
// was executed under its key.
func (sim *querySim) recordActionAnswer(req *pendingRequest, payload, owner string) {
	src, complete := sim.payloads[payload]
	a := answer{request: req.id, forID: req.id, snapshots: []uint64{src.snapshot}, reported: 1, actual: 1, truncated: !complete}
	if src.request != owner {
		a.forID = src.request
	}
	sim.h.answers = append(sim.h.answers, a)
	sim.h.finishedAt[req.id] = sim.now
}

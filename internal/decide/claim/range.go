package claim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// Call is the kind of store call that a range needs next.
type Call uint8

// Kinds of calls.
const (
	// None: nothing to do until Action.At.
	None Call = iota
	// Grant requests a lease of LeaseTTL.
	Grant
	// Create writes Piece as Number of Chain under Lease if the number is free.
	Create
	// List reads all pieces of the range.
	List
	// Read reads the piece Number of Chain.
	Read
)

// Action is the next call. At most one call is in flight at a time.
type Action struct {
	Call   Call
	Chain  string
	Number int
	Lease  uint64
	Piece  Piece
	At     time.Time // for None: time of the next action; zero: after the next event
}

// CallStatus is the result status of a call.
type CallStatus uint8

// Statuses of calls. Unknown, a call without a reply, is the only one after
// which a write may have been applied or may still be.
const (
	OK CallStatus = iota
	Conflict
	LeaseExpired
	NotFound
	Unavailable
	Unknown
)

// Result is the result of the last action.
type Result struct {
	Status CallStatus
	Lease  uint64        // of Grant
	Found  []StoredPiece // of List and Read
}

// Reply is the answer to the claim of a ticket. If both Verdict and Executed are
// nil, the claim is granted.
type Reply struct {
	Ticket   uint64
	Verdict  *verdict.Error // why the claim was refused
	Executed *Record        // record of a request with the key that was already executed
}

// phase is the progress of a range towards its next write.
type phase uint8

const (
	closed phase = iota
	grantingLease
	creatingChain
	listing
	sealing
	open
	writing
	checking // reading the piece back, since the result of its write is unclear
)

// Range decides on the claims of one range of keys. It is not safe for
// concurrent use.
type Range struct {
	rng      *rand.Rand
	index    *claimIndex
	phase    phase
	chain    chain   // being written or opened
	prev     chain   // own former chain, to be sealed by a rotation; empty name: none
	unsealed []chain // chains of other writers that must be sealed

	waiting      map[uint64]Record // unanswered claims, by ticket
	queue        []Record          // to be written next
	batch        []Record          // being written
	maybeApplied bool              // an attempt to write batch may still be applied
	callInFlight bool              // a call has been started and its result is not known yet

	nextWrite        time.Time
	notBefore        time.Time // earliest next call after a failure or a fence
	storeUnavailable bool      // the last call failed; claims are refused until notBefore
	backoff          time.Duration
	unansweredCalls  int // store calls without a reply since the last write
	writes           int

	stopping     bool // the node is shutting down; the range is not opened again
	lostOutcomes int  // outcomes that a stopping range could not write
}

// chain is a sequence of pieces with one writer.
type chain struct {
	name     string
	next     int
	lease    uint64
	openedAt time.Time
}

// NewRange returns a range that opens itself on the first claim.
func NewRange(rng *rand.Rand) *Range {
	return &Range{rng: rng, index: newClaimIndex(), waiting: map[uint64]Record{}}
}

// Writes returns the number of pieces written, for metrics.
func (r *Range) Writes() int { return r.writes }

// Idle reports whether no call is in flight, no record is unwritten and no claim
// is unanswered.
func (r *Range) Idle() bool {
	return !r.callInFlight && len(r.queue) == 0 && len(r.batch) == 0 && len(r.waiting) == 0
}

// Claim requests a claim. The reply for the ticket is returned here or by a later
// OnResult.
func (r *Range) Claim(now time.Time, ticket uint64, rec Record) []Reply {
	if r.stopping && r.phase < open {
		return []Reply{{Ticket: ticket, Verdict: notOwner()}}
	}
	if r.storeUnavailable && now.Before(r.notBefore) {
		return []Reply{{Ticket: ticket, Verdict: unavailable(r.notBefore.Sub(now))}}
	}
	if r.phase < open {
		r.waiting[ticket] = rec
		return nil
	}
	return r.decide(now, ticket, rec)
}

// decide answers a claim from the index, or queues it to be written.
func (r *Range) decide(now time.Time, ticket uint64, rec Record) []Reply {
	how, old := r.index.claim(now, rec)
	switch how {
	case needsWrite:
		r.queue = append(r.queue, rec)
		r.waiting[ticket] = rec
		return nil
	case writePending:
		r.waiting[ticket] = rec
		return nil
	case granted:
		return []Reply{{Ticket: ticket}}
	case executed:
		return []Reply{{Ticket: ticket, Executed: &old}}
	case duplicate:
		return []Reply{{Ticket: ticket, Verdict: verdict.New(verdict.MayHaveRun, verdict.DuplicateKey, "a request with this key was accepted before, its outcome is not known").WithRetryAfter(outcomeRetryAfter)}}
	case keyReused:
		return []Reply{{Ticket: ticket, Verdict: verdict.New(verdict.NotRun, verdict.KeyReused, "the key was used for another request")}}
	default:
		return []Reply{{Ticket: ticket, Verdict: unavailable(maxBackoff)}}
	}
}

func unavailable(after time.Duration) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ClaimUnavailable, "claims can't be stored now").WithRetryAfter(max(after, minBackoff))
}

// Cancel drops a ticket whose requester no longer waits. Its claim is released,
// since nobody dispatches the request.
func (r *Range) Cancel(ticket uint64) {
	rec, ok := r.waiting[ticket]
	if !ok {
		return
	}
	delete(r.waiting, ticket)
	if r.phase >= open && !r.hasWaiter(rec) {
		r.Settle(rec.release())
	}
}

// hasWaiter reports whether another ticket waits for the same claim.
func (r *Range) hasWaiter(rec Record) bool {
	for _, w := range r.waiting {
		if w.Key == rec.Key && w.Request == rec.Request {
			return true
		}
	}
	return false
}

// Settle records the outcome of a request; it is written with the next piece.
func (r *Range) Settle(rec Record) {
	if len(rec.Reply) > MaxReplyBytes {
		rec.Reply, rec.ReplyLost = nil, true
	}
	if r.phase < open || r.index.settle(rec) {
		r.queue = append(r.queue, rec)
	}
}

// Next returns the next action and marks its call as in flight until OnResult.
// While a call is in flight, Next returns an action without a call.
func (r *Range) Next(now time.Time) Action {
	if r.callInFlight {
		return Action{}
	}
	a := r.next(now)
	r.callInFlight = a.Call != None
	return a
}

func (r *Range) next(now time.Time) Action {
	if now.Before(r.notBefore) {
		return Action{At: r.notBefore}
	}
	switch r.phase {
	case closed:
		if len(r.waiting) == 0 && len(r.queue) == 0 {
			return Action{}
		}
		r.phase = grantingLease
		return Action{Call: Grant}
	case grantingLease:
		return Action{Call: Grant}
	case creatingChain:
		return r.create(Piece{Writer: r.chain.name})
	case listing:
		return Action{Call: List}
	case sealing:
		c := r.nextUnsealed()
		return Action{Call: Create, Chain: c.name, Number: c.next, Lease: c.lease, Piece: Piece{Writer: r.chain.name, Seal: true}}
	case checking:
		return Action{Call: Read, Chain: r.chain.name, Number: r.chain.next}
	case writing:
		return r.create(Piece{Writer: r.chain.name, Records: r.batch})
	}
	return r.nextOpen(now)
}

// nextOpen starts a write when one is due.
func (r *Range) nextOpen(now time.Time) Action {
	if len(r.queue) == 0 {
		return Action{}
	}
	if now.Before(r.nextWrite) && !r.stopping {
		return Action{At: r.nextWrite}
	}
	if age := now.Sub(r.chain.openedAt); age >= rotateAfter && !r.stopping {
		r.prev = r.chain
		if age >= LeaseTTL {
			r.closeRange() // the lease has expired; other processes may have owned the range since
		}
		r.phase = grantingLease
		return Action{Call: Grant}
	}
	r.fillBatch()
	r.phase = writing
	r.nextWrite = now.Add(writeInterval)
	return r.create(Piece{Writer: r.chain.name, Records: r.batch})
}

func (r *Range) create(p Piece) Action {
	return Action{Call: Create, Chain: r.chain.name, Number: r.chain.next, Lease: r.chain.lease, Piece: p}
}

// fillBatch moves records that fit into one piece from the queue to the batch.
func (r *Range) fillBatch() {
	n, bytes := 0, 0
	for n < len(r.queue) && n < maxBatchRecords && bytes < maxBatchBytes {
		bytes += r.queue[n].size()
		n++
	}
	r.batch = append(r.batch[:0], r.queue[:n]...)
	r.queue = append(r.queue[:0], r.queue[n:]...)
}

// nextUnsealed returns the next chain to be sealed.
func (r *Range) nextUnsealed() *chain {
	if r.prev.name != "" {
		return &r.prev
	}
	return &r.unsealed[0]
}

// newChain starts a chain with a random name under a new lease.
func (r *Range) newChain(now time.Time, lease uint64) {
	r.chain = chain{name: fmt.Sprintf("%016x%016x", r.rng.Uint64(), r.rng.Uint64()), lease: lease, openedAt: now}
}

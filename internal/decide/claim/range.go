package claim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// Call is a call of the platform that the range needs next.
type Call uint8

// The calls.
const (
	// None means that there is nothing to do until Action.At.
	None Call = iota
	// Grant asks for a lease of LeaseTTL.
	Grant
	// Create writes Piece as Number of Chain under Lease, if that is free.
	Create
	// List reads all pieces of the range.
	List
	// Read reads the piece Number of Chain.
	Read
)

// Action is the next call. At most one is under way at a time.
type Action struct {
	Call   Call
	Chain  string
	Number int
	Lease  uint64
	Piece  Piece
	At     time.Time // of the next action, for None; zero: when something comes
}

// CallStatus says how a call ended.
type CallStatus uint8

// The results of calls. Unknown is the only one after which a write may have
// been applied, or may still be.
const (
	OK CallStatus = iota
	Conflict
	LeaseExpired
	NotFound
	Unavailable
	Unknown
)

// Result is how the last action ended.
type Result struct {
	Status CallStatus
	Lease  uint64        // of Grant
	Found  []StoredPiece // of List and Read
}

// Reply answers the claim of a ticket.
type Reply struct {
	Ticket   uint64
	Verdict  *verdict.Error // the claim was not made
	Executed *Record        // the key has run
}

// phase is how far the range is from being written.
type phase uint8

const (
	closed phase = iota
	granting
	anchoring
	listing
	sealing
	open
	writing
	checking // the outcome of a write is being read
)

// Range decides for one range of keys. It is not safe for concurrent use.
type Range struct {
	rng   *rand.Rand
	book  *book
	phase phase
	chain chain   // being written, or being opened
	prev  chain   // own chain to be sealed by a rotation; empty name: none
	seals []chain // chains of others to be sealed

	waiting  map[uint64]Record // claims not answered, by ticket
	queue    []Record          // to be written next
	batch    []Record          // being written
	doubtful bool              // an attempt to write batch may still be applied
	busy     bool              // an action is under way

	nextWrite time.Time
	notBefore time.Time // no call before, after a failure or a fence
	down      bool      // the platform failed last; claims are refused until notBefore
	backoff   time.Duration
	unknowns  int // calls without a reply since the last write
	writes    int

	stopping bool // never opened again
	lost     int  // news that a stopping range could not write
}

// chain is a sequence of pieces with one writer.
type chain struct {
	name  string
	next  int
	lease uint64
	begun time.Time
}

// NewRange returns a range that opens itself when the first claim comes.
func NewRange(rng *rand.Rand) *Range {
	return &Range{rng: rng, book: newBook(), waiting: map[uint64]Record{}}
}

// Writes is the number of pieces written, for metrics.
func (r *Range) Writes() int { return r.writes }

// Idle reports whether nothing is under way or waits to be written.
func (r *Range) Idle() bool {
	return !r.busy && len(r.queue) == 0 && len(r.batch) == 0 && len(r.waiting) == 0
}

// Claim asks for a claim. The reply comes from here or from a later OnResult
// under the ticket.
func (r *Range) Claim(now time.Time, ticket uint64, rec Record) []Reply {
	if r.stopping && r.phase < open {
		return []Reply{{Ticket: ticket, Verdict: handedOver()}}
	}
	if r.down && now.Before(r.notBefore) {
		return []Reply{{Ticket: ticket, Verdict: unavailable(r.notBefore.Sub(now))}}
	}
	if r.phase < open {
		r.waiting[ticket] = rec
		return nil
	}
	return r.rule(now, ticket, rec)
}

// rule answers a claim from the book, or queues it.
func (r *Range) rule(now time.Time, ticket uint64, rec Record) []Reply {
	how, old := r.book.claim(now, rec)
	switch how {
	case mustWrite:
		r.queue = append(r.queue, rec)
		r.waiting[ticket] = rec
		return nil
	case waitWrite:
		r.waiting[ticket] = rec
		return nil
	case granted:
		return []Reply{{Ticket: ticket}}
	case known:
		return []Reply{{Ticket: ticket, Executed: &old}}
	case duplicate:
		return []Reply{{Ticket: ticket, Verdict: verdict.New(verdict.MayHaveRun, verdict.DuplicateKey, "a request with this key was accepted before, its outcome is not known").After(outcomeRetry)}}
	case reused:
		return []Reply{{Ticket: ticket, Verdict: verdict.New(verdict.NotRun, verdict.KeyReused, "the key was used for another request")}}
	default:
		return []Reply{{Ticket: ticket, Verdict: unavailable(maxBackoff)}}
	}
}

func unavailable(after time.Duration) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ClaimUnavailable, "claims can't be stored now").After(max(after, minBackoff))
}

// Cancel forgets a ticket whose asker has gone. What is written for it is
// released again, since nobody dispatches it.
func (r *Range) Cancel(ticket uint64) {
	rec, ok := r.waiting[ticket]
	if !ok {
		return
	}
	delete(r.waiting, ticket)
	if r.phase >= open && !r.isAwaited(rec) {
		r.Settle(rec.release())
	}
}

// isAwaited reports whether another ticket waits for the same claim.
func (r *Range) isAwaited(rec Record) bool {
	for _, w := range r.waiting {
		if w.Key == rec.Key && w.Request == rec.Request {
			return true
		}
	}
	return false
}

// Settle takes in how a request ended; it is written with the next piece.
func (r *Range) Settle(rec Record) {
	if len(rec.Reply) > MaxReplyBytes {
		rec.Reply, rec.ReplyLost = nil, true
	}
	if r.phase < open || r.book.settle(rec) {
		r.queue = append(r.queue, rec)
	}
}

// Next returns the next action, and marks it as under way.
func (r *Range) Next(now time.Time) Action {
	if r.busy {
		return Action{}
	}
	a := r.next(now)
	r.busy = a.Call != None
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
		r.phase = granting
		return Action{Call: Grant}
	case granting:
		return Action{Call: Grant}
	case anchoring:
		return r.create(Piece{Writer: r.chain.name})
	case listing:
		return Action{Call: List}
	case sealing:
		c := r.toSeal()
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
	if age := now.Sub(r.chain.begun); age >= rotateEvery && !r.stopping {
		r.prev = r.chain
		if age >= LeaseTTL {
			r.closeRange() // the chain is gone; others may have come and gone
		}
		r.phase = granting
		return Action{Call: Grant}
	}
	r.takeBatch()
	r.phase = writing
	r.nextWrite = now.Add(pace)
	return r.create(Piece{Writer: r.chain.name, Records: r.batch})
}

func (r *Range) create(p Piece) Action {
	return Action{Call: Create, Chain: r.chain.name, Number: r.chain.next, Lease: r.chain.lease, Piece: p}
}

// takeBatch moves what fits into one piece from the queue.
func (r *Range) takeBatch() {
	n, bytes := 0, 0
	for n < len(r.queue) && n < maxBatchRecords && bytes < maxBatchBytes {
		bytes += r.queue[n].size()
		n++
	}
	r.batch = append(r.batch[:0], r.queue[:n]...)
	r.queue = append(r.queue[:0], r.queue[n:]...)
}

func (r *Range) toSeal() *chain {
	if r.prev.name != "" {
		return &r.prev
	}
	return &r.seals[0]
}

// newChain names the chain that is opened with a new lease.
func (r *Range) newChain(now time.Time, lease uint64) {
	r.chain = chain{name: fmt.Sprintf("%016x%016x", r.rng.Uint64(), r.rng.Uint64()), lease: lease, begun: now}
}

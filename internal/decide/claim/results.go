package claim

import (
	"cmp"
	"slices"
	"time"
)

// OnResult takes in the end of the action under way.
func (r *Range) OnResult(now time.Time, res Result) []Reply {
	r.busy = false
	if r.stopping && r.phase < open {
		return r.handOver()
	}
	switch r.phase {
	case granting:
		return r.onGrant(now, res)
	case anchoring:
		return r.onAnchor(now, res)
	case listing:
		return r.onList(now, res)
	case sealing:
		return r.onSeal(now, res)
	case writing:
		return r.onWrite(now, res)
	case checking:
		return r.onCheck(now, res)
	}
	return nil
}

func (r *Range) onGrant(now time.Time, res Result) []Reply {
	if res.Status != OK {
		return r.reopenLater(now, res.Status)
	}
	r.newChain(now, res.Lease)
	r.phase = anchoring
	return nil
}

// onAnchor goes on once the chain's first piece is known to be there. After
// any other result the chain is left, and another one is opened.
func (r *Range) onAnchor(now time.Time, res Result) []Reply {
	if res.Status != OK {
		return r.reopenLater(now, res.Status)
	}
	r.chain.next = 1
	r.phase = listing
	if r.prev.name != "" {
		r.phase = sealing
	}
	return nil
}

// onList finds the chains of others that can still be written, and loads the
// book when there are none.
func (r *Range) onList(now time.Time, res Result) []Reply {
	if res.Status != OK {
		return r.reopenLater(now, res.Status)
	}
	if !holdsChain(res.Found, r.chain.name) {
		return r.fail(now) // an answer from the past, before this chain was opened
	}
	r.seals = openChains(res.Found, r.chain.name)
	if len(r.seals) > 0 {
		r.phase = sealing
		return nil
	}
	r.loadBook(now, res.Found)
	return r.opened(now)
}

// holdsChain reports whether a piece of the chain is among found.
func holdsChain(found []StoredPiece, name string) bool {
	return slices.ContainsFunc(found, func(s StoredPiece) bool { return s.Chain == name })
}

// openChains returns the chains without a seal, but for the chain own.
func openChains(found []StoredPiece, own string) []chain {
	last := map[string]*StoredPiece{}
	for i := range found {
		s := &found[i]
		if s.Chain != own && (last[s.Chain] == nil || last[s.Chain].Number < s.Number) {
			last[s.Chain] = s
		}
	}
	var out []chain
	for name, s := range last {
		if !s.Piece.Seal {
			out = append(out, chain{name: name, next: s.Number + 1, lease: s.Lease})
		}
	}
	slices.SortFunc(out, func(a, b chain) int { return cmp.Compare(a.name, b.name) })
	return out
}

// loadBook replaces the book by what is stored, in the order of the writes.
func (r *Range) loadBook(now time.Time, found []StoredPiece) {
	slices.SortFunc(found, func(a, b StoredPiece) int { return cmp.Compare(a.Revision, b.Revision) })
	r.book = newBook()
	for i := range found {
		for _, rec := range found[i].Piece.Records {
			r.book.load(now, rec)
		}
	}
}

// onSeal goes on to the next seal. Whatever a seal's result is, the list shows
// it; but a range's own former chain must be sealed by itself, else another
// has taken the range over.
func (r *Range) onSeal(now time.Time, res Result) []Reply {
	if r.prev.name == "" {
		if res.Status == OK || res.Status == Conflict || res.Status == LeaseExpired {
			r.seals = r.seals[1:]
			if len(r.seals) == 0 {
				r.phase = listing
			}
			return nil
		}
		return r.reopenLater(now, res.Status)
	}
	if res.Status != OK {
		return r.fenced(now)
	}
	r.prev = chain{}
	return r.opened(now)
}

// opened rules on the claims that have waited for the range, and on news that
// came meanwhile.
func (r *Range) opened(now time.Time) []Reply {
	r.phase = open
	queued := r.queue
	r.queue = nil
	for i := range queued {
		rec := &queued[i]
		switch {
		case rec.Status == Claimed:
			r.book.drop(rec) // ruled on again below, if still awaited
		case r.book.settle(*rec) || r.book.knows(*rec):
			r.queue = append(r.queue, *rec)
		}
	}
	var out []Reply
	for _, t := range r.tickets() {
		rec := r.waiting[t]
		delete(r.waiting, t)
		out = append(out, r.rule(now, t, rec)...)
	}
	return out
}

// tickets returns the waiting tickets in order.
func (r *Range) tickets() []uint64 {
	out := make([]uint64, 0, len(r.waiting))
	for t := range r.waiting {
		out = append(out, t)
	}
	slices.Sort(out)
	return out
}

func (r *Range) onWrite(now time.Time, res Result) []Reply {
	switch res.Status {
	case OK:
		return r.applied(now)
	case Conflict:
		r.phase = checking
		return nil
	case LeaseExpired:
		return r.fenced(now)
	case Unknown:
		r.doubtful = true
		r.phase = checking
		return r.unanswered(now)
	}
	if r.doubtful {
		return r.fail(now)
	}
	for i := range r.batch {
		if r.batch[i].Status == Claimed {
			r.book.drop(&r.batch[i])
		} else {
			r.queue = append(r.queue, r.batch[i])
		}
	}
	r.batch = r.batch[:0]
	r.phase = open
	return r.fail(now)
}

// onCheck learns from the piece itself who wrote it. While there is none, the
// same write is made again, since the first one may still arrive.
func (r *Range) onCheck(now time.Time, res Result) []Reply {
	switch {
	case res.Status == NotFound:
		r.phase = writing
		return nil
	case res.Status == Unknown:
		return r.unanswered(now)
	case res.Status != OK || len(res.Found) == 0:
		return r.fail(now)
	case res.Found[0].Piece.Seal || res.Found[0].Piece.Writer != r.chain.name:
		return r.fenced(now)
	}
	return r.applied(now)
}

// applied answers the claims of a batch that is known to be written, and
// releases those that nobody waits for any more.
func (r *Range) applied(now time.Time) []Reply {
	r.writes++
	r.chain.next++
	r.phase = open
	r.doubtful = false
	r.backoff, r.unknowns = 0, 0
	var out []Reply
	claimed := map[string]string{}
	for i := range r.batch {
		rec := &r.batch[i]
		if rec.Status == Claimed {
			r.book.wrote(rec)
			claimed[rec.Key] = rec.Request
		}
	}
	awaited := map[string]bool{}
	for _, t := range r.tickets() {
		rec := r.waiting[t]
		if req, ok := claimed[rec.Key]; ok && req == rec.Request {
			delete(r.waiting, t)
			awaited[rec.Key] = true
			out = append(out, Reply{Ticket: t})
		}
	}
	for i := range r.batch {
		rec := r.batch[i]
		if rec.Status == Claimed && !awaited[rec.Key] {
			r.Settle(rec.release())
		}
	}
	r.batch = r.batch[:0]
	return out
}

// fenced closes the range: another writer has taken it over, or the lease has
// lapsed. Nothing of the batch was written; its claims wait for the range to
// be opened again.
func (r *Range) fenced(now time.Time) []Reply {
	for i := range r.batch {
		if r.batch[i].outlives() {
			r.queue = append(r.queue, r.batch[i])
		}
	}
	r.closeRange()
	r.down = false
	r.notBefore = now.Add(time.Duration(r.rng.Int64N(int64(maxFencePause))))
	if r.stopping {
		return r.handOver()
	}
	return nil
}

// reopenLater closes a range that could not be opened. After a call without a
// reply it is opened anew at once.
func (r *Range) reopenLater(now time.Time, status CallStatus) []Reply {
	r.closeRange()
	if status == Unknown {
		return r.unanswered(now)
	}
	return r.fail(now)
}

// unanswered lets the claims wait while a call without a reply is made good;
// after several such calls since the last write the platform counts as down.
func (r *Range) unanswered(now time.Time) []Reply {
	r.unknowns++
	if r.unknowns < maxUnknowns {
		return nil
	}
	return r.fail(now)
}

func (r *Range) closeRange() {
	r.phase = closed
	r.prev = chain{}
	r.seals = nil
	r.batch = r.batch[:0]
	r.doubtful = false
	kept := r.queue[:0]
	for _, rec := range r.queue {
		if rec.outlives() {
			kept = append(kept, rec)
		}
	}
	r.queue = kept
}

// fail refuses every waiting claim at once and pauses calls for a while. What
// the queue holds of them was not written and is dropped.
func (r *Range) fail(now time.Time) []Reply {
	r.down = true
	r.backoff = min(max(2*r.backoff, minBackoff), maxBackoff)
	r.notBefore = now.Add(r.backoff)
	var out []Reply
	for _, t := range r.tickets() {
		out = append(out, Reply{Ticket: t, Verdict: unavailable(r.backoff)})
		delete(r.waiting, t)
	}
	kept := r.queue[:0]
	for i := range r.queue {
		if r.queue[i].Status == Claimed {
			r.book.drop(&r.queue[i])
			continue
		}
		kept = append(kept, r.queue[i])
	}
	r.queue = kept
	return out
}

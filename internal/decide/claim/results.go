package claim

import (
	"cmp"
	"slices"
	"time"
)

// OnResult applies the result of the call in flight.
func (r *Range) OnResult(now time.Time, res Result) []Reply {
	r.callInFlight = false
	if r.stopping && r.phase < open {
		return r.handOver()
	}
	switch r.phase {
	case grantingLease:
		return r.onGrant(now, res)
	case creatingChain:
		return r.onFirstPiece(now, res)
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
		return r.onOpenFailed(now, res.Status)
	}
	r.newChain(now, res.Lease)
	r.phase = creatingChain
	return nil
}

// onFirstPiece continues with the opening once the chain's first piece is known to
// be stored. After any other result the chain is abandoned and another one is
// opened.
func (r *Range) onFirstPiece(now time.Time, res Result) []Reply {
	if res.Status != OK {
		return r.onOpenFailed(now, res.Status)
	}
	r.chain.next = 1
	r.phase = listing
	if r.prev.name != "" {
		r.phase = sealing
	}
	return nil
}

// onList finds the chains of other writers that can still be written. If there
// are none, it loads the index from the listed pieces.
func (r *Range) onList(now time.Time, res Result) []Reply {
	if res.Status != OK {
		return r.onOpenFailed(now, res.Status)
	}
	if !containsChain(res.Found, r.chain.name) {
		return r.refuseWaiting(now) // stale list, from before this chain was opened
	}
	r.unsealed = unsealedChains(res.Found, r.chain.name)
	if len(r.unsealed) > 0 {
		r.phase = sealing
		return nil
	}
	r.loadIndex(now, res.Found)
	return r.onOpened(now)
}

// containsChain reports whether found has a piece of the chain.
func containsChain(found []StoredPiece, name string) bool {
	return slices.ContainsFunc(found, func(s StoredPiece) bool { return s.Chain == name })
}

// unsealedChains returns the chains without a seal, other than own.
func unsealedChains(found []StoredPiece, own string) []chain {
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

// loadIndex rebuilds the index from stored pieces, in the order of their writes.
func (r *Range) loadIndex(now time.Time, found []StoredPiece) {
	slices.SortFunc(found, func(a, b StoredPiece) int { return cmp.Compare(a.Revision, b.Revision) })
	r.index = newClaimIndex()
	for i := range found {
		for _, rec := range found[i].Piece.Records {
			r.index.loadStored(now, rec)
		}
	}
}

// onSeal continues with the next seal. For chains of other writers the result
// need not be a success, since the next list shows any chain that is still
// unsealed. For the range's own former chain it must be: otherwise another
// process may have taken over the range.
func (r *Range) onSeal(now time.Time, res Result) []Reply {
	if r.prev.name == "" {
		if res.Status == OK || res.Status == Conflict || res.Status == LeaseExpired {
			r.unsealed = r.unsealed[1:]
			if len(r.unsealed) == 0 {
				r.phase = listing
			}
			return nil
		}
		return r.onOpenFailed(now, res.Status)
	}
	if res.Status != OK {
		return r.onFenced(now)
	}
	r.prev = chain{}
	return r.onOpened(now)
}

// onOpened decides on the claims that waited for the range and applies the
// outcomes that arrived meanwhile.
func (r *Range) onOpened(now time.Time) []Reply {
	r.phase = open
	queued := r.queue
	r.queue = nil
	for i := range queued {
		rec := &queued[i]
		switch {
		case rec.Status == Claimed:
			r.index.dropUnwritten(rec) // decided again below if a ticket still waits for it
		case r.index.settle(*rec) || r.index.hasOutcome(*rec):
			r.queue = append(r.queue, *rec)
		}
	}
	var out []Reply
	for _, t := range r.waitingTickets() {
		rec := r.waiting[t]
		delete(r.waiting, t)
		out = append(out, r.decide(now, t, rec)...)
	}
	return out
}

// waitingTickets returns the tickets of unanswered claims in ascending order.
func (r *Range) waitingTickets() []uint64 {
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
		return r.onWritten(now)
	case Conflict:
		r.phase = checking
		return nil
	case LeaseExpired:
		return r.onFenced(now)
	case Unknown:
		r.maybeApplied = true
		r.phase = checking
		return r.onUnanswered(now)
	}
	if r.maybeApplied {
		return r.refuseWaiting(now)
	}
	for i := range r.batch {
		if r.batch[i].Status == Claimed {
			r.index.dropUnwritten(&r.batch[i])
		} else {
			r.queue = append(r.queue, r.batch[i])
		}
	}
	r.batch = r.batch[:0]
	r.phase = open
	return r.refuseWaiting(now)
}

// onCheck finds out from the piece itself who wrote it. If there is none, the
// same write is repeated, since the first one may still be applied.
func (r *Range) onCheck(now time.Time, res Result) []Reply {
	switch {
	case res.Status == NotFound:
		r.phase = writing
		return nil
	case res.Status == Unknown:
		return r.onUnanswered(now)
	case res.Status != OK || len(res.Found) == 0:
		return r.refuseWaiting(now)
	case res.Found[0].Piece.Seal || res.Found[0].Piece.Writer != r.chain.name:
		return r.onFenced(now)
	}
	return r.onWritten(now)
}

// onWritten grants the claims of a batch that is known to be written, and
// releases those that no ticket waits for.
func (r *Range) onWritten(now time.Time) []Reply {
	r.writes++
	r.chain.next++
	r.phase = open
	r.maybeApplied = false
	r.backoff, r.unansweredCalls = 0, 0
	var out []Reply
	claimed := map[string]string{}
	for i := range r.batch {
		rec := &r.batch[i]
		if rec.Status == Claimed {
			r.index.markDurable(rec)
			claimed[rec.Key] = rec.Request
		}
	}
	awaited := map[string]bool{}
	for _, t := range r.waitingTickets() {
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

// onFenced closes the range: another writer has taken it over, or the lease has
// expired. Nothing of the batch was written; its claims wait until the range is
// open again.
func (r *Range) onFenced(now time.Time) []Reply {
	for i := range r.batch {
		if r.batch[i].survivesTakeover() {
			r.queue = append(r.queue, r.batch[i])
		}
	}
	r.closeRange()
	r.storeUnavailable = false
	r.notBefore = now.Add(time.Duration(r.rng.Int64N(int64(maxFenceBackoff))))
	if r.stopping {
		return r.handOver()
	}
	return nil
}

// onOpenFailed closes a range that could not be opened. After a call without a
// reply it may be opened again at once.
func (r *Range) onOpenFailed(now time.Time, status CallStatus) []Reply {
	r.closeRange()
	if status == Unknown {
		return r.onUnanswered(now)
	}
	return r.refuseWaiting(now)
}

// onUnanswered keeps the claims waiting while a call without a reply is repeated.
// After maxUnansweredCalls such calls since the last write, the store counts as
// unavailable.
func (r *Range) onUnanswered(now time.Time) []Reply {
	r.unansweredCalls++
	if r.unansweredCalls < maxUnansweredCalls {
		return nil
	}
	return r.refuseWaiting(now)
}

// closeRange drops all state that is valid only while this process owns the
// range. Queued claims and abandoned releases are dropped as well.
func (r *Range) closeRange() {
	r.phase = closed
	r.prev = chain{}
	r.unsealed = nil
	r.batch = r.batch[:0]
	r.maybeApplied = false
	kept := r.queue[:0]
	for _, rec := range r.queue {
		if rec.survivesTakeover() {
			kept = append(kept, rec)
		}
	}
	r.queue = kept
}

// refuseWaiting refuses every waiting claim and pauses store calls with an
// exponential backoff. Claims in the queue were not written and are dropped.
func (r *Range) refuseWaiting(now time.Time) []Reply {
	r.storeUnavailable = true
	r.backoff = min(max(2*r.backoff, minBackoff), maxBackoff)
	r.notBefore = now.Add(r.backoff)
	var out []Reply
	for _, t := range r.waitingTickets() {
		out = append(out, Reply{Ticket: t, Verdict: unavailable(r.backoff)})
		delete(r.waiting, t)
	}
	kept := r.queue[:0]
	for i := range r.queue {
		if r.queue[i].Status == Claimed {
			r.index.dropUnwritten(&r.queue[i])
			continue
		}
		kept = append(kept, r.queue[i])
	}
	r.queue = kept
	return out
}

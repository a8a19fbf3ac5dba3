package claim

import "github.com/sapphirewall/sapphirewall/internal/verdict"

// Stop prepares the range for the shutdown of its node. Queued records are
// written at once. A range that is not open, or that the next owner fences, is
// not opened again: that would fence the next owner in turn and delay the
// claims of both.
func (r *Range) Stop() []Reply {
	r.stopping = true
	if r.phase >= open {
		return nil
	}
	return r.handOver()
}

// LostOutcomes returns the number of outcomes that a stopping range could not
// write. Their claims stay claimed, so a later request with the key is refused
// with the verdict that an earlier one may have run.
func (r *Range) LostOutcomes() int { return r.lostOutcomes }

// handOver closes the range for its next owner and refuses the waiting claims,
// none of which was granted here.
func (r *Range) handOver() []Reply {
	r.closeRange()
	r.lostOutcomes += len(r.queue)
	r.queue = nil
	var out []Reply
	for _, t := range r.waitingTickets() {
		out = append(out, Reply{Ticket: t, Verdict: notOwner()})
		delete(r.waiting, t)
	}
	return out
}

func notOwner() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.NotOwner, "this control process stops and leaves the range to the next owner").WithRetryAfter(minBackoff)
}

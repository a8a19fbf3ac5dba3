package claim

import "github.com/sapphirewall/sapphirewall/internal/verdict"

// Stop tells the range that its node stops. What is queued is written at once.
// A range that is not open, or that the next owner fences, is left to that one:
// opening it again would fence the next owner in turn, and the claims of both
// would wait through it.
func (r *Range) Stop() []Reply {
	r.stopping = true
	if r.phase >= open {
		return nil
	}
	return r.handOver()
}

// LostOutcomes is the number of outcomes that a stopping range could not write. Their
// claims stay claimed, so a later request under the key is told that an earlier
// one may have run.
func (r *Range) LostOutcomes() int { return r.lost }

// handOver leaves the range to its next owner: the claims that wait were not
// made here.
func (r *Range) handOver() []Reply {
	r.closeRange()
	r.lost += len(r.queue)
	r.queue = nil
	var out []Reply
	for _, t := range r.tickets() {
		out = append(out, Reply{Ticket: t, Verdict: handedOver()})
		delete(r.waiting, t)
	}
	return out
}

func handedOver() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.NotOwner, "this control process stops and leaves the range to the next owner").After(minBackoff)
}

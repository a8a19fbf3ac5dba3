package direct

import (
	"slices"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/connpool"
	"github.com/sapphirewall/sapphirewall/internal/decide/discovery"
	"github.com/sapphirewall/sapphirewall/internal/decide/gather"
	"github.com/sapphirewall/sapphirewall/internal/decide/placement"
	"github.com/sapphirewall/sapphirewall/internal/tables"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// maxUnexecuted bounds the results of one part beside those of the attempts that
// may run: refusals of full replicas and connections that did not come up.
const maxUnexecuted = 6

// withinColdRate reports whether a cold replica can take another request now, as far as
// this VM's part of its rate goes. s.mu is held.
func (s *Service) withinColdRate(now time.Time, r *replica) bool {
	perSecond, bounded := s.coldRate(&r.status, now)
	return !bounded || r.coldLimiter.Allows(now, perSecond)
}

// eligible reports whether a replica may run the call's request. s.mu is held.
func (s *Service) eligible(c *call, r *replica) bool {
	if s.zonesOutOfService[r.status.Zone] || r.status.State == discovery.Removed {
		return false
	}
	regions := c.route.Regions
	return len(regions) == 0 || slices.Contains(regions, s.opts.Regions[r.status.Zone])
}

// place finds the replica for a send and makes the attempt, or tells the machine
// that it can't be sent. s.mu is held.
func (c *call) place(now time.Time, send gather.Attempt) *attempt {
	s := c.s
	p := s.poolOf(c.pools[send.Part])
	r := c.choose(now, p, send.Part)
	reason := ""
	switch {
	case r == nil:
		reason = "no replica left"
	case c.shouldSkip(now, r):
		reason = "no answer in time from the best replica"
	case !takeBudget(now, p, send.Kind):
		reason = "no budget for extra sends"
	}
	if reason != "" {
		c.machine.Unsendable(send)
		s.logUnsent(c, p, r, send, now, reason)
		return nil
	}
	a := &attempt{call: c, part: send.Part, kind: send.Kind, replica: r}
	a.wire = connpool.Attempt{Request: &c.req.Request, Deadline: c.attemptDeadline(send.Kind), SentAt: now, Done: func(*connpool.Attempt) { a.done() }}
	a.startSpan(send.Kind)
	r.observed.Sent(now)
	if _, bounded := s.coldRate(&r.status, now); bounded {
		r.coldLimiter.Record(now)
	}
	c.machine.Sent(now, send.Part)
	c.tried[send.Part] = append(c.tried[send.Part], r.status.ID)
	c.inFlight = append(c.inFlight, a)
	c.sentByKind[send.Kind]++
	if send.Kind != gather.First {
		s.logExtraAttempt(c, r, send, now)
	}
	return a
}

// attemptDeadline is when a replica may stop working on an attempt. The answer to
// a query goes out at its objective without the parts that are late, so the
// first sends are worth nothing after it: a replica with a queue then drops
// those in time for fresh ones, instead of running what nobody waits for. What
// is sent again, also when the objective was missed, has all the time left.
func (c *call) attemptDeadline(e gather.Kind) time.Time {
	if c.route.Kind == tables.Query && e == gather.First {
		if useful := c.answerBy.Add(firstAttemptMargin); useful.Before(c.deadline) {
			return useful
		}
	}
	return c.deadline
}

// shouldSkip reports whether a part of a query is better left out: the best
// replica for it has a queue that lasts beyond the objective, so that its answer
// would come too late and only make others late. Parts without which there is no
// answer are sent all the same.
func (c *call) shouldSkip(now time.Time, r *replica) bool {
	left := c.answerBy.Sub(now)
	return c.route.Kind == tables.Query && left > 0 && c.machine.CanSkipPart() &&
		placement.WouldMissDeadline(now, placement.Candidate{Replica: r.observed}, c.typical, left)
}

// takeBudget draws on the pool's budget of extra sends.
func takeBudget(now time.Time, p *pool, e gather.Kind) bool {
	switch e {
	case gather.Retry:
		return p.budget.AllowRetry(now)
	case gather.Hedge:
		return p.budget.AllowHedge(now)
	}
	p.budget.CountFirst(now)
	return true
}

// choose returns the best replica that the part has not been sent to, or nil.
// s.mu is held.
func (c *call) choose(now time.Time, p *pool, part int) *replica {
	var few [8]placement.Candidate
	cands := few[:0]
	var replicas [8]*replica
	chosen := replicas[:0]
	for _, r := range p.replicas {
		if !c.s.eligible(c, r) || !c.s.withinColdRate(now, r) || slices.Contains(c.tried[part], r.status.ID) {
			continue
		}
		cands = append(cands, placement.Candidate{Replica: r.observed, Distance: r.distance, Draining: r.status.State == discovery.LastResort})
		chosen = append(chosen, r)
	}
	i := placement.Choose(now, cands, c.typical, c.s.rng)
	if i < 0 {
		return nil
	}
	return chosen[i]
}

// done takes the end of a flight: first what it tells of the replica, then the
// call, if it still goes on.
func (a *attempt) done() {
	a.observe(time.Now())
	a.endSpan()
	a.call.results <- a
}

// observe takes what the attempt tells of its replica and its route.
func (a *attempt) observe(now time.Time) {
	s, f := a.call.s, &a.wire
	s.mu.Lock()
	defer s.mu.Unlock()
	ev := a.replica.observed
	took := now.Sub(f.SentAt)
	expired := f.Reply != nil && f.Reply.Status >= 500 && !now.Before(f.Deadline.Add(-expirySlack))
	switch {
	case expired:
		ev.Answered(now, f.SentAt, a.call.typical)
		a.call.stats.tail.Observe(took)
		s.metrics.add("attempt_expired", 1)
	case f.Reply != nil && f.Reply.Misdirected:
		ev.Failed(now, f.SentAt)
		s.metrics.add("attempt_misdirected", 1)
	case f.Reply != nil && f.Reply.NotRun:
		ev.Rejected(now, f.SentAt)
		s.metrics.add("attempt_rejected", 1)
	case f.Reply != nil && f.Reply.Status >= 500:
		ev.Failed(now, f.SentAt)
		s.metrics.add("attempt_failed", 1)
	case f.Reply != nil:
		ev.Answered(now, f.SentAt, a.call.typical)
		a.call.stats.median.Observe(took)
		a.call.stats.tail.Observe(took)
		s.metrics.observe("attempt", took)
	case f.Err.Cause == verdict.Cancelled || f.Err.Cause == verdict.NoReplica:
		ev.Cancelled(f.SentAt)
	default:
		ev.Failed(now, f.SentAt)
		s.metrics.add("attempt_"+string(f.Err.Cause), 1)
	}
	if f.Err != nil && f.Err.Cause == verdict.ConnectionSilent {
		// What lost this connection has lost the idle ones beside it too.
		go a.replica.conns.DropIdle(f.SentAt)
	}
	if f.Reply != nil && f.Reply.HasLoad {
		l := f.Reply.Load
		ev.ObserveLoad(now, l.Running, l.Waiting, l.Slots)
	}
	a.observeCrash(now)
}

// observeCrash takes what the attempt tells of requests that crash replicas. s.mu is
// held.
func (a *attempt) observeCrash(now time.Time) {
	s, f := a.call.s, &a.wire
	switch {
	case f.Reply != nil && !f.Reply.NotRun:
		s.poison.RecordAnswer(a.call.fingerprint)
	case f.Err != nil && f.Err.Cause == verdict.ConnectionLost && f.Err.Outcome == verdict.MayHaveRun:
		if s.poison.RecordCrash(now, []uint64{a.call.fingerprint}) {
			s.log.Info("suspect").Str("id", a.call.req.ID).Str("upstream", a.replica.status.ID).
				Uint64("fingerprint", a.call.fingerprint).Msg("connection lost with this request in flight")
		}
	}
}

// handleResult gives the machine the result of an attempt.
func (c *call) handleResult(a *attempt) {
	for i, x := range c.inFlight {
		if x == a {
			c.inFlight = append(c.inFlight[:i], c.inFlight[i+1:]...)
			break
		}
	}
	result := a.result()
	c.machine.Ended(a.part, a.wire.SentAt, result)
	switch {
	case result == gather.Served && c.replies[a.part] == nil:
		c.replies[a.part] = a.wire.Reply
	case result != gather.Served:
		c.recordFailure(a, result)
	}
}

// result says how the attempt ended.
func (a *attempt) result() gather.Result {
	f := &a.wire
	switch {
	case f.Reply != nil && f.Reply.OK() && f.Reply.Receipt != "":
		return gather.Served
	case f.Reply != nil && !f.Reply.NotRun && f.Reply.Status < 500 && f.Reply.Receipt != "" && a.call.route.Kind != tables.Query:
		return gather.Served // the replica's word on the request, for the caller to hear
	case f.Reply != nil && f.Reply.NotRun:
		return gather.Rejected
	case f.Reply != nil:
		return gather.NoAnswer
	case f.Err.Outcome == verdict.NotRun:
		return gather.NotSent
	}
	return gather.NoAnswer
}

// recordFailure keeps the verdict that promises least, and logs why the attempt brought
// nothing.
func (c *call) recordFailure(a *attempt, result gather.Result) {
	f := &a.wire
	err := f.Err
	if f.Reply != nil {
		outcome := verdict.RanFailed
		if f.Reply.NotRun {
			outcome = verdict.NotRun
		} else {
			c.failedReply = f.Reply
		}
		err = verdict.Newf(outcome, verdict.UpstreamError, "status %d of %s", f.Reply.Status, a.replica.status.ID)
	}
	c.worst = verdict.Worse(c.worst, err)
	c.s.log.Info("attempt").Str("id", c.req.ID).Str("pool", c.pools[a.part]).Str("upstream", a.replica.status.ID).
		Str("outcome", err.Outcome.String()).Str("cause", string(err.Cause)).Str("detail", err.Detail).
		Stringer("extra", a.kind).Dur("took", time.Since(f.SentAt)).Uint8("result", uint8(result)).Msg("attempt brought no answer")
}

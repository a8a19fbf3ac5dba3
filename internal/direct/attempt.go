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

// maxResends bounds the results of one part beside those of the attempts that
// may run: refusals of full replicas and connections that did not come up.
const maxResends = 6

// bears reports whether a cold replica can take another request now, as far as
// this VM's part of its rate goes. s.mu is held.
func (s *Service) bears(now time.Time, r *replica) bool {
	perSecond, bounded := s.coldRate(&r.belief, now)
	return !bounded || r.cold.Allows(now, perSecond)
}

// allowed reports whether a replica may run the call's request. s.mu is held.
func (s *Service) allowed(c *call, r *replica) bool {
	if s.zonesOut[r.belief.Zone] || r.belief.State == discovery.Gone {
		return false
	}
	regions := c.route.Regions
	return len(regions) == 0 || slices.Contains(regions, s.opts.Regions[r.belief.Zone])
}

// place finds the replica for a send and makes the attempt, or tells the machine
// that it can't be sent. s.mu is held.
func (c *call) place(now time.Time, send gather.Send) *attempt {
	s := c.s
	p := s.poolOf(c.pools[send.Part])
	r := c.choose(now, p, send.Part)
	why := ""
	switch {
	case r == nil:
		why = "no replica left"
	case c.hopeless(now, r):
		why = "no answer in time from the best replica"
	case !affordable(now, p, send.Extra):
		why = "no budget for extra sends"
	}
	if why != "" {
		c.machine.Unsendable(send)
		s.unsent(c, p, r, send, now, why)
		return nil
	}
	a := &attempt{call: c, part: send.Part, extra: send.Extra, replica: r}
	a.flight = connpool.Attempt{Request: &c.req.Request, Deadline: c.flightDeadline(send.Extra), SentAt: now, Done: func(*connpool.Attempt) { a.done() }}
	a.trace(send.Extra)
	r.evidence.Sent(now)
	if _, bounded := s.coldRate(&r.belief, now); bounded {
		r.cold.Record(now)
	}
	c.machine.Sent(now, send.Part)
	c.tried[send.Part] = append(c.tried[send.Part], r.belief.ID)
	c.inFlight = append(c.inFlight, a)
	c.sends[send.Extra]++
	if send.Extra != gather.First {
		s.resent(c, r, send, now)
	}
	return a
}

// flightDeadline is when a replica may stop working on an attempt. The answer to
// a query goes out at its objective without the parts that are late, so the
// first sends are worth nothing after it: a replica with a queue then drops
// those in time for fresh ones, instead of running what nobody waits for. What
// is sent again, also when the objective was missed, has all the time left.
func (c *call) flightDeadline(e gather.Extra) time.Time {
	if c.route.Kind == tables.Query && e == gather.First {
		if useful := c.answerBy.Add(uselessAfter); useful.Before(c.deadline) {
			return useful
		}
	}
	return c.deadline
}

// hopeless reports whether a part of a query is better left out: the best
// replica for it has a queue that lasts beyond the objective, so that its answer
// would come too late and only make others late. Parts without which there is no
// answer are sent all the same.
func (c *call) hopeless(now time.Time, r *replica) bool {
	left := c.answerBy.Sub(now)
	return c.route.Kind == tables.Query && left > 0 && c.machine.MayLeaveOut() &&
		placement.Hopeless(now, placement.Candidate{Replica: r.evidence}, c.usual, left)
}

// affordable draws on the pool's budget of extra sends.
func affordable(now time.Time, p *pool, e gather.Extra) bool {
	switch e {
	case gather.Retry:
		return p.extra.TakeRetry(now)
	case gather.Hedge:
		return p.extra.TakeHedge(now)
	}
	p.extra.Fresh(now)
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
		if !c.s.allowed(c, r) || !c.s.bears(now, r) || slices.Contains(c.tried[part], r.belief.ID) {
			continue
		}
		cands = append(cands, placement.Candidate{Replica: r.evidence, Distance: r.distance, Leaving: r.belief.State == discovery.Leaving})
		chosen = append(chosen, r)
	}
	i := placement.Choose(now, cands, c.usual, c.s.rng)
	if i < 0 {
		return nil
	}
	return chosen[i]
}

// done takes the end of a flight: first what it tells of the replica, then the
// call, if it still goes on.
func (a *attempt) done() {
	a.learn(time.Now())
	a.endTrace()
	a.call.results <- a
}

// learn takes what the attempt tells of its replica and its route.
func (a *attempt) learn(now time.Time) {
	s, f := a.call.s, &a.flight
	s.mu.Lock()
	defer s.mu.Unlock()
	ev := a.replica.evidence
	took := now.Sub(f.SentAt)
	expired := f.Reply != nil && f.Reply.Status >= 500 && !now.Before(f.Deadline.Add(-expirySlack))
	switch {
	case expired:
		ev.Answered(now, f.SentAt, a.call.usual)
		a.call.stats.late.Observe(took)
		s.metrics.add("attempt_expired", 1)
	case f.Reply != nil && f.Reply.Misdirected:
		ev.Failed(now, f.SentAt)
		s.metrics.add("attempt_misdirected", 1)
	case f.Reply != nil && f.Reply.NotRun:
		ev.Shed(now, f.SentAt)
		s.metrics.add("attempt_rejected", 1)
	case f.Reply != nil && f.Reply.Status >= 500:
		ev.Failed(now, f.SentAt)
		s.metrics.add("attempt_failed", 1)
	case f.Reply != nil:
		ev.Answered(now, f.SentAt, a.call.usual)
		a.call.stats.usual.Observe(took)
		a.call.stats.late.Observe(took)
		s.metrics.observe("attempt", took)
	case f.Err.Cause == verdict.Cancelled || f.Err.Cause == verdict.NoReplica:
		ev.Withdrawn(f.SentAt)
	default:
		ev.Failed(now, f.SentAt)
		s.metrics.add("attempt_"+string(f.Err.Cause), 1)
	}
	if f.Err != nil && f.Err.Cause == verdict.ConnectionSilent {
		// What lost this connection has lost the idle ones beside it too.
		go a.replica.peer.DropIdle(f.SentAt)
	}
	if f.Reply != nil && f.Reply.HasLoad {
		l := f.Reply.Load
		ev.Loaded(now, l.Running, l.Waiting, l.Slots)
	}
	a.suspect(now)
}

// suspect takes what the attempt tells of requests that crash replicas. s.mu is
// held.
func (a *attempt) suspect(now time.Time) {
	s, f := a.call.s, &a.flight
	switch {
	case f.Reply != nil && !f.Reply.NotRun:
		s.poison.Finished(a.call.fingerprint)
	case f.Err != nil && f.Err.Cause == verdict.ConnectionLost && f.Err.Outcome == verdict.MayHaveRun:
		if s.poison.Crashed(now, []uint64{a.call.fingerprint}) {
			s.log.Info("suspect").Str("id", a.call.req.ID).Str("upstream", a.replica.belief.ID).
				Uint64("fingerprint", a.call.fingerprint).Msg("connection lost with this request in flight")
		}
	}
}

// take gives the machine the result of an attempt.
func (c *call) take(a *attempt) {
	for i, x := range c.inFlight {
		if x == a {
			c.inFlight = append(c.inFlight[:i], c.inFlight[i+1:]...)
			break
		}
	}
	result := a.result()
	c.machine.Ended(a.part, a.flight.SentAt, result)
	switch {
	case result == gather.Served && c.parts[a.part] == nil:
		c.parts[a.part] = a.flight.Reply
	case result != gather.Served:
		c.failed(a, result)
	}
}

// result says how the attempt ended.
func (a *attempt) result() gather.Result {
	f := &a.flight
	switch {
	case f.Reply != nil && f.Reply.OK() && f.Reply.Receipt != "":
		return gather.Served
	case f.Reply != nil && !f.Reply.NotRun && f.Reply.Status < 500 && f.Reply.Receipt != "" && a.call.route.Kind != tables.Query:
		return gather.Served // the replica's word on the request, for the caller to hear
	case f.Reply != nil && f.Reply.NotRun:
		return gather.Rejected
	case f.Reply != nil:
		return gather.RanFailed
	case f.Err.Outcome == verdict.NotRun:
		return gather.NotSent
	}
	return gather.RanFailed
}

// failed keeps the verdict that promises least, and logs why the attempt brought
// nothing.
func (c *call) failed(a *attempt, result gather.Result) {
	f := &a.flight
	err := f.Err
	if f.Reply != nil {
		outcome := verdict.RanFailed
		if f.Reply.NotRun {
			outcome = verdict.NotRun
		} else {
			c.failure = f.Reply
		}
		err = verdict.Newf(outcome, verdict.UpstreamError, "status %d of %s", f.Reply.Status, a.replica.belief.ID)
	}
	c.worst = verdict.Worse(c.worst, err)
	c.s.log.Info("attempt").Str("id", c.req.ID).Str("pool", c.pools[a.part]).Str("upstream", a.replica.belief.ID).
		Str("outcome", err.Outcome.String()).Str("cause", string(err.Cause)).Str("detail", err.Detail).
		Stringer("extra", a.extra).Dur("took", time.Since(f.SentAt)).Uint8("result", uint8(result)).Msg("attempt brought no answer")
}

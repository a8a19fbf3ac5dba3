package direct

import (
	"slices"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/connpool"
	"github.com/sapphirewall/sapphirewall/internal/decide/discovery"
	"github.com/sapphirewall/sapphirewall/internal/decide/gather"
	"github.com/sapphirewall/sapphirewall/internal/decide/placement"
	"github.com/sapphirewall/sapphirewall/internal/decide/rollout"
	"github.com/sapphirewall/sapphirewall/internal/tables"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// maxUnexecuted is the room in the channel of results for attempts of one part that
// are not executed, in addition to those that may be: rejections by full replicas
// and failures to connect.
const maxUnexecuted = 6

// withinColdRate reports whether this VM's share of a cold replica's rate allows
// another request now. It is true for other replicas. s.mu is held.
func (s *Service) withinColdRate(now time.Time, r *replica) bool {
	perSecond, limited := s.coldRate(&r.status, now)
	return !limited || r.coldLimiter.Allows(now, perSecond)
}

// eligible reports whether a replica may execute the call's request. s.mu is held.
func (s *Service) eligible(c *call, r *replica) bool {
	if s.zonesOutOfService[r.status.Zone] || r.status.State == discovery.Removed {
		return false
	}
	return c.mayUse(s.opts.Regions[r.status.Zone])
}

// place chooses the replica of a planned attempt and returns the attempt, ready to
// be sent. It returns nil, and notifies the machine, if it can't be sent. s.mu is
// held.
func (c *call) place(now time.Time, planned gather.Attempt) *attempt {
	s := c.s
	p := s.poolOf(c.pools[planned.Part])
	r, class := c.pick(now, p, planned)
	reason := ""
	if c.keyRefusal == nil {
		c.keyRefusal = c.refuseKey()
	}
	switch {
	case c.keyRefusal != nil:
		reason = c.keyRefusal.Detail
	case s.crashesReplicas(now, c):
		reason = "requests like this one crash replicas"
	case r == nil:
		reason = c.whyNoReplica(now, p)
	case c.shouldSkip(now, r):
		reason = "best replica would answer after the objective"
	case c.retryIsFutile(now, r, planned):
		reason = "best replica left would probably reject it"
	case !s.takeBudget(now, p, planned.Kind):
		reason = "budget for extra attempts is used up"
	}
	if reason != "" {
		c.machine.Unsendable(planned)
		s.logUnsent(c, p, r, planned, now, reason)
		return nil
	}
	a := &attempt{call: c, part: planned.Part, kind: planned.Kind, replica: r}
	queue := !c.req.MayHandOver && s.reach.Cuts().Degraded[c.pools[planned.Part]]
	a.wire = connpool.Attempt{Request: &c.wire, Deadline: c.attemptDeadline(planned.Kind), SentAt: now, Queue: queue, Done: func(*connpool.Attempt) { a.done() }}
	if c.team != nil || !c.withKeys && c.req.PassThrough != nil {
		a.wire.Refuse = c.refuseKey
	}
	a.startSpan(planned.Kind)
	a.countPlaced(p, class)
	r.observed.Sent(now)
	r.path.Sent(now, c.typical)
	if _, a.cold = s.coldRate(&r.status, now); a.cold {
		r.coldLimiter.Reserve()
	}
	if _, a.limited = r.limit.Rate(); a.limited {
		r.limit.Reserve(now)
	}
	c.machine.Sent(now, planned.Part)
	c.tried[planned.Part] = append(c.tried[planned.Part], r.status.ID)
	c.inFlight = append(c.inFlight, a)
	c.sentByKind[planned.Kind]++
	if planned.Kind != gather.First {
		s.logExtraAttempt(c, r, planned, now)
	}
	return a
}

// crashesReplicas reports whether the request of a call must not be sent any more.
// s.mu is held.
func (s *Service) crashesReplicas(now time.Time, c *call) bool {
	_, yes := s.suspects.Refuse(now, c.fingerprint)
	return yes
}

// attemptDeadline is when a replica may stop working on an attempt. A query is
// answered at its latency objective without the late parts, so first attempts are
// useless after it. Their earlier deadline makes a replica with a queue drop them
// in favour of newer requests. Extra attempts, which may also be sent after the
// objective was missed, have the time until the call's deadline.
func (c *call) attemptDeadline(kind gather.Kind) time.Time {
	if c.route.Kind == tables.Query && kind == gather.First {
		if expiry := c.answerBy.Add(firstAttemptMargin); expiry.Before(c.deadline) {
			return expiry
		}
	}
	return c.deadline
}

// shouldSkip reports whether a part of a query should be left out because the queue
// of its best replica lasts beyond the latency objective. The part's reply would be
// too late and would delay other requests. Parts that the answer needs are not
// skipped.
func (c *call) shouldSkip(now time.Time, r *replica) bool {
	left := c.answerBy.Sub(now)
	return c.route.Kind == tables.Query && left > 0 && c.machine.CanSkipPart() &&
		placement.WouldMissDeadline(now, placement.Candidate{Replica: r.observed}, c.typical, left)
}

// takeBudget takes an attempt from the pool's budget of extra attempts, or counts it
// as a first one. It reports whether the attempt may be sent. s.mu is held.
func (s *Service) takeBudget(now time.Time, p *pool, kind gather.Kind) bool {
	switch kind {
	case gather.Retry:
		return p.budget.AllowRetry(now)
	case gather.Hedge:
		return p.budget.AllowHedge(now)
	}
	s.observeRunning(now)
	p.budget.CountFirst(now, s.backlog.SentSince(now))
	return true
}

// expired reports whether the replica has answered that the attempt's deadline passed.
func (a *attempt) expired(now time.Time) bool {
	w := &a.wire
	return w.Reply != nil && w.Reply.Status >= 500 && !a.isRejection(now) && !now.Before(w.Deadline.Add(-expirySlack))
}

// pick returns the replica for a planned attempt and its class, or nil if no replica
// can serve it. s.mu is held.
func (c *call) pick(now time.Time, p *pool, planned gather.Attempt) (*replica, rollout.Class) {
	class := p.assign(now, c.route.Name, planned.Kind)
	if r := c.choose(now, p, planned.Part, class); r != nil {
		return r, class
	}
	other, ok := p.fallback(now, class)
	if !ok {
		return nil, class
	}
	return c.choose(now, p, planned.Part, other), other
}

// choose returns the best replica of a class that had no attempt of the part yet, or
// nil. s.mu is held.
func (c *call) choose(now time.Time, p *pool, part int, class rollout.Class) *replica {
	var candBuf [8]placement.Candidate
	cands := candBuf[:0]
	var replicaBuf [8]*replica
	replicas := replicaBuf[:0]
	rejectionCost := p.rejectionCost(now)
	distanceCosts, decided := c.s.distanceCosts(now, p)
	degraded, access := c.s.reach.Cuts().Degraded[c.pools[part]], c.neededAccess()
	for _, r := range p.replicas {
		if of, usable := p.classOf(r); !usable || of != class {
			continue
		}
		if !c.s.eligible(c, r) || !c.s.withinColdRate(now, r) || !r.limit.Allows(now, c.priority) || slices.Contains(c.tried[part], r.status.ID) {
			continue
		}
		if degraded {
			of := c.access(now, r)
			if of < access {
				c.unconnected = true
				continue
			}
			if of > access { // better than those before
				access, cands, replicas = of, cands[:0], replicas[:0]
			}
		}
		cand := placement.Candidate{Replica: r.observed, Distance: r.distance, Draining: r.status.State == discovery.LastResort, RejectionCost: rejectionCost, Decided: decided}
		if decided {
			cand.DistanceCost = distanceCosts.Of(r.status.Zone, r.distance)
		}
		cands = append(cands, cand)
		replicas = append(replicas, r)
	}
	i := placement.Choose(now, cands, c.typical, c.s.rng)
	if i < 0 {
		return nil
	}
	return replicas[i]
}

// whyNoReplica states why no replica can get an attempt of a part now. s.mu is held.
func (c *call) whyNoReplica(now time.Time, p *pool) string {
	wait, _ := c.s.limitWait(c, p, now)
	if wait == 0 {
		return "no replica is left for the part"
	}
	c.limitWait = max(c.limitWait, wait)
	c.s.deniedByLimits(c, p, now)
	return "the limits of the replicas that are left have no room"
}

// done is called when the attempt has ended. It records the observations and passes
// the attempt to the call, which may have ended before.
func (a *attempt) done() {
	if a.observe(time.Now()) {
		a.call.s.opts.Began(a.call.team.Name, a.wire.AssignedAt)
	}
	a.endSpan()
	a.call.results <- a
}

// observe records what the attempt shows of its replica and its route. It reports whether
// the request is to be counted for its team.
func (a *attempt) observe(now time.Time) (begins bool) {
	s, w := a.call.s, &a.wire
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observeRunning(now)
	obs := a.replica.observed
	took := now.Sub(w.SentAt)
	a.countEnded(now)
	switch {
	case a.expired(now):
		obs.Answered(now, w.SentAt, a.call.typical)
		a.call.stats.tail.Observe(took)
		s.metrics.add("attempt_expired", 1)
	case w.Reply != nil && w.Reply.Misdirected:
		obs.Failed(now, w.SentAt)
		s.metrics.add("attempt_misdirected", 1)
	case w.Reply != nil && w.Reply.NotRun:
		s.weighRejections(a)
		obs.Rejected(now, w.SentAt)
		s.observeArrival(now, a, true)
		s.metrics.add("attempt_rejected", 1)
	case w.Reply != nil && w.Reply.Failed():
		obs.Failed(now, w.SentAt)
		s.metrics.add("attempt_failed", 1)
	case w.Reply != nil:
		obs.Answered(now, w.SentAt, a.call.typical)
		s.observeArrival(now, a, false)
		a.call.stats.median.Observe(took)
		a.call.stats.tail.Observe(took)
		s.metrics.observe("attempt", took)
	case w.Err.Cause == verdict.Cancelled || w.Err.Cause == verdict.NoReplica || refusesKey(w.Err):
		obs.Cancelled(w.SentAt)
	case w.Err.Cause == verdict.ConnectFailed && s.reach.Cuts().Impaired(a.call.pools[a.part]):
		obs.Cancelled(w.SentAt) // the way to many replicas is blocked, which says nothing of this one
		s.metrics.add("attempt_unconnected", 1)
	default:
		obs.Failed(now, w.SentAt)
		s.metrics.add("attempt_"+string(w.Err.Cause), 1)
	}
	if w.Err != nil && w.Err.Cause == verdict.ConnectionSilent {
		s.logAbandoned(a, now)
		// What made this connection stall has probably affected the idle ones too.
		go a.replica.conns.DropIdle(w.SentAt)
	}
	a.settle(now)
	a.observePath(now)
	s.observeNotice(now, a)
	s.observeLeaving(now, a)
	if w.Reply != nil && w.Reply.HasLoad {
		l := w.Reply.Load
		obs.ObserveLoad(now, l.Running, l.Waiting, l.Slots)
		obs.ObservePace(now, l.Pace)
		s.weighRejections(a)
	}
	s.observeRoom(now, a)
	s.observeZoneShare(now, a)
	a.observeCrash(now)
	return a.begins()
}

// settle tells the limits of the pool and the replica what is known of the arrival of
// the attempt. If its connection was closed without an answer, that is nothing yet.
// s.mu is held.
func (a *attempt) settle(now time.Time) {
	w, part := &a.wire, &a.call.budgetParts[a.part]
	if a.cold {
		a.replica.coldLimiter.Record(w.AssignedAt)
	}
	if a.limited {
		a.replica.limit.Record(w.AssignedAt)
	}
	budget, upstream := a.call.s.poolOf(a.call.pools[a.part]).budget, a.replica.status.ID
	if w.Err != nil && w.Err.Cause == verdict.ConnectionSilent {
		budget.Abandon(now, upstream, part)
		return
	}
	budget.Settle(now, part)
	if w.Reply != nil {
		budget.Answered(now, upstream, w.AssignedAt)
	}
}

// handleResult applies the result of an attempt to the call.
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

// result classifies the end of the attempt.
func (a *attempt) result() gather.Result {
	w := &a.wire
	switch {
	case w.Reply != nil && w.Reply.OK() && w.Reply.Receipt != "":
		return gather.Served
	case w.Reply != nil && !w.Reply.NotRun && !w.Reply.Failed() && w.Reply.Receipt != "" && a.call.route.Kind != tables.Query:
		return gather.Served // the replica's own answer, passed on to the caller
	case w.Reply != nil && w.Reply.NotRun:
		return gather.Rejected
	case w.Reply != nil:
		return gather.NoAnswer
	case w.Err.Outcome == verdict.NotRun:
		return gather.NotSent
	}
	return gather.NoAnswer
}

// recordFailure keeps the worst verdict of the failed attempts and logs why this one
// failed.
func (c *call) recordFailure(a *attempt, result gather.Result) {
	w := &a.wire
	err := w.Err
	if w.Reply != nil {
		outcome := verdict.RanFailed
		switch {
		case w.Reply.NotRun:
			outcome = verdict.NotRun
		case w.Reply.MayBePassedOn():
			c.failedReply = w.Reply
		}
		err = verdict.Newf(outcome, verdict.UpstreamError, "status %d of %s", w.Reply.Status, a.replica.status.ID)
	}
	c.worst = verdict.Worse(c.worst, err)
	c.unconnected = c.unconnected || err.Cause == verdict.ConnectFailed
	c.s.log.Info("attempt").Str("id", c.req.ID).Str("pool", c.pools[a.part]).Str("upstream", a.replica.status.ID).
		Str("outcome", err.Outcome.String()).Str("cause", string(err.Cause)).Str("detail", err.Detail).
		Stringer("extra", a.kind).Dur("took", time.Since(w.SentAt)).Dur("waited", a.connectionWait(time.Now())).Uint8("result", uint8(result)).Msg("attempt ended without an answer")
}

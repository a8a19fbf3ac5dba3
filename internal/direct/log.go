package direct

import (
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/sapphirewall/sapphirewall/internal/decide/gather"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// logRefusal logs a request that was refused before any attempt. c may be nil.
func (s *Service) logRefusal(req *Request, c *call, v *verdict.Error) {
	s.metrics.add("refused_"+string(v.Cause), 1)
	e := s.log.Info("refused").Str("id", req.ID).Str("cause", string(v.Cause)).Str("detail", v.Detail).
		Dur("retry_after", v.RetryAfter).Dur("budget", req.Budget)
	if c != nil {
		e = e.Str("route", c.route.Name).Uint64("revision", c.rev.tables.Revision).Dur("revision_age", time.Since(c.rev.since))
	}
	if v.Cause == verdict.Poison {
		e = e.Uint64("fingerprint", c.fingerprint)
	}
	e.Msg("request refused before any attempt")
}

// logUnsent logs that a planned attempt was not sent. s.mu is held.
func (s *Service) logUnsent(c *call, p *pool, r *replica, planned gather.Attempt, now time.Time, reason string) {
	s.metrics.add("unsent_"+planned.Kind.String(), 1)
	used, allowed := p.budget.Used(now)
	e := s.log.Info("unsent").Str("id", c.req.ID).Str("pool", c.pools[planned.Part]).Stringer("extra", planned.Kind).Str("why", reason).
		Strs("tried", c.tried[planned.Part]).Int("extra_used", used).Int("extra_unsettled", p.budget.Unsettled()).Float64("extra_allowed", allowed)
	if r != nil {
		e = e.Dict("now", replicaStats(r, now)).Dur("left", c.answerBy.Sub(now)).Dur("usual", c.typical)
	}
	e.Msg("attempt not sent")
}

// logExtraAttempt logs an extra attempt with the statistics of the replica that is
// late or has failed and of the one that gets the attempt. s.mu is held.
func (s *Service) logExtraAttempt(c *call, r *replica, planned gather.Attempt, now time.Time) {
	s.metrics.add("sent_"+planned.Kind.String(), 1)
	tried := c.tried[planned.Part]
	used, allowed := s.poolOf(c.pools[planned.Part]).budget.Used(now)
	e := s.log.Info("resend").Str("id", c.req.ID).Str("pool", c.pools[planned.Part]).Stringer("extra", planned.Kind).
		Int("extra_used", used).Float64("extra_allowed", allowed).Strs("tried", tried).Dur("age", now.Sub(c.req.Arrived)).Dur("usual", c.typical).Dur("hedge_after", c.hedgeAfter)
	if len(tried) > 1 {
		if before := s.replicas[tried[len(tried)-2]]; before != nil {
			e = e.Dict("before", replicaStats(before, now))
		}
	}
	e.Dict("now", replicaStats(r, now)).Msg("extra attempt sent")
}

// connectionWait returns how long the attempt waited for a connection, until now if
// it got none.
func (a *attempt) connectionWait(now time.Time) time.Duration {
	if at := a.wire.AssignedAt; !at.IsZero() {
		now = at
	}
	return now.Sub(a.wire.SentAt)
}

// logAbandoned logs an attempt whose connection was closed without an answer. Its
// replica may still receive it when it resumes. s.mu is held.
func (s *Service) logAbandoned(a *attempt, now time.Time) {
	used, allowed := s.poolOf(a.call.pools[a.part]).budget.Used(now)
	s.log.Info("abandoned").Str("id", a.call.req.ID).Str("pool", a.call.pools[a.part]).Str("upstream", a.replica.status.ID).
		Stringer("extra", a.kind).Int("attempts", len(a.call.tried[a.part])).Dur("age", now.Sub(a.wire.SentAt)).
		Dur("waited", a.connectionWait(now)).Int("extra_used", used).Float64("extra_allowed", allowed).
		Msg("attempt given up without an answer; its replica may still receive it")
}

// replicaStats returns the statistics of a replica as log fields.
func replicaStats(r *replica, now time.Time) *zerolog.Event {
	st := r.observed.Stats(now)
	return zerolog.Dict().Str("upstream", r.status.ID).Float64("speed", st.LatencyRatio).Float64("failing", st.FailureRate).Float64("rejecting", st.Rejecting).
		Int("outstanding", st.InFlight).Dur("silence", st.StallTime).Int("load", st.Load).Dur("load_age", st.LoadAge)
}

// logEnd logs and counts the end of a call.
func (s *Service) logEnd(c *call, a *Answer) {
	took := time.Since(c.req.Arrived)
	s.metrics.observe("request", took)
	outcome, kind := "answered", "answered"
	switch {
	case a.Refusal != nil:
		outcome, kind = string(a.Refusal.Cause), "failed"
	case a.HandOver != nil:
		outcome, kind = "handed-over", "handover"
	}
	s.metrics.add("request_"+outcome, 1)
	e := s.log.Info(kind).Str("id", c.req.ID).Str("route", c.route.Name).Str("outcome", outcome).Dur("took", took).
		Int("in", c.machine.Received()).Int("parts", len(c.pools)).Int("retries", c.sentByKind[gather.Retry]).Int("hedges", c.sentByKind[gather.Hedge]).
		Uint64("revision", c.rev.tables.Revision)
	if a.Refusal != nil {
		e = e.Str("verdict", a.Refusal.Outcome.String()).Str("detail", a.Refusal.Detail)
	}
	if c.req.Waited > 0 {
		e = e.Dur("waited", c.req.Waited)
	}
	if c.req.Uncertain > 0 {
		e = e.Dur("uncertain", c.req.Uncertain)
	}
	if c.queued > 0 {
		e = e.Int("queued", c.queued)
	}
	if a.Reply != nil {
		e = e.Int("status", a.Reply.Status)
	}
	if c.machine.Received() < len(c.pools) {
		e = e.Strs("missing", c.missing())
	}
	e.Msg("request ended")
}

// missing lists the pools of the parts without a reply, each with the replicas that
// got attempts.
func (c *call) missing() []string {
	var out []string
	for i, p := range c.replies {
		if p == nil {
			out = append(out, c.pools[i]+": "+strings.Join(c.tried[i], " "))
		}
	}
	return out
}

package direct

import (
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/sapphirewall/sapphirewall/internal/decide/gather"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// logRefusal logs a refusal before anything was sent. c may be nil.
func (s *Service) logRefusal(req *Request, c *call, v *verdict.Error) {
	s.metrics.add("refused_"+string(v.Cause), 1)
	e := s.log.Info("refused").Str("id", req.ID).Str("cause", string(v.Cause)).Str("detail", v.Detail).
		Dur("retry_after", v.RetryAfter).Dur("budget", req.Budget)
	if c != nil {
		e = e.Str("route", c.route.Name).Uint64("revision", c.rev.tables.Revision).Dur("revision_age", time.Since(c.rev.since))
	}
	e.Msg("request refused, not run")
}

// logUnsent logs that a decided attempt was not made. s.mu is held.
func (s *Service) logUnsent(c *call, p *pool, r *replica, send gather.Attempt, now time.Time, why string) {
	s.metrics.add("unsent_"+send.Kind.String(), 1)
	used, allowed := p.budget.Used(now)
	e := s.log.Info("unsent").Str("id", c.req.ID).Str("pool", c.pools[send.Part]).Stringer("extra", send.Kind).Str("why", why).
		Strs("tried", c.tried[send.Part]).Int("extra_used", used).Float64("extra_allowed", allowed)
	if r != nil {
		e = e.Dict("now", replicaStats(r, now)).Dur("left", c.answerBy.Sub(now)).Dur("usual", c.typical)
	}
	e.Msg("attempt not sent")
}

// logExtraAttempt logs a second attempt, with what is known of the replica that is late
// or has failed and of the one that is asked now. s.mu is held.
func (s *Service) logExtraAttempt(c *call, r *replica, send gather.Attempt, now time.Time) {
	s.metrics.add("sent_"+send.Kind.String(), 1)
	tried := c.tried[send.Part]
	e := s.log.Info("resend").Str("id", c.req.ID).Str("pool", c.pools[send.Part]).Stringer("extra", send.Kind).
		Strs("tried", tried).Dur("age", now.Sub(c.req.Arrived)).Dur("usual", c.typical).Dur("hedge_after", c.hedgeAfter)
	if len(tried) > 1 {
		if before := s.replicas[tried[len(tried)-2]]; before != nil {
			e = e.Dict("before", replicaStats(before, now))
		}
	}
	e.Dict("now", replicaStats(r, now)).Msg("part sent again")
}

func replicaStats(r *replica, now time.Time) *zerolog.Event {
	ev := r.observed.Stats(now)
	return zerolog.Dict().Str("upstream", r.status.ID).Float64("speed", ev.LatencyRatio).Float64("failing", ev.FailureRate).
		Int("outstanding", ev.InFlight).Dur("silence", ev.StallTime).Int("load", ev.Load).Dur("load_age", ev.LoadAge)
}

// logEnd logs the end of a call.
func (s *Service) logEnd(c *call, a *Answer) {
	took := time.Since(c.req.Arrived)
	s.metrics.observe("request", took)
	outcome, kind := "answered", "answered"
	if a.Refusal != nil {
		outcome, kind = string(a.Refusal.Cause), "failed"
	}
	s.metrics.add("request_"+outcome, 1)
	e := s.log.Info(kind).Str("id", c.req.ID).Str("route", c.route.Name).Str("outcome", outcome).Dur("took", took).
		Int("in", c.machine.Received()).Int("parts", len(c.pools)).Int("retries", c.sentByKind[gather.Retry]).Int("hedges", c.sentByKind[gather.Hedge]).
		Uint64("revision", c.rev.tables.Revision)
	if a.Refusal != nil {
		e = e.Str("verdict", a.Refusal.Outcome.String()).Str("detail", a.Refusal.Detail)
	}
	if a.Reply != nil {
		e = e.Int("status", a.Reply.Status)
	}
	if c.machine.Received() < len(c.pools) {
		e = e.Strs("missing", c.missing())
	}
	e.Msg("request ended")
}

// missing lists the pools whose part isn't in, each with the replicas asked.
func (c *call) missing() []string {
	var out []string
	for i, p := range c.replies {
		if p == nil {
			out = append(out, c.pools[i]+": "+strings.Join(c.tried[i], " "))
		}
	}
	return out
}

package direct

import (
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/gather"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// refused logs a refusal before anything was sent. c may be nil.
func (s *Service) refused(req *Request, c *call, v *verdict.Error) {
	s.metrics.add("refused_"+string(v.Cause), 1)
	e := s.log.Info("refused").Str("id", req.ID).Str("cause", string(v.Cause)).Str("detail", v.Detail).
		Dur("retry_after", v.RetryAfter).Dur("budget", req.Budget)
	if c != nil {
		e = e.Str("route", c.route.Name).Uint64("revision", c.force.tables.Revision).Dur("revision_age", time.Since(c.force.since))
	}
	e.Msg("request refused, not run")
}

// ended logs the end of a call.
func (s *Service) ended(c *call, a *Answer) {
	took := time.Since(c.req.Arrived)
	s.metrics.observe("request", took)
	outcome, kind := "answered", "answered"
	if a.Refusal != nil {
		outcome, kind = string(a.Refusal.Cause), "failed"
	}
	s.metrics.add("request_"+outcome, 1)
	e := s.log.Info(kind).Str("id", c.req.ID).Str("route", c.route.Name).Str("outcome", outcome).Dur("took", took).
		Int("in", c.machine.In()).Int("parts", len(c.pools)).Int("retries", c.sends[gather.Retry]).Int("hedges", c.sends[gather.Hedge]).
		Uint64("revision", c.force.tables.Revision)
	if a.Refusal != nil {
		e = e.Str("verdict", a.Refusal.Outcome.String()).Str("detail", a.Refusal.Detail)
	}
	if a.Reply != nil {
		e = e.Int("status", a.Reply.Status)
	}
	if c.machine.In() < len(c.pools) {
		e = e.Strs("missing", c.missing())
	}
	e.Msg("request ended")
}

// missing lists the pools whose part isn't in.
func (c *call) missing() []string {
	var out []string
	for i, p := range c.parts {
		if p == nil {
			out = append(out, c.pools[i])
		}
	}
	return out
}

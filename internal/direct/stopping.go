package direct

import (
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/admission"
	"github.com/sapphirewall/sapphirewall/internal/tables"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// retryElsewhere is the Retry-After of a request that a stopping process doesn't begin:
// another VM can serve it at once.
const retryElsewhere = 100 * time.Millisecond

// checkEnding returns a refusal if the process stops and the call can't be expected to
// end before that. s.mu is held.
func (s *Service) checkEnding(c *call, now time.Time) *verdict.Error {
	if c.req.EndsBy.IsZero() {
		return nil
	}
	e := admission.Ending{
		Left: c.req.EndsBy.Sub(now), Limit: c.deadline.Sub(now),
		Assumed: c.objective(), Idempotent: c.route.Idempotent || c.route.Kind == tables.Query,
	}
	if c.stats.times.Begin(e) {
		s.metrics.add("stop_begun", 1)
		return nil
	}
	s.metrics.add("stop_refused", 1)
	return verdict.Newf(verdict.NotRun, verdict.ShuttingDown, "the process must end in %d ms, before the request is expected to end",
		e.Left.Milliseconds()).WithRetryAfter(jitter(retryElsewhere))
}

// observeTime records how long a call has run. It also holds for calls that were given
// up: they take at least so long.
func (c *call) observeTime(a *Answer, now time.Time) {
	if a.HandOver != nil || a.Refusal != nil && a.Refusal.Outcome == verdict.NotRun {
		return
	}
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	c.stats.times.Observe(now.Sub(c.began))
}

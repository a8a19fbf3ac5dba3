package entry

import (
	"context"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/fanout"
	"github.com/sapphirewall/sapphirewall/internal/decide/snapshot"
	"github.com/sapphirewall/sapphirewall/internal/tables"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// routeRef is a route with the catalogue whose tables define it.
type routeRef struct {
	*tables.Route
	catalogue *catalogue
}

// isIdempotent reports whether a request of the route may be executed more than
// once.
func isIdempotent(r *tables.Route) bool {
	return r.Kind == tables.Query || r.Idempotent
}

// serve returns the answer to a request, or the verdict of its refusal.
func (s *Service) serve(ctx context.Context, req *request) (*answer, *verdict.Error) {
	if !time.Now().Before(req.deadline) {
		return nil, verdict.New(verdict.NotRun, verdict.Deadline, "the deadline leaves no time to answer")
	}
	if req.route.Kind == tables.Action {
		return s.serveAction(ctx, req)
	}
	return s.serveQuery(ctx, req)
}

// serveQuery fans a query out over the pinned snapshot. If replicas drop that
// snapshot meanwhile, it restarts the query once, on a newer snapshot.
func (s *Service) serveQuery(ctx context.Context, req *request) (*answer, *verdict.Error) {
	p, v := s.planQuery(ctx, req)
	if v != nil {
		return nil, v
	}
	restart := &restarter{service: s, req: req, start: time.Now(), floor: p.snapshot}
	cfg := fanout.Config{Idempotent: true, MinCovered: minCovered(req.route.Route, len(p.parts)), Restarter: restart}
	m := s.fanOut(ctx, req, p, cfg, nil)
	if m.NeedsRestart() {
		s.metrics.restarts.Add(1)
		p, _ = planQuery(req.route.catalogue, restart.pinned, time.Now(), req.id)
		cfg = fanout.Config{Idempotent: true, MinCovered: minCovered(req.route.Route, len(p.parts)), PriorVerdict: m.Verdict()}
		m = s.fanOut(ctx, req, p, cfg, nil)
	}
	return answerOf(req, p, m)
}

// minRestartTime is the minimum time before the deadline in which a query is
// restarted.
const minRestartTime = 5 * time.Millisecond

// restarter implements fanout.Restarter for one query.
type restarter struct {
	service *Service
	req     *request
	start   time.Time
	floor   uint64           // snapshot of the first fan-out; the next one must be newer
	pinned  *snapshot.Pinned // for the restart; set by CanRestart
}

// CanRestart implements fanout.Restarter. It expects the restarted query to take
// as long as the first fan-out has taken so far.
func (r *restarter) CanRestart(now time.Time) bool {
	left := r.req.deadline.Sub(now)
	if left < max(now.Sub(r.start), minRestartTime) {
		return false
	}
	r.pinned = r.req.route.catalogue.pinAbove(r.floor, r.req.route.Route, r.service.holdings)
	return r.pinned != nil && r.pinned.Full()
}

func (s *Service) planQuery(ctx context.Context, req *request) (*plan, *verdict.Error) {
	_, span := s.tracer.Start(ctx, "plan")
	defer span.End()
	c := req.route.catalogue
	return planQuery(c, c.pin(req.route.Route), time.Now(), req.id)
}

// serveAction dispatches an action to one replica. Unless the action is
// idempotent, it claims the idempotency key first.
func (s *Service) serveAction(ctx context.Context, req *request) (*answer, *verdict.Error) {
	if isIdempotent(req.route.Route) {
		return s.dispatch(ctx, req, nil)
	}
	fence, earlier, v := s.claim(ctx, req)
	if fence == nil {
		return earlier, v
	}
	a, v := s.dispatch(ctx, req, fence)
	s.reportOutcome(req, a, v)
	return a, v
}

// dispatch sends an action. An action that is not idempotent is retried only
// after attempts that were not executed.
func (s *Service) dispatch(ctx context.Context, req *request, fence *swpb.ClaimFence) (*answer, *verdict.Error) {
	if !time.Now().Before(req.deadline) {
		return nil, verdict.New(verdict.NotRun, verdict.Deadline, "the deadline passed before the action was sent")
	}
	p := planAction(req.route.catalogue, req.route.Route, req.key, time.Now(), req.id)
	m := s.fanOut(ctx, req, p, fanout.Config{Idempotent: isIdempotent(req.route.Route), MinCovered: 1}, fence)
	return answerOf(req, p, m)
}

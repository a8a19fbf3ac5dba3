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

// routeRef is a route with the catalogue that it was found in.
type routeRef struct {
	*tables.Route
	catalogue *catalogue
}

// isIdempotent reports whether a request of the route may run more than once.
func isIdempotent(r *tables.Route) bool {
	return r.Kind == tables.Query || r.Idempotent
}

// serve answers a request, or returns the verdict of its refusal.
func (s *Service) serve(ctx context.Context, req *request) (*answer, *verdict.Error) {
	if !time.Now().Before(req.deadline) {
		return nil, verdict.New(verdict.NotRun, verdict.Deadline, "the deadline leaves no time to answer")
	}
	if req.route.Kind == tables.Action {
		return s.serveAction(ctx, req)
	}
	return s.serveQuery(ctx, req)
}

// serveQuery fans a query out over the pinned snapshot. When that leaves
// beneath the query, it begins anew once, on a newer one.
func (s *Service) serveQuery(ctx context.Context, req *request) (*answer, *verdict.Error) {
	p, v := s.planQuery(ctx, req)
	if v != nil {
		return nil, v
	}
	again := &restarter{service: s, req: req, begin: time.Now(), floor: p.snapshot}
	cfg := fanout.Config{Idempotent: true, MinCovered: minCovered(req.route.Route, len(p.parts)), Restarter: again}
	m := s.fanOut(ctx, req, p, cfg, nil)
	if m.NeedsRestart() {
		s.metrics.restarts.Add(1)
		p, _ = planQuery(req.route.catalogue, again.next, time.Now(), req.id)
		cfg = fanout.Config{Idempotent: true, MinCovered: minCovered(req.route.Route, len(p.parts)), PriorVerdict: m.Verdict()}
		m = s.fanOut(ctx, req, p, cfg, nil)
	}
	return answerOf(req, p, m)
}

// minRestartTime is the least time left in which a query begins anew.
const minRestartTime = 5 * time.Millisecond

// restarter implements fanout.Restarter for one query.
type restarter struct {
	service *Service
	req     *request
	begin   time.Time
	floor   uint64
	next    *snapshot.Pinned
}

// CanRestart implements fanout.Restarter. A second run is expected to take as
// long as the first one took until now.
func (r *restarter) CanRestart(now time.Time) bool {
	left := r.req.deadline.Sub(now)
	if left < max(now.Sub(r.begin), minRestartTime) {
		return false
	}
	r.next = r.req.route.catalogue.pinAbove(r.floor, r.req.route.Route, r.service.holdings)
	return r.next != nil && r.next.Full()
}

func (s *Service) planQuery(ctx context.Context, req *request) (*plan, *verdict.Error) {
	_, span := s.tracer.Start(ctx, "plan")
	defer span.End()
	c := req.route.catalogue
	return planQuery(c, c.pin(req.route.Route), time.Now(), req.id)
}

// serveAction dispatches an action to one replica, under a claim of its key
// unless it may run more than once.
func (s *Service) serveAction(ctx context.Context, req *request) (*answer, *verdict.Error) {
	if isIdempotent(req.route.Route) {
		return s.dispatch(ctx, req, nil)
	}
	fence, known, v := s.claim(ctx, req)
	if fence == nil {
		return known, v
	}
	a, v := s.dispatch(ctx, req, fence)
	s.settle(req, a, v)
	return a, v
}

// dispatch sends an action. It is sent again only while no attempt has run.
func (s *Service) dispatch(ctx context.Context, req *request, fence *swpb.ClaimFence) (*answer, *verdict.Error) {
	if !time.Now().Before(req.deadline) {
		return nil, verdict.New(verdict.NotRun, verdict.Deadline, "the deadline passed before the action was sent")
	}
	p := planAction(req.route.catalogue, req.route.Route, req.key, time.Now(), req.id)
	m := s.fanOut(ctx, req, p, fanout.Config{Idempotent: isIdempotent(req.route.Route), MinCovered: 1}, fence)
	return answerOf(req, p, m)
}

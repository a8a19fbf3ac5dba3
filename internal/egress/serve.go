package egress

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/sapphirewall/sapphirewall/internal/telemetry"
	"github.com/sapphirewall/sapphirewall/internal/upstreamclient"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// cancelTimeout limits the cancellation of an attempt. Until the upstream has
// answered it, the attempt counts against the replica's limit.
const cancelTimeout = 500 * time.Millisecond

// The delays after which a rejected attempt may be retried.
const (
	notOwnerRetryAfter = 100 * time.Millisecond
	drainingRetryAfter = time.Second
	connectRetryAfter  = 200 * time.Millisecond
)

// maxClaimAge is the greatest age of a claim under which a part is executed. It
// is half of the time for which a claim is kept; the other half allows for
// clocks that differ.
const maxClaimAge = 5 * time.Minute

// isStale reports whether a claim may be removed soon, after which its request
// could be executed again under a new claim. This happens if the entry process
// is paused after the grant.
func isStale(c *swpb.ClaimFence, now time.Time) bool {
	granted := c.GetGrantedUnixMs()
	return granted != 0 && now.Sub(time.UnixMilli(int64(granted))) > maxClaimAge
}

// count adds one to a metric of the service.
func count(name string) { telemetry.Map("egress").Add(name, 1) }

// serve executes one part on the requested replica. The reply has either the
// result or a verdict, and the replica's load if this process owns the replica.
func (s *Service) serve(ctx context.Context, req *swpb.SubRequest) *swpb.SubReply {
	ctx, cancel := context.WithTimeout(s.tracer.Extract(ctx, req.GetTraceparent()), time.Duration(req.GetBudgetUs())*time.Microsecond)
	defer cancel()
	reply := &swpb.SubReply{RequestId: req.GetRequestId(), Attempt: req.GetAttempt()}
	r, err := s.admit(req)
	if err == nil {
		err = s.sendPart(ctx, r, req, reply)
	}
	if err != nil {
		v := verdict.Of(err)
		reply.Verdict = verdict.ToProto(v)
		count("refused_" + string(v.Cause))
	}
	if r != nil {
		reply.Load = r.load()
		reply.Snapshots = r.snapshotIDs()
	}
	return reply
}

// admit finds the replica and rejects what must not be sent to it.
func (s *Service) admit(req *swpb.SubRequest) (*replica, error) {
	r, listed := s.replicas.find(req.GetReplica())
	switch {
	case !listed:
		return nil, verdict.Newf(verdict.NotRun, verdict.NoReplica, "the tables name no upstream %q", req.GetReplica())
	case r == nil:
		return nil, verdict.Newf(verdict.NotRun, verdict.NotOwner, "%s does not own %s", s.settings.Node.ID, req.GetReplica()).WithRetryAfter(notOwnerRetryAfter)
	}
	cfg := r.config()
	switch {
	case cfg.zoneOut:
		return r, verdict.Newf(verdict.NotRun, verdict.ZoneOut, "availability zone %s is out", cfg.zone).WithRetryAfter(drainingRetryAfter)
	case r.draining():
		return r, verdict.Newf(verdict.NotRun, verdict.Draining, "%s takes no new work", r.id).WithRetryAfter(drainingRetryAfter)
	case isStale(req.GetClaim(), time.Now()):
		return r, verdict.New(verdict.NotRun, verdict.ClaimUnavailable, "the claim is too old to send under").WithRetryAfter(drainingRetryAfter)
	case req.GetBudgetUs() == 0:
		return r, verdict.New(verdict.NotRun, verdict.Deadline, "no budget left")
	}
	return r, s.suspects.refuse(req.GetFingerprint())
}

// sendPart waits for a slot and a connection, executes the part and fills the
// reply.
func (s *Service) sendPart(ctx context.Context, r *replica, req *swpb.SubRequest, reply *swpb.SubReply) error {
	sl, conn, err := s.connect(ctx, r)
	if err != nil {
		return err
	}
	answer, err := s.execute(ctx, r, sl, conn, req)
	if err != nil {
		return err
	}
	reply.Snapshot = answer.Snapshot
	reply.Range = &swpb.KeyRange{Lo: answer.Range.Lo, Hi: answer.Range.Hi}
	reply.Payload = answer.Payload
	return nil
}

// connect acquires a slot and a connection. Its errors have the outcome NotRun.
func (s *Service) connect(ctx context.Context, r *replica) (slot, *upstreamclient.Conn, error) {
	ctx, span := s.tracer.Start(ctx, "connection wait", trace.WithAttributes(attribute.String("replica", r.id)))
	defer span.End()
	deadline, _ := ctx.Deadline()
	sl, err := r.gate.acquire(ctx, time.Until(deadline))
	if err != nil {
		return sl, nil, err
	}
	conn, err := r.conns.get(ctx)
	if err != nil {
		r.gate.release(sl, 0, verdict.Of(err))
		return sl, nil, err
	}
	return sl, conn, nil
}

// execute sends the part to the upstream and records the result.
func (s *Service) execute(ctx context.Context, r *replica, sl slot, conn *upstreamclient.Conn, req *swpb.SubRequest) (upstreamclient.Answer, error) {
	ctx, span := s.tracer.Start(ctx, "upstream", trace.WithAttributes(
		attribute.String("replica", r.id), attribute.Int64("attempt", int64(req.GetAttempt())), attribute.Bool("hedge", req.GetHedge()),
	))
	defer span.End()
	deadline, _ := ctx.Deadline()
	attempt := &upstreamclient.Attempt{
		RequestID: req.GetRequestId(), Number: req.GetAttempt(), Route: req.GetRoute(), Pool: req.GetPool(),
		Snapshot: req.GetSnapshot(), Budget: time.Until(deadline), Idempotent: req.GetIdempotent(),
		Traceparent: s.tracer.Inject(ctx), Payload: req.GetPayload(),
	}
	startID := r.currentStartID()
	row := s.stats.start(r.config(), req.GetRoute())
	startTime := time.Now()
	answer, report, err := s.callWithRetry(ctx, r, conn, attempt)
	elapsed := time.Since(startTime)
	v := verdict.Of(err)
	row.end(elapsed, v, r.warming(startTime))
	r.recordLatency(elapsed, v)
	r.recordEvidence(req.GetFingerprint(), startID, v)
	if r.applyReport(&report) {
		s.replicas.publish()
	}
	if v != nil && v.Outcome == verdict.MayHaveRun && (ctx.Err() != nil || v.Cause == verdict.ConnectionSilent) {
		s.background(func() { s.cancelAttempt(r, sl, elapsed, v, attempt) })
		return answer, err
	}
	r.gate.release(sl, elapsed, v)
	return answer, err
}

// cancelAttempt cancels an attempt at the upstream, or its retry if there was
// one, and then releases its slot.
func (s *Service) cancelAttempt(r *replica, sl slot, elapsed time.Duration, v *verdict.Error, attempt *upstreamclient.Attempt) {
	defer r.gate.release(sl, elapsed, v)
	ctx, cancel := context.WithTimeout(s.ctx, cancelTimeout)
	defer cancel()
	count("cancelled")
	if err := r.conns.cancel(ctx, attempt.RequestID, attempt.Number); err != nil {
		count("cancel_failed")
	}
}

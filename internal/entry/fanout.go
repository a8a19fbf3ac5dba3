package entry

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/sapphirewall/sapphirewall/internal/decide/fanout"
	"github.com/sapphirewall/sapphirewall/internal/membudget"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// request is one caller's request in flight.
type request struct {
	id          string
	route       *routeRef
	body        []byte
	account     *membudget.Account // an attempt retains it until it has ended
	key         string             // idempotency key
	fingerprint uint64             // hash of route and body
	deadline    time.Time
}

// fanOutRun is one fan-out of a request in progress.
type fanOutRun struct {
	service *Service
	req     *request
	plan    *plan
	fence   *swpb.ClaimFence
	ctx     context.Context
	machine *fanout.Machine
	replies chan fanout.Reply
	cancels map[attemptKey]context.CancelFunc
}

// attemptKey identifies an attempt.
type attemptKey struct {
	part    int
	attempt uint32
}

// fanOut sends the parts of a plan and returns the machine once every part has
// ended, at the latest at the request's deadline.
func (s *Service) fanOut(ctx context.Context, req *request, p *plan, cfg fanout.Config, fence *swpb.ClaimFence) *fanout.Machine {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	cfg.RequestID = req.id
	cfg.Parts = p.parts
	cfg.Snapshot = p.snapshot
	cfg.Deadline = req.deadline
	cfg.Chooser = &chooser{service: s, plan: p, owners: req.route.catalogue.owners}
	cfg.Retrier = s.retryBudgets
	if s.opts.Hedging && cfg.Idempotent {
		cfg.Hedger = s.hedgers
		s.hedgers.countFirst(p.parts)
	}
	s.retryBudgets.countFirst(p.parts)
	r := &fanOutRun{
		service: s, req: req, plan: p, fence: fence, ctx: ctx,
		machine: fanout.New(cfg),
		replies: make(chan fanout.Reply, len(p.parts)),
		cancels: make(map[attemptKey]context.CancelFunc, len(p.parts)),
	}
	r.loop()
	s.metrics.countFanout(r.machine.Counts())
	return r.machine
}

// loop passes replies and timer events to the machine until it is done.
func (r *fanOutRun) loop() {
	r.apply(r.machine.Start(time.Now()))
	timer := time.NewTimer(0)
	defer timer.Stop()
	for !r.machine.Done() {
		timer.Reset(time.Until(r.machine.NextTimer()))
		select {
		case reply := <-r.replies:
			r.apply(r.machine.OnReply(time.Now(), reply))
		case <-timer.C:
			r.apply(r.machine.OnTimer(time.Now()))
		}
	}
}

func (r *fanOutRun) apply(actions []fanout.Action) {
	for _, a := range actions {
		key := attemptKey{a.Part, a.Attempt}
		switch a.Kind {
		case fanout.Send:
			ctx, cancel := context.WithCancel(r.ctx)
			r.cancels[key] = cancel
			r.req.account.Retain()
			go r.send(ctx, a)
		case fanout.Cancel:
			r.cancels[key]()
		}
	}
}

// send makes one attempt and passes its reply to the loop, unless the fan-out has
// ended.
func (r *fanOutRun) send(ctx context.Context, a fanout.Action) {
	defer r.req.account.Release()
	reply := r.attempt(ctx, a)
	select {
	case r.replies <- reply:
	case <-r.ctx.Done():
	}
}

// attempt makes one attempt through the replica's owner and records its result
// for the choice of replicas and for hedging.
func (r *fanOutRun) attempt(ctx context.Context, a fanout.Action) fanout.Reply {
	ctx, span := r.service.tracer.Start(ctx, "sub-request", trace.WithAttributes(
		attribute.String("pool", r.plan.parts[a.Part].Pool),
		attribute.String("replica", a.Replica),
		attribute.Int("attempt", int(a.Attempt)),
	))
	defer span.End()
	target := r.plan.findReplica(a.Part, a.Replica)
	target.ownInFlight.Add(1)
	defer target.ownInFlight.Add(-1)
	begin := time.Now()
	sub, err := r.call(ctx, a, target)
	now := time.Now()
	r.service.hedgers.observe(r.plan.parts[a.Part].Pool, a, now.Sub(begin), err, sub.GetLoad())
	if err != nil {
		v := verdict.Of(err)
		span.SetAttributes(attribute.String("verdict", v.Error()))
		target.onFailure(now, now.Sub(begin), v)
		if v.Cause == verdict.SnapshotGone && r.plan.snapshot != 0 {
			r.service.holdings.removeSnapshot(r.plan.parts[a.Part].Pool, a.Replica, r.plan.snapshot)
		}
		return fanout.Reply{Part: a.Part, Attempt: a.Attempt, Verdict: v}
	}
	target.onReply(now, now.Sub(begin), sub.GetLoad())
	return fanout.Reply{
		Part: a.Part, Attempt: a.Attempt,
		RequestID: sub.GetRequestId(), EchoAttempt: sub.GetAttempt(), Snapshot: sub.GetSnapshot(),
		Lo: sub.GetRange().GetLo(), Hi: sub.GetRange().GetHi(), Payload: sub.GetPayload(),
		Verdict: checkPayload(r.req.route.Merge, sub.GetPayload()),
	}
}

// call sends the sub-request to the owner of target. A verdict in the reply is
// returned as an error.
func (r *fanOutRun) call(ctx context.Context, a fanout.Action, target *replica) (*swpb.SubReply, error) {
	s := r.service
	addr := r.req.route.catalogue.owners.addr(target.id, target.zone)
	if addr == "" {
		return nil, verdict.Newf(verdict.NotRun, verdict.NoReplica, "no egress process is known for %s", target.id)
	}
	part := &r.plan.parts[a.Part]
	sub := &swpb.SubRequest{
		RequestId: r.req.id, Attempt: a.Attempt, Route: r.req.route.Name, Pool: part.Pool,
		Replica: a.Replica, Shard: part.Shard, Snapshot: r.plan.snapshot,
		BudgetUs:   uint64(max(0, time.Until(r.req.deadline)) / time.Microsecond),
		Idempotent: isIdempotent(r.req.route.Route), Traceparent: s.tracer.Inject(ctx),
		Revision: r.req.route.catalogue.state.Tables.Revision, Payload: r.req.body,
		Fingerprint: r.req.fingerprint, Hedge: a.Hedge, Claim: r.fence,
	}
	env, err := s.peers.Get(addr).Call(ctx, &swpb.Envelope{Body: &swpb.Envelope_SubRequest{SubRequest: sub}})
	if err != nil {
		if verdict.Of(err).Cause == verdict.PeerLost {
			s.unreachable.mark(time.Now(), addr)
		}
		return nil, err
	}
	reply := env.GetSubReply()
	if reply == nil {
		return nil, verdict.New(verdict.MayHaveRun, verdict.BadAnswer, "the owner's reply is of another kind")
	}
	if v := verdict.FromProto(reply.GetVerdict()); v != nil {
		target.applyLoad(time.Now(), reply.GetLoad())
		return nil, v
	}
	return reply, nil
}

// findReplica returns the replica of a part by its ID, or nil.
func (p *plan) findReplica(part int, id string) *replica {
	for _, r := range p.replicas[part] {
		if r.id == id {
			return r
		}
	}
	return nil
}

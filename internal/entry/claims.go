package entry

import (
	"context"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/claim"
	"github.com/sapphirewall/sapphirewall/internal/decide/coverage"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// The times of claims.
const (
	// maxClaimTime and half of the time left bound the wait for a claim.
	maxClaimTime = time.Second
	// settleTimeout bounds the background call that tells an outcome.
	settleTimeout = 2 * time.Second
	// claimRetry is the advice when a claim can't be made.
	claimRetry = 500 * time.Millisecond
)

// claim asks the owner of the key's range for the right to dispatch req. It
// returns the fence of a claim, or the answer of an earlier request under the
// same key, or a refusal. Without a fence nothing must be dispatched.
func (s *Service) claim(ctx context.Context, req *request) (*swpb.ClaimFence, *answer, *verdict.Error) {
	ctx, span := s.tracer.Start(ctx, "claim")
	defer span.End()
	wait := min(time.Until(req.deadline)/2, maxClaimTime)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	reply, err := s.askClaim(ctx, req)
	if err != nil {
		// An owner may have stored the claim; nobody will dispatch under it.
		s.tell(req, &swpb.ClaimRequest{Outcome: swpb.Outcome_OUTCOME_NOT_RUN})
		v := verdict.Newf(verdict.NotRun, verdict.ClaimUnavailable, "no claim of the idempotency key: %v", err)
		return nil, nil, v.WithRetryAfter(claimRetry)
	}
	if v := verdict.FromProto(reply.GetVerdict()); v != nil {
		return nil, nil, v
	}
	if reply.GetKnown() {
		a, v := knownAnswer(req, reply)
		return nil, a, v
	}
	return reply.GetFence(), nil, nil
}

// askClaim asks the owner of the range, again if its reply was lost, then the
// ones that take over, of which each is told that those before it were tried.
// All asks are for the same request, so that a claim stored by one of them is
// granted by the next.
func (s *Service) askClaim(ctx context.Context, req *request) (*swpb.ClaimReply, error) {
	var err error = verdict.New(verdict.NotRun, verdict.ClaimUnavailable, "no control process is known")
	for rank, addr := range req.route.catalogue.controls.ranked(claim.RangeOf(req.key)) {
		var reply *swpb.ClaimReply
		reply, err = s.callClaim(ctx, addr, req, &swpb.ClaimRequest{Rank: uint32(rank)})
		if err != nil && ctx.Err() == nil && verdict.Of(err).Outcome != verdict.NotRun {
			reply, err = s.callClaim(ctx, addr, req, &swpb.ClaimRequest{Rank: uint32(rank)})
		}
		if err == nil || ctx.Err() != nil {
			return reply, err
		}
	}
	return nil, err
}

// callClaim sends one ClaimRequest about req.
func (s *Service) callClaim(ctx context.Context, addr string, req *request, c *swpb.ClaimRequest) (*swpb.ClaimReply, error) {
	deadline, _ := ctx.Deadline()
	c.Key, c.RequestId, c.Fingerprint = req.key, req.id, req.fingerprint
	c.BudgetUs = uint64(max(0, time.Until(deadline)) / time.Microsecond)
	env, err := s.peers.Get(addr).Call(ctx, &swpb.Envelope{Body: &swpb.Envelope_ClaimRequest{ClaimRequest: c}})
	if err != nil {
		return nil, err
	}
	reply := env.GetClaimReply()
	if reply == nil || (!c.GetSettle() && !isWhole(reply)) {
		return nil, verdict.New(verdict.MayHaveRun, verdict.BadAnswer, "the owner's reply to a claim is not whole")
	}
	return reply, nil
}

// isWhole reports whether a reply says exactly one thing.
func isWhole(r *swpb.ClaimReply) bool {
	n := 0
	for _, said := range []bool{r.GetVerdict() != nil, r.GetKnown(), r.GetGranted() && r.GetFence() != nil} {
		if said {
			n++
		}
	}
	return n == 1
}

// knownAnswer is what an earlier request under the same key came to.
func knownAnswer(req *request, reply *swpb.ClaimReply) (*answer, *verdict.Error) {
	if reply.GetOutcome() != swpb.Outcome_OUTCOME_UNSPECIFIED {
		return nil, verdict.New(verdict.RanFailed, verdict.DuplicateKey, "the request with this key ran and failed")
	}
	if reply.GetReplyLost() {
		return nil, verdict.New(verdict.MayHaveRun, verdict.DuplicateKey, "the request with this key ran and succeeded; its answer is too large to be kept")
	}
	return &answer{
		merge:    req.route.Merge,
		snapshot: reply.GetSnapshot(),
		revision: req.route.catalogue.state.Tables.Revision,
		coverage: coverage.Coverage{Covered: 1, Total: 1},
		payloads: [][]byte{reply.GetReply()},
		repeated: true,
	}, nil
}

// settle tells the owner how a claimed request ended. One that may have run
// stays claimed.
func (s *Service) settle(req *request, a *answer, v *verdict.Error) {
	c := &swpb.ClaimRequest{}
	switch {
	case v == nil:
		c.Snapshot, c.Reply = a.snapshot, a.payloads[0]
	case v.Outcome == verdict.NotRun:
		c.Outcome = swpb.Outcome_OUTCOME_NOT_RUN
	case v.Outcome == verdict.RanFailed:
		c.Outcome = swpb.Outcome_OUTCOME_RAN_FAILED
	default:
		return
	}
	s.tell(req, c)
}

// tell sends a settlement in the background, to the first owner that takes it.
func (s *Service) tell(req *request, c *swpb.ClaimRequest) {
	if len(c.GetReply()) > claim.MaxReplyBytes {
		c.Reply = append([]byte(nil), c.GetReply()[:claim.MaxReplyBytes+1]...) // the owner drops what is too large
	}
	addrs := req.route.catalogue.controls.ranked(claim.RangeOf(req.key))
	s.work.Add(1)
	go func() {
		defer s.work.Done()
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		for rank, addr := range addrs {
			m := &swpb.ClaimRequest{Rank: uint32(rank), Settle: true, Outcome: c.GetOutcome(), Snapshot: c.GetSnapshot(), Reply: c.GetReply()}
			if _, err := s.callClaim(ctx, addr, req, m); err == nil {
				return
			}
		}
		s.log.Debug().Str("request_id", req.id).Msg("no owner took the outcome of a claimed request")
	}()
}

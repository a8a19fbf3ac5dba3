package entry

import (
	"context"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/claim"
	"github.com/sapphirewall/sapphirewall/internal/decide/coverage"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// The timing of claims.
const (
	// maxClaimWait limits the wait for a claim, and so does half of the time until
	// the deadline.
	maxClaimWait = time.Second
	// outcomeTimeout limits the background calls that report an outcome.
	outcomeTimeout = 2 * time.Second
	// claimRetryAfter is the retry time advised when a claim can't be made.
	claimRetryAfter = 500 * time.Millisecond
)

// claim requests a claim of req's idempotency key from the owner of the key's
// range. It returns the fence of the claim, the answer to an earlier request with
// the same key, or a refusal. Without a fence req must not be dispatched.
func (s *Service) claim(ctx context.Context, req *request) (*swpb.ClaimFence, *answer, *verdict.Error) {
	ctx, span := s.tracer.Start(ctx, "claim")
	defer span.End()
	wait := min(time.Until(req.deadline)/2, maxClaimWait)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	reply, err := s.requestClaim(ctx, req)
	if err != nil {
		// An owner may have stored the claim; release it, since req is not
		// dispatched.
		s.sendOutcome(req, &swpb.ClaimRequest{Outcome: swpb.Outcome_OUTCOME_NOT_RUN})
		v := verdict.Newf(verdict.NotRun, verdict.ClaimUnavailable, "no claim of the idempotency key: %v", err)
		return nil, nil, v.WithRetryAfter(claimRetryAfter)
	}
	if v := verdict.FromProto(reply.GetVerdict()); v != nil {
		return nil, nil, v
	}
	if reply.GetKnown() {
		a, v := earlierAnswer(req, reply)
		return nil, a, v
	}
	return reply.GetFence(), nil, nil
}

// requestClaim sends the claim request to the processes that may own the range, in
// order of rank, until one replies. Each is called once more if its reply was
// lost. The rank is the number of owners that were tried before. All calls
// carry the same request ID, so that a claim stored by one of them is granted by
// the next.
func (s *Service) requestClaim(ctx context.Context, req *request) (*swpb.ClaimReply, error) {
	var err error = verdict.New(verdict.NotRun, verdict.ClaimUnavailable, "no control process is known")
	for rank, addr := range req.route.catalogue.controls.ranked(claim.RangeOf(req.key)) {
		var reply *swpb.ClaimReply
		reply, err = s.sendClaimRequest(ctx, addr, req, &swpb.ClaimRequest{Rank: uint32(rank)})
		if err != nil && ctx.Err() == nil && verdict.Of(err).Outcome != verdict.NotRun {
			reply, err = s.sendClaimRequest(ctx, addr, req, &swpb.ClaimRequest{Rank: uint32(rank)})
		}
		if err == nil || ctx.Err() != nil {
			return reply, err
		}
	}
	return nil, err
}

// sendClaimRequest fills in req's key, ID and fingerprint and makes one call.
func (s *Service) sendClaimRequest(ctx context.Context, addr string, req *request, c *swpb.ClaimRequest) (*swpb.ClaimReply, error) {
	deadline, _ := ctx.Deadline()
	c.Key, c.RequestId, c.Fingerprint = req.key, req.id, req.fingerprint
	c.BudgetUs = uint64(max(0, time.Until(deadline)) / time.Microsecond)
	env, err := s.peers.Get(addr).Call(ctx, &swpb.Envelope{Body: &swpb.Envelope_ClaimRequest{ClaimRequest: c}})
	if err != nil {
		return nil, err
	}
	reply := env.GetClaimReply()
	if reply == nil || (!c.GetSettle() && !isValidClaimReply(reply)) {
		return nil, verdict.New(verdict.MayHaveRun, verdict.BadAnswer, "the owner's reply to a claim is not whole")
	}
	return reply, nil
}

// isValidClaimReply reports whether a reply states exactly one result: a verdict,
// a known outcome or a granted claim.
func isValidClaimReply(r *swpb.ClaimReply) bool {
	n := 0
	for _, set := range []bool{r.GetVerdict() != nil, r.GetKnown(), r.GetGranted() && r.GetFence() != nil} {
		if set {
			n++
		}
	}
	return n == 1
}

// earlierAnswer returns the outcome of an earlier request with the same key.
func earlierAnswer(req *request, reply *swpb.ClaimReply) (*answer, *verdict.Error) {
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

// reportOutcome reports the outcome of a claimed request to the owner of the range.
// A request that may have been executed stays claimed.
func (s *Service) reportOutcome(req *request, a *answer, v *verdict.Error) {
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
	s.sendOutcome(req, c)
}

// sendOutcome sends the outcome of a claimed request in the background, to the
// first owner that accepts it.
func (s *Service) sendOutcome(req *request, c *swpb.ClaimRequest) {
	if len(c.GetReply()) > claim.MaxReplyBytes {
		c.Reply = append([]byte(nil), c.GetReply()[:claim.MaxReplyBytes+1]...) // enough for the owner to see that the reply is too large to store
	}
	addrs := req.route.catalogue.controls.ranked(claim.RangeOf(req.key))
	s.background.Add(1)
	go func() {
		defer s.background.Done()
		ctx, cancel := context.WithTimeout(context.Background(), outcomeTimeout)
		defer cancel()
		for rank, addr := range addrs {
			m := &swpb.ClaimRequest{Rank: uint32(rank), Settle: true, Outcome: c.GetOutcome(), Snapshot: c.GetSnapshot(), Reply: c.GetReply()}
			if _, err := s.sendClaimRequest(ctx, addr, req, m); err == nil {
				return
			}
		}
		s.log.Debug().Str("request_id", req.id).Msg("no owner accepted the outcome of a claimed request")
	}()
}

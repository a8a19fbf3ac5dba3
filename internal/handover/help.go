package handover

import (
	"context"
	"strings"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/direct"
	"github.com/sapphirewall/sapphirewall/internal/membudget"
	"github.com/sapphirewall/sapphirewall/internal/peer"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

const (
	// maxBusy is the number of requests of other VMs that a VM serves at a time. Less
	// urgent ones are taken up to half of it for each step in priority, so that own
	// callers and urgent requests don't wait for them.
	maxBusy = 128
	// retryBusy is when a request that found this VM busy may come again.
	retryBusy = 300 * time.Millisecond
)

// Handle answers the calls of other VMs, or returns nil if a call is of another kind.
func (s *Service) Handle(ctx context.Context, from peer.Identity, env *swpb.Envelope) *swpb.Envelope {
	switch {
	case env.GetReachRequest() != nil:
		return &swpb.Envelope{Body: &swpb.Envelope_ReachReply{ReachReply: s.Reach()}}
	case env.GetHandoverRequest() != nil:
		return &swpb.Envelope{Body: &swpb.Envelope_HandoverReply{HandoverReply: s.Help(ctx, from.Node, env.GetHandoverRequest())}}
	}
	return nil
}

// Reach answers the question whether this VM can help.
func (s *Service) Reach() *swpb.ReachReply {
	reply := &swpb.ReachReply{Busy: uint32(s.busy.Load()), CutOff: s.cfg.Draining()}
	if cuts := s.cut.Load(); cuts != nil {
		reply.CutOff = reply.CutOff || cuts.All
		for _, pools := range []map[string]bool{cuts.Pools, cuts.Degraded} {
			for pool := range pools {
				reply.LostPools = append(reply.LostPools, pool)
			}
		}
	}
	return reply
}

// Help serves a request of another VM. It isn't handed on: if this VM loses the replicas
// meanwhile, it goes back to the other one.
func (s *Service) Help(ctx context.Context, from string, r *swpb.HandoverRequest) *swpb.HandoverReply {
	now := time.Now()
	req := fromProto(now, r, s.cfg.Split)
	req.Uncertain = s.tier.Stalled(now)
	req.Path, _, _ = strings.Cut(req.Target, "?")
	req.Disconnected = ctx.Done()
	if v := s.admit(req); v != nil {
		s.metrics.Add("refused_"+string(v.Cause), 1)
		return &swpb.HandoverReply{Refusal: verdict.ToProto(v)}
	}
	defer s.busy.Add(-1)
	account, v := s.draw(from, r)
	if v != nil {
		s.metrics.Add("refused_bytes", 1)
		return &swpb.HandoverReply{Refusal: verdict.ToProto(v)}
	}
	req.Account = account
	if !peer.AfterWrite(ctx, account.Release) {
		defer account.Release()
	}
	s.metrics.Add("served", 1)
	s.log.Info("handover").Str("id", req.ID).Str("from", from).Dur("age", time.Since(req.Arrived)).Msg("request of another VM")
	s.mu.Lock()
	req.Leave, req.MayHandOver = s.leave, true
	s.mu.Unlock()
	return replyToProto(s.tier.Serve(req))
}

// fieldBytes is what a decoded header field takes besides its text.
const fieldBytes = 128

// draw draws what a request of another VM takes, or returns why it isn't taken.
func (s *Service) draw(from string, r *swpb.HandoverRequest) (*membudget.Account, *verdict.Error) {
	account, ok := s.cfg.Budget.Open(from)
	if ok && account.Take(len(r.GetBody())+len(r.GetHeader())*fieldBytes) {
		return account, nil
	}
	account.Release()
	return nil, verdict.New(verdict.NotRun, verdict.Overload, "the VM has no memory left for requests of others").WithRetryAfter(retryBusy)
}

// admit counts a request of another VM, or returns why it isn't taken.
func (s *Service) admit(req *direct.Request) *verdict.Error {
	cuts := s.cut.Load()
	if s.cfg.Draining() {
		return verdict.New(verdict.NotRun, verdict.ShuttingDown, "the VM takes no more requests of others")
	}
	if need, ok := s.tier.NeedOf(req); ok && cuts != nil && !need.ServableWithout(cuts.Has) {
		return verdict.New(verdict.NotRun, verdict.PeerLost, "the VM is cut off from replicas itself")
	}
	priority, most := s.tier.Priority(req)
	if s.busy.Add(1) > maxBusy>>min(priority-most, 6) {
		s.busy.Add(-1)
		return verdict.New(verdict.NotRun, verdict.Overload, "the VM serves many requests of others").WithRetryAfter(retryBusy)
	}
	return nil
}

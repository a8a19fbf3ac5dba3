package control

import (
	"context"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/fleetstate"
	"github.com/sapphirewall/sapphirewall/internal/kernel"
	"github.com/sapphirewall/sapphirewall/internal/peer"
	"github.com/sapphirewall/sapphirewall/internal/tables"
	"github.com/sapphirewall/sapphirewall/internal/telemetry"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// maxPollWait is the longest time that a poll may wait for a change.
const maxPollWait = 30 * time.Second

// Handle implements peer.Handler.
func (s *Service) Handle(ctx context.Context, from peer.Identity, req *swpb.Envelope) (*swpb.Envelope, error) {
	switch body := req.GetBody().(type) {
	case *swpb.Envelope_FeedRequest:
		return s.handleFeed(ctx, from, body.FeedRequest)
	case *swpb.Envelope_Heartbeat:
		reply := s.members.handleHeartbeat(ctx, body.Heartbeat)
		return &swpb.Envelope{Body: &swpb.Envelope_HeartbeatReply{HeartbeatReply: reply}}, nil
	case *swpb.Envelope_StatusRequest:
		return &swpb.Envelope{Body: &swpb.Envelope_StatusReply{StatusReply: s.status()}}, nil
	case *swpb.Envelope_StatsReport:
		return s.handleStats(from, body.StatsReport)
	case *swpb.Envelope_ClaimRequest:
		claims, err := kernel.Lookup[peer.Handler](s.kernel, ServiceClaims)
		if err != nil {
			return nil, verdict.New(verdict.NotRun, verdict.ClaimUnavailable, "this process keeps no claims")
		}
		return claims.Handle(ctx, from, req)
	}
	return nil, verdict.New(verdict.NotRun, verdict.BadRequest, "call of an unknown kind")
}

// handleStats passes a statistics report to the service named ServiceRollout.
func (s *Service) handleStats(from peer.Identity, r *swpb.StatsReport) (*swpb.Envelope, error) {
	rollout, err := kernel.Lookup[Reporter](s.kernel, ServiceRollout)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.NotReady, "this process judges no rollouts")
	}
	return &swpb.Envelope{Body: &swpb.Envelope_StatsReply{StatsReply: rollout.Report(from, r)}}, nil
}

// handleFeed answers a long poll as soon as this node has something that the
// requester lacks, or when its wait has passed.
func (s *Service) handleFeed(ctx context.Context, from peer.Identity, r *swpb.FeedRequest) (*swpb.Envelope, error) {
	if from.Node == s.cfg.Node && len(r.GetRoles()) > 0 {
		defer s.procs.startPoll(r.GetRoles())()
	}
	timer := time.NewTimer(min(maxPollWait, time.Duration(r.GetWaitUs())*time.Microsecond))
	defer timer.Stop()
	expired := false
	for {
		current, changed := s.currentAndChange()
		if expired || s.hasUpdate(current, r) {
			return &swpb.Envelope{Body: &swpb.Envelope_FeedReply{FeedReply: s.feedReply(current, r)}}, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-s.stopping:
			return nil, verdict.New(verdict.NotRun, verdict.ShuttingDown, "this control process stops")
		case <-ctx.Done():
			return nil, verdict.New(verdict.NotRun, verdict.Cancelled, "poll was given up")
		}
	}
}

// hasUpdate reports whether the requester lacks something of st.
func (s *Service) hasUpdate(st *fleetstate.State, r *swpb.FeedRequest) bool {
	if st.Tables != nil && st.Tables.Revision > r.GetHaveRevision() {
		return true
	}
	if r.GetTablesOnly() {
		return drainingHash(st.Draining) != r.GetHaveSigns()
	}
	return st.Version != r.GetHaveView()
}

// feedReply returns what the requester lacks of st.
func (s *Service) feedReply(st *fleetstate.State, r *swpb.FeedRequest) *swpb.FeedReply {
	reply := &swpb.FeedReply{ViewVersion: st.Version, PlatformUp: s.tableSync.isPlatformUp()}
	if t := st.Tables; t != nil {
		reply.Revision, reply.EditId = t.Revision, t.EditID
		if t.Revision > r.GetHaveRevision() {
			s.addTables(reply, t, r)
		}
	}
	reply.SignsHash = drainingHash(st.Draining)
	if r.GetTablesOnly() {
		if reply.GetSignsHash() != r.GetHaveSigns() {
			reply.Signs = drainingToProto(st.Draining)
		}
		return reply
	}
	if st.Version != r.GetHaveView() {
		reply.HasMembers = true
		reply.Signs = drainingToProto(st.Draining)
		for _, m := range st.Members {
			reply.Members = append(reply.Members, fleetstate.MemberToProto(m))
		}
		for _, stage := range st.Stages {
			reply.Stages = append(reply.Stages, fleetstate.StageToProto(stage))
		}
		for _, veto := range st.Vetoes {
			reply.Vetoes = append(reply.Vetoes, fleetstate.VetoToProto(veto))
		}
	}
	return reply
}

// addTables adds the text of the tables, or the delta to it if the requester accepts
// one and this node still has the requester's text.
func (s *Service) addTables(reply *swpb.FeedReply, t *tables.Tables, r *swpb.FeedRequest) {
	if cached, ok := s.tableSync.texts.get(t.Revision); ok {
		reply.TablesSha256 = cached.offer.Digest[:]
	}
	if r.GetTakesDelta() {
		if d, ok := s.tableSync.texts.delta(r.GetHaveRevision(), t.Revision); ok {
			reply.TablesDelta = d
			telemetry.Map(Name).Add("deltas_sent", 1)
			return
		}
	}
	reply.Tables = t.Text
}

func (s *Service) status() *swpb.StatusReply {
	st := s.Current()
	reply := &swpb.StatusReply{Node: s.cfg.Node, PlatformUp: s.tableSync.isPlatformUp(), Relay: s.tableSync.isRelay()}
	if st.Tables != nil {
		reply.Revision, reply.EditId = st.Tables.Revision, st.Tables.EditID
	}
	for _, m := range s.members.list() {
		reply.Members = append(reply.Members, fleetstate.MemberToProto(m))
	}
	for _, veto := range s.vetoes.all() {
		reply.Vetoes = append(reply.Vetoes, fleetstate.VetoToProto(veto))
	}
	if r, err := kernel.Lookup[StatusReporter](s.kernel, ServiceRollout); err == nil {
		reply.Rollouts = r.RolloutStatus()
	}
	return reply
}

package storerelay

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/boottime"
	"github.com/sapphirewall/sapphirewall/internal/peer"
	"github.com/sapphirewall/sapphirewall/internal/platform"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// handle answers a request of another VM. It answers a store request from the mirror only if
// this VM reads the prefix from the store itself: through a chain of VMs a reply
// could be out of date.
func (s *Service) handle(ctx context.Context, from peer.Identity, env *swpb.Envelope) (*swpb.Envelope, error) {
	if r := env.GetRolloutReport(); r != nil && s.onRolloutReport != nil {
		return &swpb.Envelope{Body: &swpb.Envelope_RolloutGuidance{RolloutGuidance: s.onRolloutReport(r)}}, nil
	}
	if x := env.GetUsageExchange(); x != nil && s.onUsage != nil {
		return &swpb.Envelope{Body: &swpb.Envelope_UsageExchange{UsageExchange: s.onUsage(x)}}, nil
	}
	if s.onCall != nil {
		if reply := s.onCall(ctx, from, env); reply != nil {
			return reply, nil
		}
	}
	if x := env.GetLimitExchange(); x != nil && s.onLimits != nil {
		return &swpb.Envelope{Body: &swpb.Envelope_LimitExchange{LimitExchange: s.onLimits(x)}}, nil
	}
	if x := env.GetEvidenceExchange(); x != nil && s.onEvidence != nil {
		return &swpb.Envelope{Body: &swpb.Envelope_EvidenceExchange{EvidenceExchange: s.onEvidence(x)}}, nil
	}
	if r := env.GetStorePieceRequest(); r != nil {
		return &swpb.Envelope{Body: &swpb.Envelope_StorePiece{StorePiece: s.pieceOf(ctx, from.Node, r)}}, nil
	}
	req := env.GetStoreRequest()
	s.mu.Lock()
	m := s.mirrors[req.GetPrefix()]
	authoritative := (s.reader || s.substitute) && s.authoritative[req.GetPrefix()]
	unavailable := s.reader && s.unavailable
	nodes := slices.Clone(s.nodes)
	s.mu.Unlock()
	reply := &swpb.StoreReply{Status: swpb.StoreStatus_STORE_STATUS_NO_RELAY}
	arrived := boottime.Now()
	if m != nil && authoritative {
		reply = readMirror(ctx, m, req, arrived)
		unavailable = unavailable || s.storeUnavailable() // since the poll began
	}
	if m != nil && reply.GetStatus() == swpb.StoreStatus_STORE_STATUS_NO_RELAY && req.GetRecall() {
		reply = lastKnownReply(m)
	}
	if m != nil {
		s.packReply(ctx, from.Node, m, req, reply)
	}
	reply.StoreUnavailable = unavailable && !hasStore(reply)
	if req.GetSnapshot() {
		s.reportNodes([]*swpb.StoreNode{req.GetAsker()})
		for _, n := range append(nodes, s.self) {
			reply.Nodes = append(reply.Nodes, toNode(n))
		}
	}
	return &swpb.Envelope{Body: &swpb.Envelope_StoreReply{StoreReply: reply}}, nil
}

// OnRolloutReport sets the function that answers the reports of other VMs on rollouts,
// which share the sessions of this service. It must be called before Start.
func (s *Service) OnRolloutReport(fn func(*swpb.RolloutReport) *swpb.RolloutGuidance) {
	s.onRolloutReport = fn
}

// OnCall sets a function that answers calls of other kinds, which share the sessions of
// this service; nil means that a call isn't its kind. It must be called before Start.
func (s *Service) OnCall(fn func(ctx context.Context, from peer.Identity, env *swpb.Envelope) *swpb.Envelope) {
	s.onCall = fn
}

// OnLimits sets the function that answers the limits of upstreams that other VMs report.
// It must be called before Start.
func (s *Service) OnLimits(fn func(*swpb.LimitExchange) *swpb.LimitExchange) { s.onLimits = fn }

// OnEvidence sets the function that answers what other VMs have observed of replicas that
// reject requests. It must be called before Start.
func (s *Service) OnEvidence(fn func(*swpb.EvidenceExchange) *swpb.EvidenceExchange) {
	s.onEvidence = fn
}

// OnUsage sets the function that answers the counts of requests that other VMs send. It
// must be called before Start.
func (s *Service) OnUsage(fn func(*swpb.UsageExchange) *swpb.UsageExchange) { s.onUsage = fn }

// Call sends a request to another VM, at its address.
func (s *Service) Call(ctx context.Context, addr string, env *swpb.Envelope) (*swpb.Envelope, error) {
	return s.pool.Get(addr).Call(ctx, env)
}

// readMirror answers a request that came in at an instant of package boottime.
func readMirror(ctx context.Context, m *Mirror, req *swpb.StoreRequest, arrived time.Duration) *swpb.StoreReply {
	var c platform.Changes
	var err error
	if req.GetSnapshot() {
		c, err = m.Snapshot(ctx, req.GetPrefix())
	} else {
		c, err = m.Watch(ctx, req.GetPrefix(), req.GetAfter(), time.Duration(req.GetWaitMs())*time.Millisecond)
	}
	switch {
	case errors.Is(err, platform.ErrCompacted):
		return &swpb.StoreReply{Status: swpb.StoreStatus_STORE_STATUS_COMPACTED}
	case err != nil:
		return &swpb.StoreReply{Status: swpb.StoreStatus_STORE_STATUS_NO_RELAY}
	}
	reply := toReply(swpb.StoreStatus_STORE_STATUS_OK, c)
	if c.AsOf > 0 {
		reply.ConfirmedAgeUs = max(1, uint64(max(0, arrived-c.AsOf+time.Microsecond)/time.Microsecond))
	}
	return reply
}

// lastKnownReply returns the last known state of a mirror, if there is any.
func lastKnownReply(m *Mirror) *swpb.StoreReply {
	c := m.LastKnown()
	if c.Revision == 0 {
		return &swpb.StoreReply{Status: swpb.StoreStatus_STORE_STATUS_NO_RELAY}
	}
	return toReply(swpb.StoreStatus_STORE_STATUS_RECALLED, c)
}

func toReply(status swpb.StoreStatus, c platform.Changes) *swpb.StoreReply {
	reply := &swpb.StoreReply{Status: status, Revision: c.Revision}
	for _, e := range c.Entries {
		reply.Entries = append(reply.Entries, &swpb.StoreEntry{Key: e.Key, Value: e.Value, Revision: e.Revision, Deleted: e.Deleted})
	}
	return reply
}

func toChanges(r *swpb.StoreReply) platform.Changes {
	out := platform.Changes{Revision: r.GetRevision()}
	for _, e := range r.GetEntries() {
		out.Entries = append(out.Entries, platform.Entry{Key: e.GetKey(), Value: e.GetValue(), Revision: e.GetRevision(), Deleted: e.GetDeleted()})
	}
	return out
}

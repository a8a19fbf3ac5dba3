package direct

import (
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/gather"
	"github.com/sapphirewall/sapphirewall/internal/decide/placement"
)

// maxOptionalChance is the chance of a rejection up to which a part that the answer
// doesn't need is sent again. Above it, most such retries cost the budget an attempt for
// nothing.
const maxOptionalChance = 0.5

// minRejectionTime is the time up to which a reply without an execution is a rejection on
// arrival, whatever the route's latency: a round trip between regions with some margin.
const minRejectionTime = 30 * time.Millisecond

// weighRejections makes rejections of an attempt's replica count as missing capacity if the
// mode says so. s.mu is held.
func (s *Service) weighRejections(a *attempt) {
	w := &a.wire
	statesPace := w.Reply != nil && w.Reply.HasLoad && w.Reply.Load.Pace > 0
	if s.opts.Rejections == On || s.opts.Rejections != Off && statesPace {
		a.replica.observed.WeighRejections()
	}
}

// observeArrival records for the other VMs whether a replica has rejected an attempt.
// s.mu is held.
func (s *Service) observeArrival(now time.Time, a *attempt, rejected bool) {
	r := a.replica
	if !r.observed.WeighsRejections() {
		return
	}
	if rejected {
		s.poolOf(a.call.pools[a.part]).budget.ObserveRejection(now)
	}
	if s.evidence.Observe(now, r.evidenceKey, rejected) {
		s.metrics.add("rejecting", 1)
		s.log.Info("rejecting").Str("id", a.call.req.ID).Str("upstream", r.status.ID).Str("pool", r.status.Pool).
			Dict("now", replicaStats(r, now)).Msg("upstream rejects requests; other VMs are told")
	}
}

// EvidenceMessage returns what this VM knows of replicas that reject requests, for
// another VM; nil: nothing.
func (s *Service) EvidenceMessage(now time.Time) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observeRunning(now)
	msg := s.evidence.Message(now, s.rng)
	if msg != nil {
		s.metrics.add("evidence_bytes", int64(len(msg)))
	}
	return msg
}

// MergeEvidence applies what another VM knows of replicas that reject requests.
func (s *Service) MergeEvidence(now time.Time, msg []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opts.Rejections == Off || len(msg) == 0 {
		return
	}
	if err := s.evidence.Merge(now, msg); err != nil {
		s.metrics.add("evidence_malformed", 1)
		s.log.Warn("rejecting").Err(err).Int("bytes", len(msg)).Msg("evidence of another VM can't be read")
	}
	s.metrics.add("evidence_merged", 1)
	for _, r := range s.replicas {
		arrived, rejected := s.evidence.Shared(now, r.evidenceKey)
		r.observed.SetShared(now, arrived, rejected)
		if rejected > 0 {
			r.observed.WeighRejections()
			s.poolOf(r.status.Pool).budget.ObserveRejection(now)
		}
	}
}

// dropEvidence forgets what this VM and others have observed, when the process or its VM
// was paused: its age isn't known any more. s.mu is held.
func (s *Service) dropEvidence(now time.Time) {
	s.evidence.Reset()
	for _, r := range s.replicas {
		r.observed.SetShared(now, 0, 0)
	}
	for _, p := range s.pools {
		if p.zoneShare != nil {
			p.zoneShare.Reset()
		}
	}
}

// retryIsFutile reports whether a retry of a part that the answer doesn't need would
// probably be rejected too. s.mu is held.
func (c *call) retryIsFutile(now time.Time, r *replica, planned gather.Attempt) bool {
	return planned.Kind == gather.Retry && !c.machine.Needs() && r.observed.RejectionChance(now) > maxOptionalChance
}

// rejectionCost returns what a rejection of an attempt at a pool costs now. s.mu is held.
func (p *pool) rejectionCost(now time.Time) time.Duration {
	return placement.RejectionCost(p.budget.Left(now))
}

// isRejection reports whether the replica has rejected the attempt on arrival. One that
// drops an attempt from its queue after the attempt's deadline also states that it did
// not execute it; that is a latency.
func (a *attempt) isRejection(now time.Time) bool {
	w := &a.wire
	return w.Reply != nil && w.Reply.NotRun && !w.Reply.Misdirected && now.Sub(w.SentAt) < max(a.call.typical, minRejectionTime)
}

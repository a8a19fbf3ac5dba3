package direct

import (
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/reach"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// judgeInterval is the time between two judgements of the paths to the replicas.
const judgeInterval = 100 * time.Millisecond

// Cuts returns what this VM seems to be cut off from.
func (s *Service) Cuts() reach.Cuts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reach.Cuts()
}

// judgeReach judges whether this VM is cut off from replicas, if that is due. s.mu is
// held.
func (s *Service) judgeReach(now time.Time) {
	if now.Sub(s.reachJudgedAt) < judgeInterval {
		return
	}
	s.reachJudgedAt = now
	replicas := make([]reach.Replica, 0, len(s.replicas))
	for _, r := range s.replicas {
		replicas = append(replicas, reach.Replica{Pool: r.status.Pool, Path: r.path, Way: r.conns.Way()})
	}
	if !s.reach.Judge(now, replicas) {
		return
	}
	cuts := s.reach.Cuts()
	s.metrics.add("reach_changed", 1)
	e := s.log.Warn("reach").Bool("cut_off", cuts.All).Int("pools", len(cuts.Pools)).Int("degraded", len(cuts.Degraded)).Int("replicas", len(replicas))
	if cuts.All {
		e = e.Dur("quiet", now.Sub(cuts.Since))
	}
	e.Msg("pools that this VM can't send to as usual have changed")
}

// observePath records what the end of an attempt shows of the way to its replica. s.mu is
// held.
func (a *attempt) observePath(now time.Time) {
	w, p := &a.wire, a.replica.path
	switch {
	case w.Reply != nil:
		p.Answered(now)
	case w.Err.Cause == verdict.ConnectFailed || w.Err.Cause == verdict.ConnectionLost || w.Err.Cause == verdict.ConnectionSilent:
		p.Failed(w.SentAt)
	default:
		p.Cancelled()
	}
}

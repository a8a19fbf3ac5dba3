package direct

import (
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/discovery"
	"github.com/sapphirewall/sapphirewall/internal/decide/upstreamlimit"
)

// limitRetention is how long a limit, or its end, is kept after it was last heard while
// its upstream is not usable: longer than the registration of an upstream is missing
// after an outage of the store.
const limitRetention = time.Minute

// incarnation identifies one start of an upstream.
type incarnation struct {
	id    string
	start int64
}

func incarnationOf(st *discovery.Status) incarnation { return incarnation{st.ID, st.Start} }

// limitOf returns the limit of a replica's incarnation. s.mu is held.
func (s *Service) limitOf(st *discovery.Status) *upstreamlimit.Limit {
	key := incarnationOf(st)
	l := s.limits[key]
	if l == nil {
		l = &upstreamlimit.Limit{}
		s.limits[key] = l
	}
	return l
}

// observeNotice records what an answer says of its replica's limit. s.mu is held.
func (s *Service) observeNotice(now time.Time, a *attempt) {
	w := &a.wire
	if w.Reply == nil || w.Reply.Misdirected {
		return // another upstream answers at the address
	}
	if w.Reply.Notice.Kind == upstreamlimit.Unreadable {
		s.metrics.add("limit_unreadable", 1)
	}
	before, _ := a.replica.limit.Rate()
	if a.replica.limit.Observe(now, w.AssignedAt, w.Reply.Notice, w.Reply.OK()) {
		s.logLimit(a.replica.status.ID, a.replica.status.Pool, before, a.replica.limit, "answer")
	}
}

// logLimit logs and counts that the limit of an upstream has changed. s.mu is held.
func (s *Service) logLimit(upstream, pool string, before float64, l *upstreamlimit.Limit, source string) {
	rate, limited := l.Rate()
	s.metrics.add("limit_changed", 1)
	s.log.Info("limit").Str("upstream", upstream).Str("pool", pool).Float64("per_second", rate).Float64("before", before).
		Bool("limited", limited).Str("source", source).Int("vms", len(s.fleet)).Msg("rate limit named by the upstream changed")
}

// dropOldLimits forgets the limits of upstreams that are gone. s.mu is held.
func (s *Service) dropOldLimits(now time.Time) {
	for key, l := range s.limits {
		r := s.replicas[key.id]
		if (r == nil || r.limit != l) && now.Sub(l.HeardAt()) > limitRetention {
			delete(s.limits, key)
		}
	}
}

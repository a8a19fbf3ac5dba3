package direct

import (
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/discovery"
	"github.com/sapphirewall/sapphirewall/internal/decide/upstreamlimit"
)

const (
	// limitRetention is how long a limit, or its end, is kept after it was last heard
	// while its upstream is not usable: longer than the registration of an upstream is
	// missing after an outage of the store.
	limitRetention = time.Minute
	// endReportTime is how long the end of a limit is reported to other VMs.
	endReportTime = 10 * time.Second
	// minLimitWait is the least Retry-After of a request that the limits have no room
	// for.
	minLimitWait = 50 * time.Millisecond
)

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
		s.limitChanged(now, a.replica, before, "answer")
	}
}

// limitChanged applies a changed limit of a replica. s.mu is held.
func (s *Service) limitChanged(now time.Time, r *replica, before float64, source string) {
	s.limitsChangedAt = now
	s.shareLimit(now, r)
	if before == 0 {
		// What was chosen before the limit was known would arrive in addition to the share.
		go r.conns.EndWaiting("the replica names a limit")
	}
	s.logLimit(r.status.ID, r.status.Pool, before, r.limit, source)
}

// shareLimit computes this VM's share of a replica's limit. s.mu is held.
func (s *Service) shareLimit(now time.Time, r *replica) {
	rate, limited := r.limit.Rate()
	if !limited {
		return
	}
	if r.ranking == nil {
		r.ranking = s.rankVMs(r)
	}
	share := r.ranking.ShareOf(rate)
	if !s.joined {
		share = share.Joining()
	}
	r.limit.SetShare(now, share)
}

// rankVMs ranks the VMs for the limits of a replica. s.mu is held.
func (s *Service) rankVMs(r *replica) *upstreamlimit.Ranking {
	region := s.opts.Regions[r.status.Zone]
	vms := make([]upstreamlimit.VM, len(s.vms))
	for i, vm := range s.vms {
		vms[i] = upstreamlimit.VM{Name: vm.Name, Near: s.opts.Regions[vm.Zone] == region}
	}
	return upstreamlimit.Rank(r.status.ID, s.opts.Node, vms)
}

// joinFleet gives this VM its whole shares once the other VMs have counted it. s.mu is
// held.
func (s *Service) joinFleet(now time.Time) {
	if s.joined || now.Sub(s.startedAt) < upstreamlimit.JoinTime {
		return
	}
	s.joined = true
	for _, r := range s.replicas {
		s.shareLimit(now, r)
	}
}

// limitWait returns how long a request of a priority must wait for the limits of the
// replicas that may serve a part. It is zero if one of them can take it now; usable is
// false if none may serve it at all. s.mu is held.
func (s *Service) limitWait(c *call, p *pool, now time.Time) (wait time.Duration, usable bool) {
	wait = -1
	for _, r := range p.replicas {
		if !p.mayServe(now, r) || !s.eligible(c, r) {
			continue
		}
		if r.limit.Allows(now, c.priority) {
			return 0, true
		}
		d, ok := r.limit.Wait(now)
		if !ok {
			d = retryNoReplica // other VMs have the shares of this limit
		}
		if wait < 0 || d < wait {
			wait = d
		}
	}
	return max(wait, minLimitWait), wait >= 0
}

// deniedByLimits records that a request was turned away because the replicas' limits
// leave no room, for those that may serve a part of it. s.mu is held.
func (s *Service) deniedByLimits(c *call, p *pool, now time.Time) {
	for _, r := range p.replicas {
		if _, limited := r.limit.Rate(); limited && p.mayServe(now, r) && s.eligible(c, r) {
			r.limit.Denied(now, c.priority)
		}
	}
}

// LimitReports returns the limits of upstreams that this VM knows, for the other VMs,
// and when one of them last changed.
func (s *Service) LimitReports(now time.Time) (reports []upstreamlimit.Report, changedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, l := range s.limits {
		rate, limited := l.Rate()
		if limited || !l.HeardAt().IsZero() && now.Sub(l.HeardAt()) < endReportTime {
			reports = append(reports, upstreamlimit.Report{Upstream: key.id, Start: key.start, Rate: rate, HeardAt: l.HeardAt()})
		}
	}
	return reports, s.limitsChangedAt
}

// MergeLimits applies what another VM has heard of the limits of upstreams. Upstreams
// that this VM doesn't know are ignored; they are reported again.
func (s *Service) MergeLimits(now time.Time, reports []upstreamlimit.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, report := range reports {
		r := s.replicas[report.Upstream]
		if r == nil || r.status.Start != report.Start {
			continue
		}
		before, _ := r.limit.Rate()
		if r.limit.Merge(report.HeardAt, report.Rate) {
			s.limitChanged(now, r, before, "vm")
		}
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

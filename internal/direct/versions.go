package direct

import (
	"math/bits"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sapphirewall/sapphirewall/internal/decide/discovery"
	"github.com/sapphirewall/sapphirewall/internal/decide/fleetlimit"
	"github.com/sapphirewall/sapphirewall/internal/decide/gather"
	"github.com/sapphirewall/sapphirewall/internal/decide/rollout"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

const (
	// versionReportInterval is the time between two log lines on the versions of a
	// pool.
	versionReportInterval = time.Second
	// slowFactor is the multiple of a route's typical latency from which an answer
	// counts as slow.
	slowFactor = 4
	// settledAfter is how long a pool must have had a version for an order to move to
	// it to count as carried out already.
	settledAfter = 10 * time.Second
	// startSlack is the difference between the age of an order and that of this
	// process from which the process counts as started after the order.
	startSlack = 2 * time.Second
)

// versionCounts are the attempts at the replicas of one version of a pool since the
// process started.
type versionCounts struct {
	sent   int // placed
	extra  int // of sent, retries and hedges
	failed int // ended with a failure of the replica or without an answer
	slow   int // answered, but only after several times the route's typical latency
}

// rolloutRow identifies counters of a move.
type rolloutRow struct {
	class rollout.Class
	route string
	group uint8
}

// move is an order to move a pool to another version, as this VM carries it out.
type move struct {
	order    rollout.Order
	exposure *rollout.Exposure
	begin    time.Time // when the order was given, at the latest
	done     bool      // the pool had the version before the order
	rows     map[rolloutRow]*rollout.Sums
	inFlight map[*attempt]struct{} // at the new version
	sequence uint64                // of the last report
}

// countsOf returns the counts of a version of the pool. s.mu is held.
func (p *pool) countsOf(version string) *versionCounts {
	c := p.versions[version]
	if c == nil {
		c = &versionCounts{}
		p.versions[version] = c
	}
	return c
}

// usableVersions returns the versions of the pool's replicas, in order. s.mu is held.
func (p *pool) usableVersions() []string {
	var out []string
	seen := map[string]bool{}
	for _, r := range p.replicas {
		if v := r.status.Version; !seen[v] {
			seen[v] = true
			out = append(out, v)
		}
	}
	sort.Strings(out)
	return out
}

// reportVersions logs the counts of each version of the pools that have replicas of
// several.
func (s *Service) reportVersions(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.versionsReported) < versionReportInterval {
		return
	}
	s.versionsReported = now
	for name, p := range s.pools {
		versions := p.usableVersions()
		if len(versions) < 2 {
			continue
		}
		for _, v := range versions {
			c := p.countsOf(v)
			s.log.Info("version").Str("pool", name).Str("version", v).Int("sent", c.sent).Int("extra", c.extra).
				Int("failed", c.failed).Int("slow", c.slow).Msg("attempts at a version of a pool with several")
		}
	}
}

// classOf returns the class of a replica; usable is false if its version is neither
// the present one nor one that the pool is being moved to. s.mu is held.
func (p *pool) classOf(r *replica) (class rollout.Class, usable bool) {
	v := r.status.Version
	if p.move != nil && v == p.move.order.Version && !p.move.done {
		return rollout.NewVersion, true
	}
	present, known := p.present.Version()
	return rollout.OldVersion, !known || v == present
}

// assign returns the class of replicas for an attempt on a route. s.mu is held.
func (p *pool) assign(now time.Time, route string, kind gather.Kind) rollout.Class {
	switch {
	case p.move == nil || p.move.done:
		return rollout.OldVersion
	case kind == gather.First:
		return p.move.exposure.Assign(now, route)
	}
	return p.move.exposure.ExtraClass(now)
}

// fallback returns the class of replicas for an attempt that no replica of a class can
// serve. s.mu is held.
func (p *pool) fallback(now time.Time, c rollout.Class) (rollout.Class, bool) {
	if p.move == nil || p.move.done {
		return c, false
	}
	return p.move.exposure.Fallback(now, c)
}

// mayServe reports whether the pool's orders let a replica serve a request now. s.mu
// is held.
func (p *pool) mayServe(now time.Time, r *replica) bool {
	class, usable := p.classOf(r)
	if !usable || p.move == nil || p.move.done {
		return usable
	}
	switch phase := p.move.exposure.Phase(); {
	case phase == rollout.Completed || phase == rollout.RolledBack:
		return (class == rollout.NewVersion) == (phase == rollout.Completed)
	case class == rollout.OldVersion:
		return true
	}
	_, ok := p.move.exposure.Fallback(now, rollout.OldVersion)
	return ok
}

// observeVersions determines the present version of each pool. s.mu is held.
func (s *Service) observeVersions(now time.Time) {
	for name, p := range s.pools {
		excluded := p.rolledBack
		if p.move != nil && !p.move.done {
			excluded = map[string]bool{p.move.order.Version: true}
			for v := range p.rolledBack {
				excluded[v] = true
			}
		}
		members := make([]rollout.Member, 0, len(p.replicas))
		for _, r := range p.replicas {
			members = append(members, rollout.Member{Version: r.status.Version, Start: r.status.Start})
		}
		if p.present.Observe(now, members, excluded) {
			p.presentSince = now
			v, _ := p.present.Version()
			s.log.Info("rollout").Str("pool", name).Str("version", v).Int("replicas", len(members)).Msg("present version of the pool determined")
		}
	}
}

// SetRollouts sets all orders that the operator has given, by pool.
func (s *Service) SetRollouts(orders map[string]rollout.Order) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, p := range s.pools {
		if _, given := orders[name]; !given && p.move != nil {
			s.log.Info("rollout").Str("pool", name).Str("version", p.move.order.Version).Stringer("phase", p.move.exposure.Phase()).Msg("rollout order removed")
			p.move = nil
		}
	}
	for name, o := range orders {
		p := s.poolOf(name)
		if p.move != nil && o.Repeats(p.move.order) {
			continue
		}
		s.begin(now, p, o)
	}
}

// begin begins to carry out an order. s.mu is held.
func (s *Service) begin(now time.Time, p *pool, o rollout.Order) {
	present, known := p.present.Version()
	m := &move{
		order: o, exposure: rollout.NewExposure(s.exposureLimits()), begin: now,
		rows: map[rolloutRow]*rollout.Sums{}, inFlight: map[*attempt]struct{}{},
	}
	if known && present == o.Version {
		if m.done = now.Sub(p.presentSince) >= settledAfter; !m.done {
			p.present = rollout.Present{} // it was taken for the present one before the order was read
		}
	}
	p.move = m
	delete(p.rolledBack, o.Version)
	s.observeVersions(now)
	present, _ = p.present.Version()
	s.log.Info("rollout").Str("pool", o.Pool).Str("version", o.Version).Str("present", present).Dur("duration", o.Duration).
		Bool("done", m.done).Uint64("store_revision", o.Revision).Msg("rollout order in force; the version gets nothing until a judge is heard")
}

// exposureLimits is this VM's part of the limits on a new version. s.mu is held.
func (s *Service) exposureLimits() rollout.Limits {
	return rollout.Limits{
		Share: s.opts.ExposureShare, Slack: s.opts.ExposureSlack / float64(fleetlimit.VMCount(s.fleet)), Rollback: s.opts.Rollback,
	}
}

// Rollouts returns the orders that are being carried out, with their phases.
func (s *Service) Rollouts() map[rollout.Order]rollout.Phase {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out map[rollout.Order]rollout.Phase
	for _, p := range s.pools {
		if p.move == nil || s.inForce == nil || s.inForce.tables.Pools[p.move.order.Pool] == nil {
			continue
		}
		if out == nil {
			out = map[rollout.Order]rollout.Phase{}
		}
		out[p.move.order] = p.move.exposure.Phase()
	}
	return out
}

// RolloutReport returns what this VM has sent to the versions of an order's pool; ok is
// false if the order is no longer carried out.
func (s *Service) RolloutReport(now time.Time, o rollout.Order) (r rollout.Report, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[o.Pool]
	if p == nil || p.move == nil || p.move.order != o {
		return rollout.Report{}, false
	}
	s.observeRunning(now)
	m := p.move
	m.sequence++
	r = rollout.Report{
		Node: s.opts.Node, Incarnation: uint64(s.startedAt.UnixNano()), Sequence: m.sequence, Age: now.Sub(m.begin),
		Phase: m.exposure.Phase(), MaxAttempt: s.maxAttempt(o.Pool),
	}
	r.Firsts, r.Sent = m.exposure.Counts()
	for _, replica := range p.replicas {
		if replica.status.Version != o.Version {
			r.OldInFlight += replica.inFlight
		}
	}
	for id, sums := range m.rows {
		r.Stats = append(r.Stats, rollout.RolloutStat{Class: id.class, Route: id.route, Group: id.group, Sums: *sums})
	}
	for a := range m.inFlight {
		if took := now.Sub(a.wire.SentAt); took > slowFactor*a.call.typical && !s.backlog.PausedSince(a.wire.SentAt) {
			sums := rollout.Sums{Requests: 1, LatencySum: took}
			sums.LatencyBuckets[latencyBucket(took)] = 1
			r.Pending = append(r.Pending, rollout.RolloutStat{Class: rollout.NewVersion, Route: a.call.route.Name, Group: replicaGroup(a.replica.status.ID), Sums: sums})
		}
	}
	return r, true
}

// maxAttempt is the longest that an attempt at a pool may last. s.mu is held.
func (s *Service) maxAttempt(pool string) time.Duration {
	var d time.Duration
	for _, r := range s.inForce.tables.Routes {
		for _, name := range r.Pools {
			if name == pool {
				d = max(d, r.Deadline)
			}
		}
	}
	return d
}

// RolloutCapacity returns what the replicas of an order's version can take now.
func (s *Service) RolloutCapacity(now time.Time, o rollout.Order) rollout.Capacity {
	s.mu.Lock()
	defer s.mu.Unlock()
	var c rollout.Capacity
	p := s.pools[o.Pool]
	if p == nil || p.move == nil || p.move.order != o {
		return c
	}
	c.Settled = p.move.done
	for _, r := range p.replicas {
		st := &r.status
		if st.Version != o.Version || st.State != discovery.Active || s.zonesOutOfService[st.Zone] || now.Before(st.ColdEnd) {
			continue
		}
		if _, limited := r.limit.Rate(); limited {
			continue // it can't take the pool's traffic
		}
		c.NewReplicas++
		c.NewSlots += st.Slots
	}
	return c
}

// ApplyGuidance applies what a judge, or the store's record, says about an order.
func (s *Service) ApplyGuidance(now time.Time, o rollout.Order, g rollout.Guidance, recorded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[o.Pool]
	if p == nil || p.move == nil || p.move.order != o {
		return
	}
	m := p.move
	if begin := now.Add(-g.Age); begin.Before(m.begin) {
		m.begin = begin
	}
	if m.begin.Before(s.startedAt.Add(-startSlack)) {
		// The former process of this VM has used the slack.
		l := s.exposureLimits()
		l.Slack = 0
		m.exposure.SetLimits(l)
	}
	before := m.exposure.Phase()
	if !m.exposure.Heard(now, g.Phase, recorded) {
		return
	}
	firsts, sent := m.exposure.Counts()
	s.log.Info("rollout").Str("pool", o.Pool).Str("version", o.Version).Stringer("before", before).Stringer("phase", g.Phase).Bool("recorded", recorded).
		Dur("age", now.Sub(m.begin)).Int("requests", firsts).Int("sent", sent).Str("reason", g.Reason).Msg("phase of a rollout changed")
	s.metrics.add("rollout_"+g.Phase.String(), 1)
	switch g.Phase {
	case rollout.Completed:
		p.present.Set(o.Version)
		p.presentSince = now
	case rollout.RolledBack:
		p.rolledBack[o.Version] = true
		s.endWaitingAt(p, o.Version)
	}
}

// endWaitingAt ends the attempts that wait for a connection to replicas of a version.
// s.mu is held.
func (s *Service) endWaitingAt(p *pool, version string) {
	for _, r := range p.replicas {
		if r.status.Version == version {
			go r.conns.EndWaiting("the replica's version was rolled back")
		}
	}
}

// countPlaced counts an attempt at a replica of a class. s.mu is held.
func (a *attempt) countPlaced(p *pool, class rollout.Class) {
	counts := p.countsOf(a.replica.status.Version)
	counts.sent++
	if a.kind != gather.First {
		counts.extra++
	}
	a.replica.inFlight++
	if a.move = p.move; a.move == nil {
		return
	}
	a.class = class
	if class == rollout.NewVersion {
		a.move.exposure.CountSent(a.call.route.Name)
		a.move.inFlight[a] = struct{}{}
	}
}

// countEnded counts the end of an attempt for its version. s.mu is held.
func (a *attempt) countEnded(now time.Time) {
	a.replica.inFlight--
	w, m := &a.wire, a.move
	begun := w.SentAt
	if !w.AssignedAt.IsZero() {
		begun = w.AssignedAt
	}
	took := now.Sub(begun)
	failed := w.Reply != nil && w.Reply.Failed() && !a.expired(now)
	lost := w.Err != nil && (w.Err.Cause == verdict.ConnectionLost || w.Err.Cause == verdict.BadAnswer)
	slow := took > slowFactor*a.call.typical
	counts := a.call.s.poolOf(a.call.pools[a.part]).countsOf(a.replica.status.Version)
	switch {
	case failed || lost:
		counts.failed++
	case slow:
		counts.slow++
	}
	if m == nil {
		return
	}
	delete(m.inFlight, a)
	answered := w.Reply != nil && !w.Reply.NotRun
	if a.kind == gather.First && w.Reply != nil {
		m.exposure.CountAnswered()
	}
	// The latency of a replica that is cold, or while this process was paused, shows
	// nothing of the version, so the usual one takes its place. An attempt that was
	// given up early shows nothing, one that was late does.
	paused := a.call.s.backlog.PausedSince(w.SentAt)
	if paused || w.SentAt.Before(a.replica.status.ColdEnd) {
		took = a.call.typical
	}
	if answered || lost || !w.AssignedAt.IsZero() && w.Reply == nil && slow && !paused {
		m.record(a, took, failed, lost)
	}
}

// record counts one attempt.
func (m *move) record(a *attempt, took time.Duration, failed, lost bool) {
	id := rolloutRow{class: a.class, route: a.call.route.Name}
	if a.class == rollout.NewVersion {
		id.group = replicaGroup(a.replica.status.ID)
	}
	sums := m.rows[id]
	if sums == nil {
		sums = &rollout.Sums{}
		m.rows[id] = sums
	}
	sums.Requests++
	sums.LatencySum += took
	sums.LatencyBuckets[latencyBucket(took)]++
	switch {
	case lost:
		sums.Crashes++
	case failed:
		sums.Errors++
	}
}

// latencyBucket returns the index of the bucket for a latency.
func latencyBucket(d time.Duration) int {
	return min(bits.Len64(uint64(max(d, 0)/rollout.BucketUnit)), rollout.Buckets-1)
}

// replicaGroup returns the group that a replica of the new version is reported in.
func replicaGroup(id string) uint8 { return uint8(xxhash.Sum64String(id) % rollout.Groups) }

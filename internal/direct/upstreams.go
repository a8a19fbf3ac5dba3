package direct

import (
	"time"

	"github.com/sapphirewall/sapphirewall/internal/connpool"
	"github.com/sapphirewall/sapphirewall/internal/decide/admission"
	"github.com/sapphirewall/sapphirewall/internal/decide/discovery"
	"github.com/sapphirewall/sapphirewall/internal/decide/era"
	"github.com/sapphirewall/sapphirewall/internal/decide/evidence"
	"github.com/sapphirewall/sapphirewall/internal/decide/fleetlimit"
	"github.com/sapphirewall/sapphirewall/internal/decide/placement"
	"github.com/sapphirewall/sapphirewall/internal/decide/quantile"
	"github.com/sapphirewall/sapphirewall/internal/decide/reach"
	"github.com/sapphirewall/sapphirewall/internal/decide/retry"
	"github.com/sapphirewall/sapphirewall/internal/decide/rollout"
	"github.com/sapphirewall/sapphirewall/internal/decide/upstreamlimit"
	"github.com/sapphirewall/sapphirewall/internal/decide/zoneshare"
	"github.com/sapphirewall/sapphirewall/internal/routes"
	"github.com/sapphirewall/sapphirewall/internal/tables"
)

// replica is one upstream that may receive requests.
type replica struct {
	status      discovery.Status
	observed    *placement.Replica // observed latencies, failures and load
	evidenceKey evidence.Key       // of this incarnation
	conns       *connpool.Pool
	distance    placement.Distance
	coldLimiter fleetlimit.RateLimiter // of requests to it while it is cold
	path        *reach.Path            // what this VM has seen of the way to it
	limit       *upstreamlimit.Limit   // that it names itself
	ranking     *upstreamlimit.Ranking // of the VMs that share limit; nil: not computed yet
	inFlight    int                    // attempts that have not ended
	losses      []loss                 // connections that were lost, until they are resolved
}

// pool is the replicas of one pool and their budget of extra attempts.
type pool struct {
	replicas []*replica
	budget   *retry.SharedBudget
	room     *admission.Room // observed free capacity; nil: not observed
	// zoneShare decides which share leaves the zone; nil: the fixed costs hold.
	zoneShare *zoneshare.Pool
	versions  map[string]*versionCounts

	present      rollout.Present
	presentSince time.Time
	move         *move           // to another version; nil: none is ordered
	rolledBack   map[string]bool // versions that get nothing without a further order
}

// routeStats tracks the latency of attempts for one route.
type routeStats struct {
	median *quantile.Tracker // typical latency
	tail   *quantile.Tracker // latency at hedgeQuantile, after which an attempt is late
	times  admission.Times   // of whole calls
}

// SetTables puts a revision in force. It ignores a revision that isn't newer than
// the one in force, so that a process never goes back to an older one.
func (s *Service) SetTables(t *tables.Tables) {
	now := time.Now()
	index, keys := routes.New(t.Routes), newTeamKeys(t) // before the lock that requests take
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inForce != nil && t.Revision <= s.inForce.tables.Revision {
		s.log.Info("tables").Uint64("revision", t.Revision).Uint64("in_force", s.inForce.tables.Revision).Msg("tables ignored; revision is not newer than the one in force")
		return
	}
	s.inForce = &tablesRevision{tables: t, index: index, since: now}
	s.keys.Store(keys)
	s.logTeams(t, keys)
	for name := range s.routes {
		if t.Routes[name] == nil {
			delete(s.routes, name)
		}
	}
	for _, r := range s.replicas {
		s.limitConnections(&r.status, r.conns)
	}
	s.metrics.set("revision", int64(t.Revision))
	s.log.Info("tables").Uint64("revision", t.Revision).Int("routes", len(t.Routes)).Int("pools", len(t.Pools)).Msg("tables revision in force")
}

// ReplaceUpstreams replaces all registrations with those read at a revision of the
// store.
func (s *Service) ReplaceUpstreams(regs []discovery.Registration, revision uint64) {
	now := time.Now()
	s.mu.Lock()
	removed := s.upstreams.Replace(now, regs, revision)
	s.upstreamsRead = true
	s.log.Info("upstreams").Int("entries", len(regs)).Int("vanished", len(removed)).Uint64("store_revision", revision).Msg("upstream registrations read")
	if keys := s.upstreams.Outdated(); len(keys) > 0 {
		s.keptBeyondStore("keys", keys, "registrations in the restored store precede what is known of the upstreams; they are ignored until the upstreams write again")
	}
	s.mu.Unlock()
	s.requestRefresh()
}

// PutUpstream records a registration that was added or changed.
func (s *Service) PutUpstream(reg discovery.Registration) {
	s.mu.Lock()
	if s.upstreams.Put(time.Now(), reg) {
		s.log.Info("upstreams").Str("key", reg.Key).Str("upstream", reg.Upstream.ID).Str("pool", reg.Upstream.Pool).
			Bool("valid", reg.Valid).Bool("draining", reg.Upstream.Draining).Dur("cold_left", reg.Upstream.ColdLeft).
			Uint64("store_revision", reg.Revision).Msg("upstream registration added or changed")
	}
	s.mu.Unlock()
	s.requestRefresh()
}

// RemoveUpstream records that the registration under a key was removed from the
// store.
func (s *Service) RemoveUpstream(key string, revision uint64) {
	s.mu.Lock()
	if s.upstreams.Remove(time.Now(), key, revision) {
		s.log.Info("upstreams").Str("key", key).Uint64("store_revision", revision).Msg("upstream registration removed; upstream is a last resort until its grace period is over")
	}
	s.mu.Unlock()
	s.requestRefresh()
}

// observeLeaving records that a replica has said in an answer that it leaves, which holds
// also while the store doesn't say so or can't be read. s.mu is held.
func (s *Service) observeLeaving(now time.Time, a *attempt) {
	w, st := &a.wire, &a.replica.status
	if w.Reply == nil || !w.Reply.Leaving || w.Reply.Misdirected {
		return // a misdirected attempt is answered by another upstream
	}
	if !s.upstreams.Leaving(now, st.Key, st.Start) {
		return
	}
	s.metrics.add("upstreams_leaving", 1)
	s.log.Info("upstreams").Str("id", a.call.req.ID).Str("upstream", st.ID).Str("pool", st.Pool).Int("in_flight", a.replica.inFlight).
		Bool("store_available", s.unavailableSince.IsZero()).Msg("upstream says in an answer that it leaves; it is a last resort until its grace period is over")
	s.requestRefresh()
}

// SetZonesOutOfService sets the availability zones that are out of service, as read
// at a revision of the store. Their replicas receive no new requests.
func (s *Service) SetZonesOutOfService(out map[string]bool, revision uint64) {
	now := time.Now()
	s.mu.Lock()
	if held := s.zones.Set(now, out, era.Of(revision)); len(held) > 0 {
		s.keptBeyondStore("zones", held, "orders missing in the restored store; the zones stay out of service until they are repeated or the hold ends")
	}
	s.applyZones(now)
	s.mu.Unlock()
	s.requestRefresh()
}

// applyZones applies the zones that are out of service now. s.mu is held.
func (s *Service) applyZones(now time.Time) {
	out := s.zones.Out(now)
	for zone := range out {
		if !s.zonesOutOfService[zone] {
			s.log.Info("zones").Str("zone", zone).Msg("availability zone out of service; its replicas get no new requests")
			s.endWaiting(zone)
		}
	}
	for zone := range s.zonesOutOfService {
		if !out[zone] {
			s.log.Info("zones").Str("zone", zone).Msg("availability zone back in service")
		}
	}
	s.zonesOutOfService = out
}

// endWaiting ends the attempts that wait for a connection to a replica in a zone that
// is out of service. s.mu is held.
func (s *Service) endWaiting(zone string) {
	for _, r := range s.replicas {
		if r.status.Zone == zone {
			go r.conns.EndWaiting("the replica's zone is out of service")
		}
	}
}

// keptBeyondStore logs and counts knowledge that is kept although the store, which
// has come back from an older copy, says otherwise. s.mu is held.
func (s *Service) keptBeyondStore(kind string, names []string, why string) {
	s.metrics.add("kept_beyond_store", int64(len(names)))
	s.log.Info("era").Strs(kind, names).Msg(why)
}

// StoreUnavailable records that the store is unavailable. The last known tables and
// upstreams stay in use until StoreAvailable is called.
func (s *Service) StoreUnavailable(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailableSince.IsZero() {
		s.unavailableSince = time.Now()
		s.log.Warn("dependency").Err(err).Msg("store unavailable; serving from the last known state")
	}
	s.upstreams.StoreUnavailable()
}

// StoreAvailable records that the store is available.
func (s *Service) StoreAvailable() {
	now := time.Now()
	s.mu.Lock()
	if !s.unavailableSince.IsZero() {
		s.log.Info("dependency").Dur("away", now.Sub(s.unavailableSince)).Msg("store available again")
		s.unavailableSince = time.Time{}
	}
	s.upstreams.StoreAvailable(now)
	s.mu.Unlock()
	s.requestRefresh()
}

// requestRefresh makes maintain call refresh soon.
func (s *Service) requestRefresh() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// refresh applies the status of all upstreams and zones. It returns when the next
// status changes without an event; zero: never.
func (s *Service) refresh(now time.Time) time.Time {
	s.mu.Lock()
	usable, next := s.upstreams.Usable(now)
	keep := make(map[string]bool, len(usable))
	for _, st := range usable {
		keep[st.ID] = true
		s.applyStatus(now, st)
	}
	for id, r := range s.replicas {
		if !keep[id] {
			delete(s.replicas, id)
			s.retire(r)
			s.log.Info("upstreams").Str("upstream", id).Str("pool", r.status.Pool).Msg("upstream removed; it gets no more requests")
		}
	}
	s.dropOldLimits(now)
	s.groupByPool()
	s.observeVersions(now)
	s.applyZones(now)
	for _, p := range s.pools {
		s.setZones(now, p)
	}
	if end := s.zones.Next(now); !end.IsZero() && (next.IsZero() || end.Before(next)) {
		next = end
	}
	s.mu.Unlock()
	return next
}

// retire closes the connections of a replica that gets no more requests. Those with
// attempts in flight stay open until these end. s.mu is held.
func (s *Service) retire(r *replica) {
	s.retired = append(s.retired, r.conns)
	go r.conns.Close()
}

// applyStatus creates or updates the replica of an upstream. An upstream that has
// restarted, or has another address or pool, becomes a new replica without
// observations. s.mu is held.
func (s *Service) applyStatus(now time.Time, st discovery.Status) {
	r := s.replicas[st.ID]
	if r != nil && (r.status.Addr != st.Addr || r.status.Start != st.Start || r.status.Pool != st.Pool) {
		s.retire(r)
		r = nil
	}
	if r == nil {
		r = &replica{
			observed: placement.NewReplica(st.Slots),
			conns:    connpool.NewPool(st.ID, st.Addr, 1, s.opts.Codec, s.opts.Dial, s.metrics.count),
			distance: s.distance(st.Zone),
			path:     &reach.Path{}, evidenceKey: evidence.KeyOf(st.ID, st.Start),
			limit: s.limitOf(&st),
		}
		s.limitConnections(&st, r.conns)
		r.conns.SetMaxBytes(s.opts.UpstreamBytes)
		r.coldLimiter.Start(s.startedAt)
		s.replicas[st.ID] = r
		defer s.shareLimit(now, r)
	}
	if r.status.State != st.State {
		s.log.Info("upstreams").Str("upstream", st.ID).Str("pool", st.Pool).Uint8("state", uint8(st.State)).Msg("upstream state changed")
	}
	r.status = st
}

// groupByPool assigns the replicas to their pools. A pool is kept without replicas,
// and its budget with it. s.mu is held.
func (s *Service) groupByPool() {
	for _, p := range s.pools {
		p.replicas = p.replicas[:0]
	}
	for _, r := range s.replicas {
		p := s.poolOf(r.status.Pool)
		p.replicas = append(p.replicas, r)
	}
}

func (s *Service) poolOf(name string) *pool {
	p := s.pools[name]
	if p == nil {
		p = &pool{budget: retry.NewSharedBudget(s.extraLimits(), s.startedAt), versions: map[string]*versionCounts{}, rolledBack: map[string]bool{}}
		s.pools[name] = p
	}
	return p
}

func (s *Service) statsOf(route string) *routeStats {
	st := s.routes[route]
	if st == nil {
		st = &routeStats{median: quantile.New(0.5, minLatency), tail: quantile.New(hedgeQuantile, minLatency)}
		s.routes[route] = st
	}
	return st
}

// VM is a VM that serves.
type VM struct {
	Name, Zone string
}

// SetFleet sets all serving VMs, including this one.
func (s *Service) SetFleet(vms []VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := len(s.fleet)
	s.vms, s.fleet, s.regionVMs = vms, make([]string, len(vms)), map[string]int{}
	for i, vm := range vms {
		s.fleet[i] = vm.Name
		s.regionVMs[s.opts.Regions[vm.Zone]]++
	}
	for _, r := range s.replicas {
		r.ranking = nil
		s.shareLimit(time.Now(), r)
	}
	if len(vms) == before {
		return
	}
	s.metrics.set("fleet_vms", int64(len(vms)))
	s.log.Info("fleet").Int("vms", len(vms)).Int("before", before).Float64("extra_slack", s.extraLimits().Steady.Slack).Msg("number of VMs that share the fleet-wide limits changed")
	for _, r := range s.replicas {
		s.limitConnections(&r.status, r.conns)
	}
	for _, p := range s.pools {
		p.budget.SetLimits(s.extraLimits())
		if p.move != nil {
			p.move.exposure.SetLimits(s.exposureLimits())
		}
	}
}

// extraLimits is this VM's share of the fleet-wide limits on extra attempts. s.mu is
// held.
func (s *Service) extraLimits() retry.Limits {
	return fleetlimit.ExtraLimits(s.opts.RetryShare, s.opts.RetrySlack, s.fleet)
}

// limitConnections applies this VM's share of the connections that a replica accepts. s.mu
// is held.
func (s *Service) limitConnections(st *discovery.Status, conns *connpool.Pool) {
	total := 0 // not known: one connection
	if s.inForce != nil && s.inForce.tables.Pools[st.Pool] != nil {
		total = s.inForce.tables.Pools[st.Pool].Connections
	}
	sharing := fleetlimit.VMCount(s.fleet)
	if len(s.vms) > 0 {
		sharing = s.regionVMs[s.opts.Regions[st.Zone]]
		if s.distance(st.Zone) == placement.OtherRegion {
			sharing = len(s.vms) - sharing
		}
	}
	limit, scarce := fleetlimit.Connections(total, sharing)
	idle := connpool.IdleTimeout
	if scarce {
		idle = scarceIdleTimeout
	}
	conns.SetLimits(limit, idle)
}

// coldRate is the number of requests that this VM may send to a cold replica in a
// second. limited is false if the replica isn't cold or its pool has no such limit.
// s.mu is held.
func (s *Service) coldRate(st *discovery.Status, now time.Time) (perSecond int, limited bool) {
	p := s.inForce.tables.Pools[st.Pool]
	if p == nil || p.ColdRate <= 0 || !now.Before(st.ColdEnd) {
		return 0, false
	}
	total := int(p.ColdRate*s.opts.ColdOverage + s.opts.ColdSlack)
	return fleetlimit.ColdRate(total, st.ID, s.opts.Node, s.fleet), true
}

func (s *Service) distance(zone string) placement.Distance {
	switch {
	case zone == s.opts.Zone:
		return placement.SameZone
	case s.opts.Regions[zone] == s.opts.Regions[s.opts.Zone]:
		return placement.SameRegion
	}
	return placement.OtherRegion
}

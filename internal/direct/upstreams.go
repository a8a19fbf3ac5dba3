package direct

import (
	"time"

	"github.com/sapphirewall/sapphirewall/internal/connpool"
	"github.com/sapphirewall/sapphirewall/internal/decide/discovery"
	"github.com/sapphirewall/sapphirewall/internal/decide/fleetlimit"
	"github.com/sapphirewall/sapphirewall/internal/decide/placement"
	"github.com/sapphirewall/sapphirewall/internal/decide/quantile"
	"github.com/sapphirewall/sapphirewall/internal/decide/retry"
	"github.com/sapphirewall/sapphirewall/internal/routes"
	"github.com/sapphirewall/sapphirewall/internal/tables"
)

// replica is one upstream that may be used.
type replica struct {
	status      discovery.Status
	observed    *placement.Replica
	conns       *connpool.Pool
	distance    placement.Distance
	coldLimiter fleetlimit.RateLimiter // requests sent while it is cold
}

// pool is what the replicas of one pool share.
type pool struct {
	replicas []*replica
	budget   *retry.SharedBudget
}

// routeStats is what is learned of one route.
type routeStats struct {
	median *quantile.Tracker // median latency of an attempt
	tail   *quantile.Tracker // latency after which an attempt is late
}

// SetTables puts a revision in force. An older one than that in force is
// ignored: a process never goes back.
func (s *Service) SetTables(t *tables.Tables) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inForce != nil && t.Revision <= s.inForce.tables.Revision {
		s.log.Info("tables").Uint64("revision", t.Revision).Uint64("in_force", s.inForce.tables.Revision).Msg("revision is not newer; ignored")
		return
	}
	s.inForce = &tablesRevision{tables: t, index: routes.New(t.Routes), since: now}
	for name := range s.routes {
		if t.Routes[name] == nil {
			delete(s.routes, name)
		}
	}
	for _, r := range s.replicas {
		r.conns.SetLimit(s.connectionLimit(r.status.Pool, r.distance))
	}
	s.metrics.set("revision", int64(t.Revision))
	s.log.Info("tables").Uint64("revision", t.Revision).Int("routes", len(t.Routes)).Int("pools", len(t.Pools)).Msg("revision in force")
}

// ReplaceUpstreams takes all announced upstreams, read at a revision of the
// store.
func (s *Service) ReplaceUpstreams(entries []discovery.Registration, revision uint64) {
	now := time.Now()
	s.mu.Lock()
	vanished := s.upstreams.Replace(now, entries, revision)
	s.upstreamsRead = true
	s.log.Info("upstreams").Int("entries", len(entries)).Int("vanished", len(vanished)).Uint64("store_revision", revision).Msg("upstreams read")
	s.mu.Unlock()
	s.requestRefresh()
}

// PutUpstream takes one announced upstream.
func (s *Service) PutUpstream(e discovery.Registration) {
	s.mu.Lock()
	if s.upstreams.Put(time.Now(), e) {
		s.log.Info("upstreams").Str("key", e.Key).Str("upstream", e.Upstream.ID).Str("pool", e.Upstream.Pool).
			Bool("valid", e.Valid).Bool("draining", e.Upstream.Draining).Dur("cold_left", e.Upstream.ColdLeft).
			Uint64("store_revision", e.Revision).Msg("upstream announced")
	}
	s.mu.Unlock()
	s.requestRefresh()
}

// RemoveUpstream takes the end of an upstream's entry.
func (s *Service) RemoveUpstream(key string, revision uint64) {
	s.mu.Lock()
	if s.upstreams.Remove(time.Now(), key, revision) {
		s.log.Info("upstreams").Str("key", key).Uint64("store_revision", revision).Msg("upstream's entry is gone; last resort until the hold is over")
	}
	s.mu.Unlock()
	s.requestRefresh()
}

// SetZonesOutOfService takes the availability zones that receive no new work.
func (s *Service) SetZonesOutOfService(out map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for zone := range out {
		if !s.zonesOutOfService[zone] {
			s.log.Info("zones").Str("zone", zone).Msg("zone is out: no new work")
		}
	}
	for zone := range s.zonesOutOfService {
		if !out[zone] {
			s.log.Info("zones").Str("zone", zone).Msg("zone is back")
		}
	}
	s.zonesOutOfService = out
}

// StoreUnavailable tells that the store can't be reached, and StoreAvailable that it can.
func (s *Service) StoreUnavailable(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailableSince.IsZero() {
		s.unavailableSince = time.Now()
		s.log.Warn("dependency").Err(err).Msg("store lost; going on with what is known")
	}
	s.upstreams.StoreUnavailable()
}

// StoreAvailable ends an outage.
func (s *Service) StoreAvailable() {
	now := time.Now()
	s.mu.Lock()
	if !s.unavailableSince.IsZero() {
		s.log.Info("dependency").Dur("away", now.Sub(s.unavailableSince)).Msg("store regained")
		s.unavailableSince = time.Time{}
	}
	s.upstreams.StoreAvailable(now)
	s.mu.Unlock()
	s.requestRefresh()
}

// requestRefresh makes tend look at the beliefs again.
func (s *Service) requestRefresh() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// refresh puts the beliefs into force and returns when they change without an
// event.
func (s *Service) refresh(now time.Time) time.Time {
	s.mu.Lock()
	beliefs, wake := s.upstreams.Usable(now)
	keep := make(map[string]bool, len(beliefs))
	for _, b := range beliefs {
		keep[b.ID] = true
		s.applyStatus(now, b)
	}
	var gone []*replica
	for id, r := range s.replicas {
		if !keep[id] {
			delete(s.replicas, id)
			gone = append(gone, r)
			s.log.Info("upstreams").Str("upstream", id).Str("pool", r.status.Pool).Msg("upstream is gone: no work any more")
		}
	}
	s.groupByPool()
	s.mu.Unlock()
	for _, r := range gone {
		r.conns.Close()
	}
	return wake
}

// applyStatus takes one belief. An upstream that has started anew, or moved, has
// nothing in common with the one before. s.mu is held.
func (s *Service) applyStatus(now time.Time, b discovery.Status) {
	r := s.replicas[b.ID]
	if r != nil && (r.status.Addr != b.Addr || r.status.Start != b.Start || r.status.Pool != b.Pool) {
		go r.conns.Close()
		r = nil
	}
	if r == nil {
		r = &replica{
			observed: placement.NewReplica(b.Slots),
			conns:    connpool.NewPool(b.ID, b.Addr, s.connectionLimit(b.Pool, s.distance(b.Zone)), s.opts.Codec, s.opts.Dial, s.metrics.count),
			distance: s.distance(b.Zone),
		}
		r.coldLimiter.Start(s.startedAt)
		s.replicas[b.ID] = r
	}
	if r.status.State != b.State {
		s.log.Info("upstreams").Str("upstream", b.ID).Str("pool", b.Pool).Uint8("state", uint8(b.State)).Msg("upstream's state has changed")
	}
	r.status = b
}

// groupByPool sorts the replicas by pool; a pool's budget outlives its replicas.
// s.mu is held.
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
		p = &pool{budget: s.newBudget()}
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

// SetFleet takes the names of all VMs that serve, this one among them.
func (s *Service) SetFleet(nodes []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := len(nodes) != len(s.fleet)
	s.fleet = nodes
	if !changed {
		return
	}
	s.log.Info("fleet").Int("vms", len(nodes)).Msg("bounds are shared out among these VMs")
	for _, r := range s.replicas {
		r.conns.SetLimit(s.connectionLimit(r.status.Pool, r.distance))
	}
	for _, p := range s.pools {
		p.budget.SetSlack(s.extraSlack())
	}
}

// extraSlack is this VM's part of the fleet's extraSlack for extra sends. s.mu is held.
func (s *Service) extraSlack() float64 { return fleetlimit.ExtraSlack(s.opts.RetrySlack, s.fleet) }

func (s *Service) newBudget() *retry.SharedBudget {
	return retry.NewSharedBudget(fleetlimit.ExtraRatio(s.opts.RetryShare), s.extraSlack(), s.startedAt)
}

// connectionLimit is this VM's part of a replica's connections. s.mu is held.
func (s *Service) connectionLimit(name string, d placement.Distance) int {
	if s.inForce == nil || s.inForce.tables.Pools[name] == nil {
		return minConnections
	}
	even := float64(s.inForce.tables.Pools[name].Connections) / float64(fleetlimit.VMCount(s.fleet))
	if d != placement.OtherRegion {
		even *= sameRegionFactor
	}
	return max(minConnections, int(even))
}

// coldRate is the number of requests that this VM may send to a cold replica of
// a pool in a second; bounded is false if there is no bound. s.mu is held.
func (s *Service) coldRate(b *discovery.Status, now time.Time) (perSecond int, bounded bool) {
	p := s.inForce.tables.Pools[b.Pool]
	if p == nil || p.ColdRate <= 0 || !now.Before(b.ColdEnd) {
		return 0, false
	}
	total := int(p.ColdRate*s.opts.ColdOverage) + s.opts.ColdSlack
	return fleetlimit.ColdRate(total, b.ID, s.opts.Node, s.fleet), true
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

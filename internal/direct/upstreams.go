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
	belief   discovery.Belief
	evidence *placement.Replica
	peer     *connpool.Pool
	distance placement.Distance
	cold     fleetlimit.RateLimiter // requests sent while it is cold
}

// pool is what the replicas of one pool share.
type pool struct {
	replicas []*replica
	extra    *retry.Shared
}

// routeStats is what is learned of one route.
type routeStats struct {
	usual *quantile.Tracker // median latency of an attempt
	late  *quantile.Tracker // latency after which an attempt is late
}

// SetTables puts a revision in force. An older one than that in force is
// ignored: a process never goes back.
func (s *Service) SetTables(t *tables.Tables) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.now != nil && t.Revision <= s.now.tables.Revision {
		s.log.Info("tables").Uint64("revision", t.Revision).Uint64("in_force", s.now.tables.Revision).Msg("revision is not newer; ignored")
		return
	}
	s.now = &inForce{tables: t, index: routes.New(t.Routes), since: now}
	for name := range s.routes {
		if t.Routes[name] == nil {
			delete(s.routes, name)
		}
	}
	for _, r := range s.replicas {
		r.peer.SetLimit(s.connectionLimit(r.belief.Pool, r.distance))
	}
	s.metrics.set("revision", int64(t.Revision))
	s.log.Info("tables").Uint64("revision", t.Revision).Int("routes", len(t.Routes)).Int("pools", len(t.Pools)).Msg("revision in force")
}

// ReplaceUpstreams takes all announced upstreams, read at a revision of the
// store.
func (s *Service) ReplaceUpstreams(entries []discovery.Entry, revision uint64) {
	now := time.Now()
	s.mu.Lock()
	vanished := s.upstreams.Replace(now, entries, revision)
	s.listed = true
	s.log.Info("upstreams").Int("entries", len(entries)).Int("vanished", len(vanished)).Uint64("store_revision", revision).Msg("upstreams read")
	s.mu.Unlock()
	s.changed()
}

// PutUpstream takes one announced upstream.
func (s *Service) PutUpstream(e discovery.Entry) {
	s.mu.Lock()
	if s.upstreams.Put(time.Now(), e) {
		s.log.Info("upstreams").Str("key", e.Key).Str("upstream", e.Upstream.ID).Str("pool", e.Upstream.Pool).
			Bool("valid", e.Valid).Bool("draining", e.Upstream.Draining).Dur("cold_left", e.Upstream.ColdLeft).
			Uint64("store_revision", e.Revision).Msg("upstream announced")
	}
	s.mu.Unlock()
	s.changed()
}

// RemoveUpstream takes the end of an upstream's entry.
func (s *Service) RemoveUpstream(key string, revision uint64) {
	s.mu.Lock()
	if s.upstreams.Remove(time.Now(), key, revision) {
		s.log.Info("upstreams").Str("key", key).Uint64("store_revision", revision).Msg("upstream's entry is gone; last resort until the hold is over")
	}
	s.mu.Unlock()
	s.changed()
}

// SetZonesOutOfService takes the availability zones that receive no new work.
func (s *Service) SetZonesOutOfService(out map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for zone := range out {
		if !s.zonesOut[zone] {
			s.log.Info("zones").Str("zone", zone).Msg("zone is out: no new work")
		}
	}
	for zone := range s.zonesOut {
		if !out[zone] {
			s.log.Info("zones").Str("zone", zone).Msg("zone is back")
		}
	}
	s.zonesOut = out
}

// StoreUnavailable tells that the store can't be reached, and StoreAvailable that it can.
func (s *Service) StoreUnavailable(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.storeAway.IsZero() {
		s.storeAway = time.Now()
		s.log.Warn("dependency").Err(err).Msg("store lost; going on with what is known")
	}
	s.upstreams.Away()
}

// StoreAvailable ends an outage.
func (s *Service) StoreAvailable() {
	now := time.Now()
	s.mu.Lock()
	if !s.storeAway.IsZero() {
		s.log.Info("dependency").Dur("away", now.Sub(s.storeAway)).Msg("store regained")
		s.storeAway = time.Time{}
	}
	s.upstreams.Back(now)
	s.mu.Unlock()
	s.changed()
}

// changed makes tend look at the beliefs again.
func (s *Service) changed() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// refresh puts the beliefs into force and returns when they change without an
// event.
func (s *Service) refresh(now time.Time) time.Time {
	s.mu.Lock()
	beliefs, wake := s.upstreams.Beliefs(now)
	keep := make(map[string]bool, len(beliefs))
	for _, b := range beliefs {
		keep[b.ID] = true
		s.believe(now, b)
	}
	var gone []*replica
	for id, r := range s.replicas {
		if !keep[id] {
			delete(s.replicas, id)
			gone = append(gone, r)
			s.log.Info("upstreams").Str("upstream", id).Str("pool", r.belief.Pool).Msg("upstream is gone: no work any more")
		}
	}
	s.regroup()
	s.mu.Unlock()
	for _, r := range gone {
		r.peer.Close()
	}
	return wake
}

// believe takes one belief. An upstream that has started anew, or moved, has
// nothing in common with the one before. s.mu is held.
func (s *Service) believe(now time.Time, b discovery.Belief) {
	r := s.replicas[b.ID]
	if r != nil && (r.belief.Addr != b.Addr || r.belief.Start != b.Start || r.belief.Pool != b.Pool) {
		go r.peer.Close()
		r = nil
	}
	if r == nil {
		r = &replica{
			evidence: placement.NewReplica(b.Slots),
			peer:     connpool.NewPool(b.ID, b.Addr, s.connectionLimit(b.Pool, s.distance(b.Zone)), s.opts.Codec, s.opts.Dial, s.metrics.count),
			distance: s.distance(b.Zone),
		}
		r.cold.Start(s.begun)
		s.replicas[b.ID] = r
	}
	if r.belief.State != b.State {
		s.log.Info("upstreams").Str("upstream", b.ID).Str("pool", b.Pool).Uint8("state", uint8(b.State)).Msg("upstream's state has changed")
	}
	r.belief = b
}

// regroup sorts the replicas by pool; a pool's budget outlives its replicas.
// s.mu is held.
func (s *Service) regroup() {
	for _, p := range s.pools {
		p.replicas = p.replicas[:0]
	}
	for _, r := range s.replicas {
		p := s.poolOf(r.belief.Pool)
		p.replicas = append(p.replicas, r)
	}
}

func (s *Service) poolOf(name string) *pool {
	p := s.pools[name]
	if p == nil {
		p = &pool{extra: s.newBudget()}
		s.pools[name] = p
	}
	return p
}

func (s *Service) statsOf(route string) *routeStats {
	st := s.routes[route]
	if st == nil {
		st = &routeStats{usual: quantile.New(0.5, leastLatency), late: quantile.New(hedgeQuantile, leastLatency)}
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
		r.peer.SetLimit(s.connectionLimit(r.belief.Pool, r.distance))
	}
	for _, p := range s.pools {
		p.extra.SetSlack(s.slack())
	}
}

// slack is this VM's part of the fleet's slack for extra sends. s.mu is held.
func (s *Service) slack() float64 { return fleetlimit.ExtraSlack(s.opts.RetrySlack, s.fleet) }

func (s *Service) newBudget() *retry.Shared {
	return retry.NewShared(fleetlimit.ExtraRatio(s.opts.RetryShare), s.slack(), s.begun)
}

// connectionLimit is this VM's part of a replica's connections. s.mu is held.
func (s *Service) connectionLimit(name string, d placement.Distance) int {
	if s.now == nil || s.now.tables.Pools[name] == nil {
		return leastConnections
	}
	even := float64(s.now.tables.Pools[name].Connections) / float64(fleetlimit.VMCount(s.fleet))
	if d != placement.OtherRegion {
		even *= nearConnections
	}
	return max(leastConnections, int(even))
}

// coldRate is the number of requests that this VM may send to a cold replica of
// a pool in a second; bounded is false if there is no bound. s.mu is held.
func (s *Service) coldRate(b *discovery.Belief, now time.Time) (perSecond int, bounded bool) {
	p := s.now.tables.Pools[b.Pool]
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

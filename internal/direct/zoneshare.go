package direct

import (
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/discovery"
	"github.com/sapphirewall/sapphirewall/internal/decide/placement"
	"github.com/sapphirewall/sapphirewall/internal/decide/zoneshare"
)

// distanceCosts draws what distance costs an attempt to the pool; decided is false if the
// fixed costs hold. s.mu is held.
func (s *Service) distanceCosts(now time.Time, p *pool) (costs zoneshare.Costs, decided bool) {
	if p.zoneShare == nil {
		return costs, false
	}
	return p.zoneShare.Draw(now, s.rng), true
}

// observeZoneShare records what the end of an attempt shows of the room at its distance.
// s.mu is held.
func (s *Service) observeZoneShare(now time.Time, a *attempt) {
	w, name := &a.wire, a.call.pools[a.part]
	if s.opts.ZoneShare == Off || w.Reply == nil || w.Reply.Misdirected || !w.Reply.HasLoad && !w.Reply.NotRun {
		return
	}
	p := s.poolOf(name)
	if p.zoneShare == nil {
		if s.opts.ZoneShare != On && w.Reply.Load.Pace == 0 {
			return
		}
		p.zoneShare = zoneshare.NewPool(s.opts.ZonePrices)
		s.setZones(now, p)
	}
	l := w.Reply.Load
	r := zoneshare.Report{
		Distance: a.replica.distance, Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, Pace: l.Pace,
		Rejected: a.isRejection(now), Bytes: len(a.call.req.Body) + len(w.Reply.Body),
	}
	if w.Reply.OK() {
		r.Took = now.Sub(w.AssignedAt)
	}
	s.countDistance(r.Distance, int64(r.Bytes))
	if p.zoneShare.Report(now, &r, s.rng) {
		s.metrics.add("zone_share_changes", 1)
		s.log.Info("zoneshare").Str("pool", name).Float64("leaving", p.zoneShare.Leaving()).Float64("to_zones", p.zoneShare.Share(placement.SameRegion)).
			Float64("to_regions", p.zoneShare.Share(placement.OtherRegion)).Msg("share of the requests that leaves the nearest replicas has changed")
	}
}

// countDistance counts an answered attempt and its bytes by the distance.
func (s *Service) countDistance(d placement.Distance, bytes int64) {
	s.metrics.add("distance_attempts", 1)
	switch d {
	case placement.SameRegion:
		s.metrics.add("distance_zone", 1)
		s.metrics.add("distance_zone_bytes", bytes)
	case placement.OtherRegion:
		s.metrics.add("distance_region", 1)
		s.metrics.add("distance_region_bytes", bytes)
	}
}

// setZones tells the decision of a pool which zones have replicas that may be chosen.
// Those that are leaving don't count. s.mu is held.
func (s *Service) setZones(now time.Time, p *pool) {
	if p.zoneShare == nil {
		return
	}
	zones := map[string]placement.Distance{}
	for _, r := range p.replicas {
		if st := &r.status; !s.zonesOutOfService[st.Zone] && st.State != discovery.Removed && st.State != discovery.LastResort {
			zones[st.Zone] = r.distance
		}
	}
	p.zoneShare.SetZones(now, zones)
}

// reportZoneShare sets the average share that leaves the nearest replicas, over the pools
// for which it is decided.
func (s *Service) reportZoneShare() {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum, pools := 0.0, 0
	for _, p := range s.pools {
		if p.zoneShare != nil {
			sum += p.zoneShare.Leaving()
			pools++
		}
	}
	if pools > 0 {
		s.metrics.set("zone_share_percent", int64(100*sum/float64(pools)))
	}
}

package zoneshare

import (
	"math/rand/v2"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/placement"
)

const (
	// maxStep bounds a change of a share by one report, and maxRate all changes in a
	// second. Replicas are heard late, so shares that move faster swing.
	maxStep = 0.1
	maxRate = 0.25
	// maxShare is the largest share that leaves. The rest shows when the nearest
	// replicas have room again.
	maxShare = 0.8
	// deadband is the gain, as a share of the cost of the bytes, below which a share
	// stays as it is.
	deadband = 0.3
	// staleAfter is the age of the last report from the nearest replicas, from which on
	// the fixed costs hold.
	staleAfter = 10 * time.Second
	// minBytes and maxBytes bound the average size that the cost is computed from.
	minBytes = 2 << 10
	maxBytes = 64 << 10
	// rampTime is the time in which a zone that has come back gets its full share, and
	// rampCost the cost of its replicas for requests that do not go there yet.
	rampTime = 8 * time.Second
	rampCost = 250 * time.Millisecond
	// noticeable is the change of the share that leaves that is worth a log line.
	noticeable = 0.2
)

// distances is the number of distances.
const distances = int(placement.OtherRegion) + 1

// Prices are the waiting times that a request accepts to keep a megabyte from crossing
// zones or regions.
type Prices struct {
	Zone, Region time.Duration
}

// Pool decides for one pool. It is not safe for concurrent use.
type Pool struct {
	prices    Prices
	seen      [distances]observed
	share     [distances]float64 // of the requests that goes to a distance beyond the nearest
	nearest   placement.Distance
	present   [distances]bool
	bytes     float64 // average of an exchange
	changedAt time.Time
	allowance float64 // of changes, refilled by maxRate
	zones     map[string]time.Time
	known     bool // zones were set before
	noticed   float64
}

// NewPool returns a pool without observations.
func NewPool(p Prices) *Pool {
	out := &Pool{prices: p, bytes: minBytes, zones: map[string]time.Time{}}
	for d := range out.seen {
		out.seen[d] = newObserved()
	}
	return out
}

// SetZones sets the zones whose replicas may be chosen now, with their distances. A zone
// that was absent gets its load gradually. The zones of the first call do not.
func (p *Pool) SetZones(now time.Time, zones map[string]placement.Distance) {
	p.present, p.nearest = [distances]bool{}, placement.OtherRegion
	for zone, d := range zones {
		p.present[d] = true
		p.nearest = min(p.nearest, d)
		if _, ok := p.zones[zone]; !ok {
			p.zones[zone] = time.Time{}
			if p.known {
				p.zones[zone] = now
			}
		}
	}
	for zone := range p.zones {
		if _, ok := zones[zone]; !ok {
			delete(p.zones, zone)
		}
	}
	for d := range p.share {
		if !p.present[d] || placement.Distance(d) <= p.nearest {
			p.share[d] = 0
		}
	}
	p.known = p.known || len(zones) > 0
}

// Report records the end of an attempt and adapts the shares. It returns true if the
// share that leaves has changed much since it last did.
func (p *Pool) Report(now time.Time, r *Report, rng *rand.Rand) bool {
	if int(r.Distance) >= distances {
		return false
	}
	if r.Distance == p.nearest && p.stale(now) {
		p.Reset()
	}
	p.seen[r.Distance].report(now, r)
	if r.Bytes > 0 {
		p.bytes += bytesWeight * (float64(r.Bytes) - p.bytes)
	}
	if r.Distance == p.nearest && p.seen[p.nearest].answers >= enoughAnswers {
		p.adapt(now, rng)
	}
	share := p.Leaving()
	if d := share - p.noticed; d < noticeable && d > -noticeable {
		return false
	}
	p.noticed = share
	return true
}

// stale reports whether the last report from the nearest replicas is too old.
func (p *Pool) stale(now time.Time) bool { return now.Sub(p.seen[p.nearest].at) > staleAfter }

// Reset forgets what was observed, such as after a pause of the process, when its age
// isn't known. The fixed costs hold until enough has been observed again.
func (p *Pool) Reset() {
	p.share = [distances]float64{}
	for d := range p.seen {
		p.seen[d] = newObserved()
	}
}

// adapt moves one share by a step. A nearer distance is filled first, and the farthest
// one is left first. Steps are random, so that VMs with the same evidence do not move
// together.
func (p *Pool) adapt(now time.Time, rng *rand.Rand) {
	p.allowance = min(p.allowance+maxRate*max(now.Sub(p.changedAt).Seconds(), 0), maxRate)
	p.changedAt = now
	for d := distances - 1; d > int(p.nearest); d-- {
		if g := p.gain(now, placement.Distance(d)); p.share[d] > 0 && g < 0 {
			p.move(d, g, rng)
			return
		}
	}
	best, most := 0, 0.0
	for d := int(p.nearest) + 1; d < distances; d++ {
		if g := p.gain(now, placement.Distance(d)); p.present[d] && g > most {
			best, most = d, g
		}
	}
	if best > 0 {
		p.move(best, most, rng)
	}
}

func (p *Pool) move(d int, gain float64, rng *rand.Rand) {
	step := maxStep * max(-1, min(gain, 1)) * (0.5 + rng.Float64())
	step = max(-p.allowance, min(step, p.allowance))
	room := maxShare - p.Leaving()
	step = max(-p.share[d], min(step, room))
	p.allowance -= max(step, -step)
	p.share[d] += step
}

// gain returns what a request saves by going to a distance, in units of the cost of its
// bytes; 0 within the deadband.
func (p *Pool) gain(now time.Time, d placement.Distance) float64 {
	base, _ := p.seen[p.nearest].exec.Value()
	here := p.seen[p.nearest].expect(now, base, 0)
	there := p.seen[d].expect(now, base, p.trip(d))
	cost := p.price(d) - p.price(p.nearest)
	g := float64(here-there-cost) / float64(max(cost, time.Millisecond))
	switch {
	case g > deadband:
		return g - deadband
	case g < -deadband:
		return g + deadband
	}
	return 0
}

// trip returns the assumed round trip to a distance beyond that to the nearest one.
func (p *Pool) trip(d placement.Distance) time.Duration {
	assumed := [distances]time.Duration{0, assumedZone, assumedRegion}
	return assumed[d] - assumed[p.nearest]
}

// price returns the cost of the bytes of an average exchange over a distance.
func (p *Pool) price(d placement.Distance) time.Duration {
	megabytes := max(minBytes, min(p.bytes, maxBytes)) / (1 << 20)
	switch d {
	case placement.SameRegion:
		return time.Duration(megabytes * float64(p.prices.Zone))
	case placement.OtherRegion:
		return time.Duration(megabytes * float64(max(p.prices.Region, p.prices.Zone)))
	}
	return 0
}

// Leaving returns the share of the requests that leaves the nearest distance.
func (p *Pool) Leaving() float64 {
	sum := 0.0
	for _, x := range p.share {
		sum += x
	}
	return sum
}

// Share returns the share of the requests that goes to a distance beyond the nearest.
func (p *Pool) Share(d placement.Distance) float64 { return p.share[d] }

// stayCost returns the cost of a distance for a request that is not drawn to go there: that
// of its bytes, and as much again as between zones. In the replays, the cost of the bytes
// alone kept no fewer of them in the zone than the fixed costs, and twice that between
// regions made more requests late. Stalled, failing and rejecting replicas cost more.
func (p *Pool) stayCost(d placement.Distance) time.Duration {
	return p.price(d) - p.price(p.nearest) + p.price(placement.SameRegion)
}

// Costs are the costs of the replicas of a pool for one attempt, in waiting time.
type Costs struct {
	pool *Pool
	now  time.Time
	by   [distances]time.Duration
	ramp float64
}

// Draw returns the costs for one attempt. Each attempt is drawn to stay or to go to a
// distance, by the shares. Without fresh evidence, the fixed costs hold.
func (p *Pool) Draw(now time.Time, rng *rand.Rand) Costs {
	c := Costs{pool: p, now: now, ramp: rng.Float64()}
	if p.seen[p.nearest].answers < enoughAnswers || p.stale(now) {
		for d := range c.by {
			c.by[d] = placement.FixedCost(placement.Distance(d))
		}
		return c
	}
	u, goes := rng.Float64(), int(p.nearest)
	for d := goes + 1; d < distances; d++ {
		if u < p.share[d] {
			goes = d
			break
		}
		u -= p.share[d]
	}
	for d := range c.by {
		if d > goes {
			c.by[d] = p.stayCost(placement.Distance(d))
		}
		if d < goes && goes > int(p.nearest) {
			// What going costs: nearer replicas are not chosen for their shorter round trip.
			c.by[d] = p.price(placement.Distance(goes)) + p.trip(placement.Distance(goes))
		}
	}
	return c
}

// Of returns the cost of a replica in a zone.
func (c *Costs) Of(zone string, d placement.Distance) time.Duration {
	cost := c.by[d]
	if at := c.pool.zones[zone]; !at.IsZero() && c.now.Sub(at) < time.Duration(c.ramp*float64(rampTime)) {
		cost += rampCost
	}
	return cost
}

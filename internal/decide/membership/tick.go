package membership

import (
	"sort"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/ownership"
)

// Tick moves the belief to now and returns the members to send heartbeats to.
// It is called once an interval.
func (m *Machine) Tick(now time.Time) []Member {
	m.forgive(now)
	m.lastTick = now
	m.tick++
	for _, n := range m.names {
		m.expire(now, m.entries[n])
	}
	m.bury(now)
	m.choosePeers()
	return m.targets()
}

// forgive gives all members more time after this node was paused: their
// silence says nothing.
func (m *Machine) forgive(now time.Time) {
	gap := now.Sub(m.lastTick)
	if m.lastTick.IsZero() || gap <= pauseTicks*m.cfg.Interval {
		return
	}
	m.asking = 0
	for _, n := range m.names {
		e := m.entries[n]
		e.failingSince, e.witnessAt, e.asked, e.refused = time.Time{}, time.Time{}, 0, false
		e.deadline = e.deadline.Add(gap)
	}
}

func (m *Machine) expire(now time.Time, e *entry) {
	switch e.m.State {
	case Suspect:
		if e.failingSince.IsZero() {
			// Told by others; they follow it up.
			return
		}
		lost := m.mayLose(e, now)
		if lost && (!now.Before(e.deadline) || m.dropped(e, now)) {
			m.set(e, Gone, now)
		}
	case Alive, Leaving:
		if !e.failingSince.IsZero() && e.asked == 0 && m.dropped(e, now) {
			m.set(e, Gone, now)
		}
	}
}

// bury forgets members that have been gone for long.
func (m *Machine) bury(now time.Time) {
	kept := m.names[:0]
	for _, n := range m.names {
		e := m.entries[n]
		old := e.m.State == Gone && now.Sub(e.goneSince) > m.cfg.TombstoneTTL
		stranger := e.m.State == Unknown && !e.listed
		if old || stranger {
			if e.asked > 0 {
				m.asking--
			}
			delete(m.entries, n)
			m.stalePeer = true
			m.version++
			continue
		}
		kept = append(kept, n)
	}
	m.names = kept
}

// choosePeers keeps the members that get heartbeats few, so that the cost and
// the connections of a node don't grow with the fleet: the next ones in the
// ring of the own zone, so that each member has somebody who watches it, and
// some chosen by hash in the own and in other zones, so that news spreads in a
// logarithmic number of steps.
func (m *Machine) choosePeers() {
	if !m.stalePeer {
		return
	}
	m.stalePeer = false
	type scored struct {
		node string
		ring uint64
		pick uint64
	}
	var zone, other []scored
	for _, n := range m.names {
		e := m.entries[n]
		if e.m.State == Gone {
			continue
		}
		s := scored{n, ownership.Score("ring", n), ownership.Score(m.self.Node, n)}
		if e.m.Zone == m.self.Zone {
			zone = append(zone, s)
		} else {
			other = append(other, s)
		}
	}
	m.peers = m.peers[:0]
	if len(zone)+len(other) <= fullDigestFleet {
		for _, s := range append(zone, other...) {
			m.peers = append(m.peers, s.node)
		}
		sort.Strings(m.peers)
		return
	}
	own := ownership.Score("ring", m.self.Node)
	sort.Slice(zone, func(i, j int) bool { return zone[i].ring-own < zone[j].ring-own })
	ring := min(ringPeers, len(zone))
	for _, s := range zone[:ring] {
		m.peers = append(m.peers, s.node)
	}
	zone = zone[ring:]
	sort.Slice(zone, func(i, j int) bool { return zone[i].pick > zone[j].pick })
	sort.Slice(other, func(i, j int) bool { return other[i].pick > other[j].pick })
	for _, s := range zone[:min(zonePeers, len(zone))] {
		m.peers = append(m.peers, s.node)
	}
	for _, s := range other[:min(otherPeers, len(other))] {
		m.peers = append(m.peers, s.node)
	}
}

// targets returns the next peer in turn, more while there is news, and from
// time to time a member that is not alive, so that both sides of a cut find
// each other again.
func (m *Machine) targets() []Member {
	var out []Member
	add := func(node string) {
		e := m.entries[node]
		if e == nil || e.m.ControlAddr == "" {
			return
		}
		for _, o := range out {
			if o.Node == node {
				return
			}
		}
		out = append(out, e.m)
	}
	if len(m.peers) > 0 {
		m.nextPeer = (m.nextPeer + 1) % len(m.peers)
		add(m.peers[m.nextPeer])
		if len(m.news) > 0 || m.selfNew > 0 {
			for range extraBeats {
				add(m.peers[m.rng.IntN(len(m.peers))])
			}
		}
	}
	for _, n := range m.failing() {
		add(n)
	}
	if m.tick%reviveEvery == 0 {
		if n := m.pickDown(); n != "" {
			add(n)
		}
	}
	return out
}

// failing returns members that this node can't reach and may soon believe gone;
// each is tried again in every tick, so that some lost messages don't drop it.
func (m *Machine) failing() []string {
	var out []string
	for _, n := range m.names {
		e := m.entries[n]
		if !e.failingSince.IsZero() && (e.m.State == Alive || e.m.State == Suspect) && len(out) < maxRetries {
			out = append(out, n)
		}
	}
	m.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// pickDown returns a random member that is not alive, or "".
func (m *Machine) pickDown() string {
	var down []string
	for _, n := range m.names {
		if s := m.entries[n].m.State; s != Alive && s != Leaving {
			down = append(down, n)
		}
	}
	if len(down) == 0 {
		return ""
	}
	return down[m.rng.IntN(len(down))]
}

// Digest returns what a message to a node tells of other members: the latest
// changes, the node's own entry if this node believes it down or knows a higher
// incarnation, so that it can refute, and one entry in turn, which repairs what got lost. Small fleets send
// every entry.
func (m *Machine) Digest(to string) []Member {
	var out []Member
	told := map[string]bool{}
	if e := m.entries[to]; e != nil && (e.behind || e.m.State == Suspect || e.m.State == Gone) {
		out = append(out, e.m.brief())
		told[to] = true
	}
	left := m.news[:0]
	for i := len(m.news) - 1; i >= 0; i-- {
		e := m.entries[m.news[i]]
		if e == nil || e.tells == 0 || len(out) >= digestUpdates {
			continue
		}
		e.tells--
		if !told[e.m.Node] {
			out = append(out, m.entryFor(e))
			told[e.m.Node] = true
		}
	}
	for _, n := range m.news {
		if e := m.entries[n]; e != nil && e.tells > 0 {
			left = append(left, n)
		} else if e != nil {
			e.full = false
		}
	}
	m.news = left
	if m.selfNew > 0 {
		m.selfNew--
	}
	return m.fill(out, told)
}

func (m *Machine) entryFor(e *entry) Member {
	if e.full {
		return e.m
	}
	return e.m.brief()
}

// fill adds the entries that are no news.
func (m *Machine) fill(out []Member, told map[string]bool) []Member {
	if len(m.names) == 0 {
		return out
	}
	m.refresh = (m.refresh + 1) % len(m.names)
	if e := m.entries[m.names[m.refresh]]; e.m.State != Unknown && !told[e.m.Node] {
		out = append(out, e.m)
		told[e.m.Node] = true
	}
	if len(m.names) > fullDigestFleet {
		return out
	}
	for _, n := range m.names {
		if e := m.entries[n]; e.m.State != Unknown && !told[n] {
			out = append(out, e.m.brief())
		}
	}
	return out
}

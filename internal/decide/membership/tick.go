package membership

import (
	"sort"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/ownership"
)

// Tick updates the member states for the time now and returns the members to
// send heartbeats to. It is called once per interval.
func (m *Machine) Tick(now time.Time) []Member {
	m.resetAfterPause(now)
	m.lastTick = now
	m.tick++
	for _, n := range m.names {
		m.expire(now, m.members[n])
	}
	m.removeExpired(now)
	m.choosePeers()
	return m.targets()
}

// resetAfterPause clears all failures and extends all suspicions if this node was
// paused: missing heartbeats are then no evidence against other members.
func (m *Machine) resetAfterPause(now time.Time) {
	gap := now.Sub(m.lastTick)
	if m.lastTick.IsZero() || gap <= pauseTicks*m.cfg.Interval {
		return
	}
	m.probing = 0
	for _, n := range m.names {
		info := m.members[n]
		info.failingSince, info.zoneReachableAt, info.pendingProbes, info.refused = time.Time{}, time.Time{}, 0, false
		info.suspectUntil = info.suspectUntil.Add(gap)
	}
}

// expire declares an unreachable member gone if its time is up or the list no
// longer has it.
func (m *Machine) expire(now time.Time, info *memberInfo) {
	switch info.m.State {
	case Suspect:
		if info.failingSince.IsZero() {
			// Only peers suspect the member; they refute or confirm the suspicion.
			return
		}
		lost := m.mayDeclareGone(info, now)
		if lost && (!now.Before(info.suspectUntil) || m.removedFromList(info, now)) {
			m.setState(info, Gone, now)
		}
	case Alive, Leaving:
		if !info.failingSince.IsZero() && info.pendingProbes == 0 && m.removedFromList(info, now) {
			m.setState(info, Gone, now)
		}
	}
}

// removeExpired removes members that have been gone for Config.TombstoneTTL, and
// members that are no longer listed and never sent a heartbeat.
func (m *Machine) removeExpired(now time.Time) {
	kept := m.names[:0]
	for _, n := range m.names {
		info := m.members[n]
		tombstoneExpired := info.m.State == Gone && now.Sub(info.goneSince) > m.cfg.TombstoneTTL
		neverSeen := info.m.State == Unknown && !info.listed
		if tombstoneExpired || neverSeen {
			if info.pendingProbes > 0 {
				m.probing--
			}
			delete(m.members, n)
			m.peersStale = true
			m.version++
			continue
		}
		kept = append(kept, n)
	}
	m.names = kept
}

// choosePeers limits the members that get heartbeats, so that the cost and the
// connections of a node don't grow with the fleet. It picks the successors in
// the ring of the own zone, so that every member is monitored, and some members
// by hash in the own and in other zones, so that updates spread in a logarithmic
// number of steps.
func (m *Machine) choosePeers() {
	if !m.peersStale {
		return
	}
	m.peersStale = false
	type scored struct {
		node string
		ring uint64
		pick uint64
	}
	var zone, other []scored
	for _, n := range m.names {
		info := m.members[n]
		if info.m.State == Gone {
			continue
		}
		s := scored{n, ownership.Score("ring", n), ownership.Score(m.self.Node, n)}
		if info.m.Zone == m.self.Zone {
			zone = append(zone, s)
		} else {
			other = append(other, s)
		}
	}
	m.peers = m.peers[:0]
	if len(zone)+len(other) <= smallFleet {
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

// targets returns the next peer in turn, further peers while updates are pending,
// members that can't be reached, and every reconnectTicks ticks a random member
// that is down, so that both sides of a healed network partition reconnect.
func (m *Machine) targets() []Member {
	var out []Member
	add := func(node string) {
		info := m.members[node]
		if info == nil || info.m.ControlAddr == "" {
			return
		}
		for _, o := range out {
			if o.Node == node {
				return
			}
		}
		out = append(out, info.m)
	}
	if len(m.peers) > 0 {
		m.nextPeer = (m.nextPeer + 1) % len(m.peers)
		add(m.peers[m.nextPeer])
		if len(m.updates) > 0 || m.selfSendsLeft > 0 {
			for range extraHeartbeats {
				add(m.peers[m.rng.IntN(len(m.peers))])
			}
		}
	}
	for _, n := range m.failing() {
		add(n)
	}
	if m.tick%reconnectTicks == 0 {
		if n := m.randomDown(); n != "" {
			add(n)
		}
	}
	return out
}

// failing returns up to maxRetries members that this node can't reach and may
// soon declare gone. Each gets a heartbeat in every tick, so that a few lost
// messages don't remove it.
func (m *Machine) failing() []string {
	var out []string
	for _, n := range m.names {
		info := m.members[n]
		if !info.failingSince.IsZero() && (info.m.State == Alive || info.m.State == Suspect) && len(out) < maxRetries {
			out = append(out, n)
		}
	}
	m.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// randomDown returns a random member that is neither alive nor leaving, or "".
func (m *Machine) randomDown() string {
	var down []string
	for _, n := range m.names {
		if s := m.members[n].m.State; s != Alive && s != Leaving {
			down = append(down, n)
		}
	}
	if len(down) == 0 {
		return ""
	}
	return down[m.rng.IntN(len(down))]
}

// Digest returns the members for a message to the node to: the latest updates;
// the recipient itself if it is recorded as suspect, gone or with a higher
// incarnation, so that it can refute; and one member in turn, which makes up for
// lost messages. In small fleets it returns every member.
func (m *Machine) Digest(to string) []Member {
	var out []Member
	included := map[string]bool{}
	if info := m.members[to]; info != nil && (info.outdated || info.m.State == Suspect || info.m.State == Gone) {
		out = append(out, info.m.stateOnly())
		included[to] = true
	}
	remaining := m.updates[:0]
	for i := len(m.updates) - 1; i >= 0; i-- {
		info := m.members[m.updates[i]]
		if info == nil || info.sendsLeft == 0 || len(out) >= digestUpdates {
			continue
		}
		info.sendsLeft--
		if !included[info.m.Node] {
			out = append(out, m.digestEntry(info))
			included[info.m.Node] = true
		}
	}
	for _, n := range m.updates {
		if info := m.members[n]; info != nil && info.sendsLeft > 0 {
			remaining = append(remaining, n)
		} else if info != nil {
			info.sendFull = false
		}
	}
	m.updates = remaining
	if m.selfSendsLeft > 0 {
		m.selfSendsLeft--
	}
	return m.addRefresh(out, included)
}

// digestEntry returns a member as it is sent in a digest.
func (m *Machine) digestEntry(info *memberInfo) Member {
	if info.sendFull {
		return info.m
	}
	return info.m.stateOnly()
}

// addRefresh adds the member in turn and, in small fleets, all remaining ones.
func (m *Machine) addRefresh(out []Member, included map[string]bool) []Member {
	if len(m.names) == 0 {
		return out
	}
	m.refreshIndex = (m.refreshIndex + 1) % len(m.names)
	if info := m.members[m.names[m.refreshIndex]]; info.m.State != Unknown && !included[info.m.Node] {
		out = append(out, info.m)
		included[info.m.Node] = true
	}
	if len(m.names) > smallFleet {
		return out
	}
	for _, n := range m.names {
		if info := m.members[n]; info.m.State != Unknown && !included[n] {
			out = append(out, info.m.stateOnly())
		}
	}
	return out
}

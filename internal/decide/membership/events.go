package membership

import (
	"sort"
	"time"
)

// OnHeartbeat applies a heartbeat or the reply to one: from describes the sender,
// digest other members. Either shows that the sender is reachable.
func (m *Machine) OnHeartbeat(now time.Time, from Member, digest []Member) {
	if from.Node != m.self.Node && m.hasRoom(from.Node) {
		m.applySelf(now, from)
	}
	for _, d := range digest {
		m.applyUpdate(now, d)
	}
}

// hasRoom reports whether a node is recorded already or can still be added.
func (m *Machine) hasRoom(node string) bool {
	return m.members[node] != nil || len(m.members) < MaxMembers
}

// applySelf applies a member's description of itself.
func (m *Machine) applySelf(now time.Time, from Member) {
	info := m.getOrAdd(from.Node)
	info.outdated = from.Incarnation < info.m.Incarnation
	if info.outdated {
		return
	}
	info.markReachable(now)
	info.lastDirect = now
	if from.Incarnation > info.m.Incarnation {
		m.applyNewer(now, info, from)
		return
	}
	info.m.Revision = max(info.m.Revision, from.Revision)
	m.fillAddrs(info, from)
	if info.m.State == Suspect || info.m.State == Unknown {
		m.setState(info, Alive, now)
	}
}

// applyNewer applies a description with a higher incarnation.
func (m *Machine) applyNewer(now time.Time, info *memberInfo, from Member) {
	wasDown := info.m.State == Suspect || info.m.State == Gone
	if wasDown && from.State == Alive {
		info.refutations++
		info.refutedAt = now
	}
	addrs := info.m.ControlAddr != from.ControlAddr || info.m.EgressAddr != from.EgressAddr || info.m.EntryAddr != from.EntryAddr || info.m.Zone != from.Zone
	state := info.m.State
	switch {
	case !from.isStateOnly():
		info.m = from
		info.addrsIncarnation = from.Incarnation
	default:
		info.m.Incarnation, info.m.Revision, info.m.State = from.Incarnation, from.Revision, from.State
		addrs = false
	}
	info.m.State = state
	m.setState(info, from.State, now)
	m.queueUpdate(info, addrs)
	m.peersStale = true
}

// fillAddrs applies the addresses of an incarnation that was first received
// without them.
func (m *Machine) fillAddrs(info *memberInfo, full Member) {
	if full.isStateOnly() || info.addrsIncarnation >= full.Incarnation {
		return
	}
	info.addrsIncarnation = full.Incarnation
	info.m.Zone, info.m.ControlAddr, info.m.EgressAddr, info.m.EntryAddr = full.Zone, full.ControlAddr, full.EgressAddr, full.EntryAddr
	m.peersStale = true
	m.queueUpdate(info, true)
}

// applyUpdate applies a peer's update about a member.
func (m *Machine) applyUpdate(now time.Time, d Member) {
	if d.Node == m.self.Node {
		m.refute(d)
		return
	}
	info := m.members[d.Node]
	if info == nil {
		if d.isStateOnly() || d.State == Gone || !m.hasRoom(d.Node) {
			return
		}
		info = m.getOrAdd(d.Node)
	}
	switch {
	case d.Incarnation > info.m.Incarnation:
		if d.isStateOnly() && info.m.isStateOnly() {
			return
		}
		m.applyNewer(now, info, d)
	case d.Incarnation == info.m.Incarnation:
		info.m.Revision = max(info.m.Revision, d.Revision)
		m.fillAddrs(info, d)
		reportedDown := d.State == Suspect || d.State == Gone
		if d.State > info.m.State && !(reportedDown && m.seenRecently(now, info)) {
			m.setState(info, d.State, now)
		}
	}
}

// seenRecently reports whether the member was reached so recently that reports of
// its failure are ignored.
func (m *Machine) seenRecently(now time.Time, info *memberInfo) bool {
	return info.failingSince.IsZero() && now.Sub(info.lastSeen) < m.cfg.SuspicionTimeout
}

// refute raises this node's incarnation above that of an update which reports it
// as suspect or gone, or which an earlier process of this node has left behind.
// An update of this incarnation that reports the node as leaving, as the
// platform's list may, is not refuted.
func (m *Machine) refute(d Member) {
	reportedDown := d.State == Suspect || d.State == Gone
	if d.Incarnation < m.self.Incarnation || d.Incarnation == m.self.Incarnation && !reportedDown {
		return
	}
	m.self.Incarnation = d.Incarnation
	m.updateSelf()
}

// OnHeartbeatFailure records that a heartbeat to node failed; refused means that
// the connection was refused, so the host is up but no process listens. It
// returns the helpers from which to request a probe of the node.
func (m *Machine) OnHeartbeatFailure(now time.Time, node string, refused bool) []Member {
	info := m.members[node]
	if info == nil || info.m.State == Unknown {
		return nil
	}
	if info.failingSince.IsZero() {
		info.failingSince = now
	}
	info.refused, info.lastFailure = refused, now
	if info.m.State == Gone || info.pendingProbes > 0 || m.probing >= maxIndirectProbes {
		return nil
	}
	helpers := m.chooseHelpers(info)
	info.pendingProbes = len(helpers)
	if info.pendingProbes > 0 {
		m.probing++
	}
	if len(helpers) == 0 {
		m.markUnreachable(now, info)
	}
	return helpers
}

// OnProbeResult records whether a helper reached the node.
func (m *Machine) OnProbeResult(now time.Time, node string, reached bool) {
	info := m.members[node]
	if info == nil || info.pendingProbes == 0 {
		return
	}
	info.pendingProbes--
	if info.pendingProbes == 0 {
		m.probing--
	}
	if reached {
		info.markReachable(now)
		if info.m.State == Suspect {
			m.setState(info, Alive, now)
		}
		return
	}
	if info.pendingProbes == 0 && !info.failingSince.IsZero() {
		m.markUnreachable(now, info)
	}
}

// markUnreachable makes an alive member suspect and a leaving one gone.
func (m *Machine) markUnreachable(now time.Time, info *memberInfo) {
	switch info.m.State {
	case Alive:
		m.setState(info, Suspect, now)
	case Leaving:
		m.setState(info, Gone, now)
	}
}

// chooseHelpers returns members to probe target through. Each is in a different
// zone, since members of a zone share network paths: first the target's own zone,
// this node's zone last.
func (m *Machine) chooseHelpers(info *memberInfo) []Member {
	var all []Member
	for _, n := range m.names {
		o := m.members[n]
		if o != info && o.m.State == Alive && o.failingSince.IsZero() {
			all = append(all, o.m)
		}
	}
	m.shuffle(all)
	sort.SliceStable(all, func(i, j int) bool { return m.zoneDistance(all[i], info) < m.zoneDistance(all[j], info) })
	var out []Member
	zones := map[string]bool{}
	for _, o := range all {
		if len(out) < m.cfg.IndirectProbes && !zones[o.Zone] {
			zones[o.Zone] = true
			out = append(out, o)
		}
	}
	return out
}

// zoneDistance is the sort key of a helper's zone.
func (m *Machine) zoneDistance(o Member, info *memberInfo) int {
	switch o.Zone {
	case info.m.Zone:
		return 0
	case m.self.Zone:
		return 2
	default:
		return 1
	}
}

func (m *Machine) shuffle(list []Member) {
	m.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

package membership

import (
	"sort"
	"time"
)

// OnHeartbeat takes a heartbeat or the reply to one: from is the sender's own entry,
// digest what it tells of others. Both are evidence that the sender lives.
func (m *Machine) OnHeartbeat(now time.Time, from Member, digest []Member) {
	if from.Node != m.self.Node && m.hasRoom(from.Node) {
		m.hear(now, from)
	}
	for _, d := range digest {
		m.merge(now, d)
	}
}

// hasRoom reports whether a node is known or can be added.
func (m *Machine) hasRoom(node string) bool {
	return m.entries[node] != nil || len(m.entries) < MaxMembers
}

// hear takes a member's word about itself.
func (m *Machine) hear(now time.Time, from Member) {
	e := m.get(from.Node)
	e.behind = from.Incarnation < e.m.Incarnation
	if e.behind {
		return
	}
	e.clear(now)
	e.direct = now
	if from.Incarnation > e.m.Incarnation {
		m.renew(now, e, from)
		return
	}
	e.m.Revision = max(e.m.Revision, from.Revision)
	m.fillAddrs(e, from)
	if e.m.State == Suspect || e.m.State == Unknown {
		m.set(e, Alive, now)
	}
}

// renew replaces e by a member's own newer entry.
func (m *Machine) renew(now time.Time, e *entry, from Member) {
	wasDown := e.m.State == Suspect || e.m.State == Gone
	if wasDown && from.State == Alive {
		e.refutes++
		e.refutedAt = now
	}
	addrs := e.m.ControlAddr != from.ControlAddr || e.m.EgressAddr != from.EgressAddr || e.m.EntryAddr != from.EntryAddr || e.m.Zone != from.Zone
	state := e.m.State
	switch {
	case !from.isBrief():
		e.m = from
		e.addrsOf = from.Incarnation
	default:
		e.m.Incarnation, e.m.Revision, e.m.State = from.Incarnation, from.Revision, from.State
		addrs = false
	}
	e.m.State = state
	m.set(e, from.State, now)
	m.tell(e, addrs)
	m.stalePeer = true
}

// fillAddrs takes the addresses of an incarnation that was first told briefly.
func (m *Machine) fillAddrs(e *entry, full Member) {
	if full.isBrief() || e.addrsOf >= full.Incarnation {
		return
	}
	e.addrsOf = full.Incarnation
	e.m.Zone, e.m.ControlAddr, e.m.EgressAddr, e.m.EntryAddr = full.Zone, full.ControlAddr, full.EgressAddr, full.EntryAddr
	m.stalePeer = true
	m.tell(e, true)
}

// merge takes what somebody tells of a third member.
func (m *Machine) merge(now time.Time, d Member) {
	if d.Node == m.self.Node {
		m.refute(d)
		return
	}
	e := m.entries[d.Node]
	if e == nil {
		if d.isBrief() || d.State == Gone || !m.hasRoom(d.Node) {
			return
		}
		e = m.get(d.Node)
	}
	switch {
	case d.Incarnation > e.m.Incarnation:
		if d.isBrief() && e.m.isBrief() {
			return
		}
		m.renew(now, e, d)
	case d.Incarnation == e.m.Incarnation:
		e.m.Revision = max(e.m.Revision, d.Revision)
		m.fillAddrs(e, d)
		accused := d.State == Suspect || d.State == Gone
		if d.State > e.m.State && !(accused && m.isFresh(now, e)) {
			m.set(e, d.State, now)
		}
	}
}

// isFresh reports whether this node has heard e so lately that it does not
// take another's word against it.
func (m *Machine) isFresh(now time.Time, e *entry) bool {
	return e.failingSince.IsZero() && now.Sub(e.heard) < m.cfg.SuspicionTimeout
}

// refute answers an accusation by a higher incarnation. An entry of an earlier
// process of this node is outdone in the same way. That the list calls this
// node leaving is no accusation.
func (m *Machine) refute(d Member) {
	accused := d.State == Suspect || d.State == Gone
	if d.Incarnation < m.self.Incarnation || d.Incarnation == m.self.Incarnation && !accused {
		return
	}
	m.self.Incarnation = d.Incarnation
	m.changeSelf()
}

// OnHeartbeatFailure tells that a heartbeat to node failed; refused, that its host answers
// and nobody listens there. It returns the helpers to ask to try the node.
func (m *Machine) OnHeartbeatFailure(now time.Time, node string, refused bool) []Member {
	e := m.entries[node]
	if e == nil || e.m.State == Unknown {
		return nil
	}
	if e.failingSince.IsZero() {
		e.failingSince = now
	}
	e.refused, e.failedAt = refused, now
	if e.m.State == Gone || e.asked > 0 || m.asking >= maxAsked {
		return nil
	}
	helpers := m.helpers(e)
	e.asked = len(helpers)
	if e.asked > 0 {
		m.asking++
	}
	if len(helpers) == 0 {
		m.accuse(now, e)
	}
	return helpers
}

// OnProbeResult takes a helper's answer: whether it reached the node.
func (m *Machine) OnProbeResult(now time.Time, node string, reached bool) {
	e := m.entries[node]
	if e == nil || e.asked == 0 {
		return
	}
	e.asked--
	if e.asked == 0 {
		m.asking--
	}
	if reached {
		e.clear(now)
		if e.m.State == Suspect {
			m.set(e, Alive, now)
		}
		return
	}
	if e.asked == 0 && !e.failingSince.IsZero() {
		m.accuse(now, e)
	}
}

// accuse makes e suspect; a leaving member that can't be reached has left.
func (m *Machine) accuse(now time.Time, e *entry) {
	switch e.m.State {
	case Alive:
		m.set(e, Suspect, now)
	case Leaving:
		m.set(e, Gone, now)
	}
}

// helpers chooses members to try e, each in another zone, since members of one
// zone share their paths: first one of e's own zone, last one of this node's.
func (m *Machine) helpers(e *entry) []Member {
	var all []Member
	for _, n := range m.names {
		o := m.entries[n]
		if o != e && o.m.State == Alive && o.failingSince.IsZero() {
			all = append(all, o.m)
		}
	}
	m.shuffle(all)
	sort.SliceStable(all, func(i, j int) bool { return m.distance(all[i], e) < m.distance(all[j], e) })
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

// distance orders helpers for e by their zone.
func (m *Machine) distance(o Member, e *entry) int {
	switch o.Zone {
	case e.m.Zone:
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

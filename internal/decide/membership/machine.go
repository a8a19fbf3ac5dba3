package membership

import (
	"math/rand/v2"
	"sort"
	"time"
)

// Machine holds the member states that one node assumes. It is not safe for
// concurrent use.
type Machine struct {
	cfg  Config
	rng  *rand.Rand
	self Member

	members       map[string]*memberInfo
	names         []string // sorted keys of members
	updates       []string // members with sendsLeft > 0, newest last
	selfSendsLeft int      // messages that still announce a change of self

	lastTick     time.Time
	tick         int
	peers        []string // members that get heartbeats in turn
	nextPeer     int
	refreshIndex int // index in names of the last member sent in turn
	peersStale   bool
	probing      int // members that are being probed through helpers
	version      uint64
}

// New returns the machine of a node that has just started.
func New(cfg Config, self Member, rng *rand.Rand) *Machine {
	self.State = Alive
	return &Machine{cfg: cfg, rng: rng, self: self, members: map[string]*memberInfo{}, version: 1}
}

// Self returns the description of this node.
func (m *Machine) Self() Member { return m.self }

// Version grows whenever Members changes in anything but a Revision.
func (m *Machine) Version() uint64 { return m.version }

// SetAddrs changes the addresses of this node's processes.
func (m *Machine) SetAddrs(egress, entry string) {
	if m.self.EgressAddr == egress && m.self.EntryAddr == entry {
		return
	}
	m.self.EgressAddr, m.self.EntryAddr = egress, entry
	m.updateSelf()
}

// SetRevision records the revision in force on this node. It never decreases.
func (m *Machine) SetRevision(r uint64) { m.self.Revision = max(m.self.Revision, r) }

// Leave announces that this node shuts down.
func (m *Machine) Leave() {
	m.self.State = Leaving
	m.updateSelf()
}

// updateSelf publishes a change of this node's own description.
func (m *Machine) updateSelf() {
	m.self.Incarnation++
	m.selfSendsLeft = m.sendCount()
	m.version++
}

// Members returns this node and all others except Unknown ones, ordered by name.
func (m *Machine) Members() []Member {
	out := make([]Member, 0, len(m.names)+1)
	placed := false
	for _, n := range m.names {
		if !placed && m.self.Node < n {
			out = append(out, m.self)
			placed = true
		}
		if info := m.members[n]; info.m.State != Unknown {
			out = append(out, info.m)
		}
	}
	if !placed {
		out = append(out, m.self)
	}
	return out
}

// NumOthers returns the number of other members that are not gone.
func (m *Machine) NumOthers() int {
	n := 0
	for _, info := range m.members {
		if info.m.State != Gone {
			n++
		}
	}
	return n
}

// getOrAdd returns the record of a node and adds it on first use.
func (m *Machine) getOrAdd(node string) *memberInfo {
	if info := m.members[node]; info != nil {
		return info
	}
	info := &memberInfo{m: Member{Node: node}}
	m.members[node] = info
	i := sort.SearchStrings(m.names, node)
	m.names = append(m.names, "")
	copy(m.names[i+1:], m.names[i:])
	m.names[i] = node
	m.peersStale = true
	return info
}

// setState changes the state of a member and queues the update.
func (m *Machine) setState(info *memberInfo, s State, now time.Time) {
	if info.m.State == s {
		return
	}
	info.m.State = s
	switch s {
	case Suspect:
		info.suspectUntil = now.Add(m.suspicionTimeout(info, now))
	case Gone:
		info.goneSince = now
		m.peersStale = true
	case Alive:
		m.peersStale = true
	}
	m.queueUpdate(info, false)
}

// suspicionTimeout grows with recent refutations, so that a member that is
// reachable on and off is not declared gone each time.
func (m *Machine) suspicionTimeout(info *memberInfo, now time.Time) time.Duration {
	if now.Sub(info.refutedAt) > refutationWindow {
		info.refutations = 0
	}
	return m.cfg.SuspicionTimeout * time.Duration(1+min(info.refutations, maxRefutations))
}

// queueUpdate adds the last change of a member to the next messages.
func (m *Machine) queueUpdate(info *memberInfo, full bool) {
	if info.sendsLeft == 0 {
		m.updates = append(m.updates, info.m.Node)
		m.boundUpdates()
	}
	info.sendsLeft = m.sendCount()
	info.sendFull = info.sendFull || full
	m.version++
}

// boundUpdates drops the oldest update when there are more than maxPendingUpdates.
func (m *Machine) boundUpdates() {
	if len(m.updates) <= maxPendingUpdates {
		return
	}
	if info := m.members[m.updates[0]]; info != nil {
		info.sendsLeft, info.sendFull = 0, false
	}
	m.updates = m.updates[1:]
}

// sendCount returns the number of messages that carry an update: logarithmic in
// the size of the fleet, which epidemic dissemination needs.
func (m *Machine) sendCount() int {
	n := 3
	for size := len(m.names) + 1; size > 1; size /= 2 {
		n++
	}
	return n
}

// OnList applies the platform's list of VMs. An empty list is ignored.
func (m *Machine) OnList(now time.Time, list []ListedNode) {
	if len(list) == 0 {
		return
	}
	seen := make(map[string]bool, len(list))
	for _, l := range list {
		seen[l.Node] = true
		if l.Node == m.self.Node {
			continue
		}
		info := m.getOrAdd(l.Node)
		info.listed, info.everListed, info.absentSince = true, true, time.Time{}
		if info.m.ControlAddr == "" {
			info.m.Zone, info.m.ControlAddr = l.Zone, l.ControlAddr
			m.peersStale = true
		}
		if l.Leaving && (info.m.State == Alive || info.m.State == Suspect) {
			m.setState(info, Leaving, now)
		}
	}
	for _, n := range m.names {
		info := m.members[n]
		if info.listed && !seen[n] {
			info.listed, info.absentSince = false, now
		}
	}
}

// removedFromList reports whether a member missing from the list counts as
// removed: another member of its zone is listed, its zone is this node's own, or
// it has been missing for Config.ListAbsence.
func (m *Machine) removedFromList(info *memberInfo, now time.Time) bool {
	if info.absentSince.IsZero() {
		return false
	}
	if now.Sub(info.absentSince) >= m.cfg.ListAbsence {
		return true
	}
	for _, n := range m.names {
		if o := m.members[n]; o != info && o.listed && o.m.Zone == info.m.Zone {
			return true
		}
	}
	return info.m.Zone == m.self.Zone
}

// mayDeclareGone reports whether an unreachable member may be declared gone.
func (m *Machine) mayDeclareGone(info *memberInfo, now time.Time) bool {
	if info.refused || info.m.State == Leaving || m.removedFromList(info, now) {
		return true
	}
	return m.isolatedFailure(info, now) && m.withinLossLimit(info)
}

// isolatedFailure reports whether a member kept failing for half the suspicion
// timeout after its zone was found reachable. Without this delay, members that
// become reachable late at the end of a network partition would look failed.
func (m *Machine) isolatedFailure(info *memberInfo, now time.Time) bool {
	if info.zoneReachableAt.IsZero() && m.zoneReachable(info) {
		info.zoneReachableAt = now
	}
	return !info.zoneReachableAt.IsZero() && info.lastFailure.Sub(info.zoneReachableAt) >= m.cfg.SuspicionTimeout/2
}

// zoneReachable reports whether another member of the zone was reached directly
// since the failure. If this node is the only other member there, a
// member of any zone counts.
func (m *Machine) zoneReachable(info *memberInfo) bool {
	inZone, anyone := false, false
	others := 0
	for _, n := range m.names {
		o := m.members[n]
		if o == info || o.m.State == Gone || o.m.State == Unknown {
			continue
		}
		after := o.lastDirect.After(info.failingSince)
		anyone = anyone || after
		if o.m.Zone == info.m.Zone {
			others++
			inZone = inZone || after
		}
	}
	if others == 0 && info.m.Zone == m.self.Zone {
		return anyone
	}
	return inZone
}

// withinLossLimit reports whether one more member of the zone may be declared
// gone on heartbeats alone.
func (m *Machine) withinLossLimit(info *memberInfo) bool {
	size, lost := 0, 0
	if info.m.Zone == m.self.Zone {
		size++
	}
	for _, n := range m.names {
		o := m.members[n]
		if o.m.Zone != info.m.Zone || o.m.State == Unknown || !o.absentSince.IsZero() {
			continue
		}
		size++
		if o.m.State == Gone && !o.refused {
			lost++
		}
	}
	return lost < max(1, size/lossDivisor)
}

// Lookup returns another member if its addresses are known.
func (m *Machine) Lookup(node string) (Member, bool) {
	info := m.members[node]
	if info == nil || info.m.ControlAddr == "" {
		return Member{}, false
	}
	return info.m, true
}

// Peers returns the members to which this node sends heartbeats in turn.
func (m *Machine) Peers() []Member {
	m.choosePeers()
	out := make([]Member, 0, len(m.peers))
	for _, n := range m.peers {
		if p, ok := m.Lookup(n); ok {
			out = append(out, p)
		}
	}
	return out
}

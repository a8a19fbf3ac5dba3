package membership

import (
	"math/rand/v2"
	"sort"
	"time"
)

// Machine is one node's belief about the fleet. It is not safe for concurrent
// use.
type Machine struct {
	cfg  Config
	rng  *rand.Rand
	self Member

	entries map[string]*entry
	names   []string // sorted; keys of entries
	news    []string // entries with tells left, newest last
	selfNew int      // messages that still carry self in full

	lastTick  time.Time
	tick      int
	peers     []string // whom this node sends heartbeats
	nextPeer  int
	refresh   int // next entry told without news
	stalePeer bool
	asking    int // members that helpers are asked about now
	version   uint64
}

// New returns the machine of self, which starts now.
func New(cfg Config, self Member, rng *rand.Rand) *Machine {
	self.State = Alive
	return &Machine{cfg: cfg, rng: rng, self: self, entries: map[string]*entry{}, version: 1}
}

// Self returns this node's own entry.
func (m *Machine) Self() Member { return m.self }

// Version grows whenever Members changes in more than a revision.
func (m *Machine) Version() uint64 { return m.version }

// SetAddrs changes the addresses of this node's processes.
func (m *Machine) SetAddrs(egress, entry string) {
	if m.self.EgressAddr == egress && m.self.EntryAddr == entry {
		return
	}
	m.self.EgressAddr, m.self.EntryAddr = egress, entry
	m.changeSelf()
}

// SetRevision tells the revision in force on this node.
func (m *Machine) SetRevision(r uint64) { m.self.Revision = max(m.self.Revision, r) }

// Leave announces that this node shuts down.
func (m *Machine) Leave() {
	m.self.State = Leaving
	m.changeSelf()
}

func (m *Machine) changeSelf() {
	m.self.Incarnation++
	m.selfNew = m.tellCount()
	m.version++
}

// Members returns this node and all others that are known to have lived,
// ordered by name.
func (m *Machine) Members() []Member {
	out := make([]Member, 0, len(m.names)+1)
	placed := false
	for _, n := range m.names {
		if !placed && m.self.Node < n {
			out = append(out, m.self)
			placed = true
		}
		if e := m.entries[n]; e.m.State != Unknown {
			out = append(out, e.m)
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
	for _, e := range m.entries {
		if e.m.State != Gone {
			n++
		}
	}
	return n
}

// get returns the entry of a node, made on first use.
func (m *Machine) get(node string) *entry {
	if e := m.entries[node]; e != nil {
		return e
	}
	e := &entry{m: Member{Node: node}}
	m.entries[node] = e
	i := sort.SearchStrings(m.names, node)
	m.names = append(m.names, "")
	copy(m.names[i+1:], m.names[i:])
	m.names[i] = node
	m.stalePeer = true
	return e
}

// set moves e to state and makes the change known.
func (m *Machine) set(e *entry, s State, now time.Time) {
	if e.m.State == s {
		return
	}
	e.m.State = s
	switch s {
	case Suspect:
		e.deadline = now.Add(m.suspicion(e, now))
	case Gone:
		e.goneSince = now
		m.stalePeer = true
	case Alive:
		m.stalePeer = true
	}
	m.tell(e, false)
}

// suspicion grows with the refutations of the last minute, so that a member
// that comes and goes is not dropped each time.
func (m *Machine) suspicion(e *entry, now time.Time) time.Duration {
	if now.Sub(e.refutedAt) > refuteMemory {
		e.refutes = 0
	}
	return m.cfg.SuspicionTimeout * time.Duration(1+min(e.refutes, maxRefutes))
}

// tell spreads e's change with the next messages.
func (m *Machine) tell(e *entry, full bool) {
	if e.tells == 0 {
		m.news = append(m.news, e.m.Node)
		m.boundNews()
	}
	e.tells = m.tellCount()
	e.full = e.full || full
	m.version++
}

// boundNews drops the oldest change when there are too many.
func (m *Machine) boundNews() {
	if len(m.news) <= maxNews {
		return
	}
	if e := m.entries[m.news[0]]; e != nil {
		e.tells, e.full = 0, false
	}
	m.news = m.news[1:]
}

// tellCount is the number of messages that carry a change: logarithmic in the
// size of the fleet, which is what epidemic spreading needs.
func (m *Machine) tellCount() int {
	n := 3
	for size := len(m.names) + 1; size > 1; size /= 2 {
		n++
	}
	return n
}

// OnList takes the platform's list. An empty list is never believed.
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
		e := m.get(l.Node)
		e.listed, e.everListed, e.missedSince = true, true, time.Time{}
		if e.m.ControlAddr == "" {
			e.m.Zone, e.m.ControlAddr = l.Zone, l.ControlAddr
			m.stalePeer = true
		}
		if l.Leaving && (e.m.State == Alive || e.m.State == Suspect) {
			m.set(e, Leaving, now)
		}
	}
	for _, n := range m.names {
		e := m.entries[n]
		if e.listed && !seen[n] {
			e.listed, e.missedSince = false, now
		}
	}
}

// dropped reports whether the list is believed to have dropped e.
func (m *Machine) dropped(e *entry, now time.Time) bool {
	if e.missedSince.IsZero() {
		return false
	}
	if now.Sub(e.missedSince) >= m.cfg.ListAbsence {
		return true
	}
	for _, n := range m.names {
		if o := m.entries[n]; o != e && o.listed && o.m.Zone == e.m.Zone {
			return true
		}
	}
	return e.m.Zone == m.self.Zone
}

// mayLose reports whether e, which nobody reaches, may be believed gone.
func (m *Machine) mayLose(e *entry, now time.Time) bool {
	if e.refused || e.m.State == Leaving || m.dropped(e, now) {
		return true
	}
	return m.witnessed(e, now) && m.withinBound(e)
}

// witnessed reports whether e kept failing for some time after another member
// of its zone was heard. The time keeps the end of a cut, when members come
// back one by one, from looking like the loss of the later ones.
func (m *Machine) witnessed(e *entry, now time.Time) bool {
	if e.witnessAt.IsZero() && m.hasWitness(e) {
		e.witnessAt = now
	}
	return !e.witnessAt.IsZero() && e.failedAt.Sub(e.witnessAt) >= m.cfg.SuspicionTimeout/2
}

// hasWitness reports whether another member of e's zone was heard since e
// failed; where this node is the only other one there, any member counts.
func (m *Machine) hasWitness(e *entry) bool {
	inZone, anyone := false, false
	others := 0
	for _, n := range m.names {
		o := m.entries[n]
		if o == e || o.m.State == Gone || o.m.State == Unknown {
			continue
		}
		after := o.direct.After(e.failingSince)
		anyone = anyone || after
		if o.m.Zone == e.m.Zone {
			others++
			inZone = inZone || after
		}
	}
	if others == 0 && e.m.Zone == m.self.Zone {
		return anyone
	}
	return inZone
}

// withinBound reports whether one more member of e's zone may be lost on
// heartbeats alone.
func (m *Machine) withinBound(e *entry) bool {
	size, lost := 0, 0
	if e.m.Zone == m.self.Zone {
		size++
	}
	for _, n := range m.names {
		o := m.entries[n]
		if o.m.Zone != e.m.Zone || o.m.State == Unknown || !o.missedSince.IsZero() {
			continue
		}
		size++
		if o.m.State == Gone && !o.refused {
			lost++
		}
	}
	return lost < max(1, size/lostShare)
}

// Lookup returns the entry of another member.
func (m *Machine) Lookup(node string) (Member, bool) {
	e := m.entries[node]
	if e == nil || e.m.ControlAddr == "" {
		return Member{}, false
	}
	return e.m, true
}

// Peers returns the members that get this node's heartbeats.
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

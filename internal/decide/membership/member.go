package membership

import "time"

// State is the belief about a member.
type State uint8

// The states, from best to worst. A worse state wins over a better one of the
// same incarnation.
const (
	Unknown State = iota // listed but never heard
	Alive
	Suspect
	Leaving
	Gone
)

// Member is one VM of the system. Incarnation grows with every start and every
// change that the member makes to its own entry, so it orders them.
type Member struct {
	Node        string
	Zone        string
	State       State
	Incarnation uint64
	ControlAddr string
	EgressAddr  string
	EntryAddr   string
	Revision    uint64
}

// isBrief reports whether m holds no addresses, only what changes often.
func (m Member) isBrief() bool { return m.ControlAddr == "" }

// brief returns m without zone and addresses.
func (m Member) brief() Member {
	return Member{Node: m.Node, State: m.State, Incarnation: m.Incarnation, Revision: m.Revision}
}

// ListedNode is a line of the platform's list.
type ListedNode struct {
	Node        string
	Zone        string
	ControlAddr string
	Leaving     bool
}

// Config bounds the decisions.
type Config struct {
	Interval         time.Duration // between two ticks
	SuspicionTimeout time.Duration // from suspect to gone
	IndirectProbes   int           // members asked to try a member that can't be reached
	// ListAbsence is how long the list must leave out a member before it is
	// believed without another listed member in the zone.
	ListAbsence time.Duration
	// TombstoneTTL is how long a gone member is remembered.
	TombstoneTTL time.Duration
}

// DefaultConfig returns the bounds for an interval between ticks.
func DefaultConfig(interval time.Duration) Config {
	return Config{
		Interval:         interval,
		SuspicionTimeout: 4 * interval,
		IndirectProbes:   3,
		ListAbsence:      30 * time.Second,
		TombstoneTTL:     10 * time.Minute,
	}
}

// The bounds of messages and peers.
const (
	digestUpdates   = 8   // entries of recent changes in one message
	fullDigestFleet = 12  // fleets up to this size send every entry briefly
	ringPeers       = 2   // successors in the ring of the own zone
	zonePeers       = 2   // more peers in the own zone
	otherPeers      = 2   // peers in other zones
	extraBeats      = 2   // more heartbeats in a tick while there is news
	maxRetries      = 4   // members that can't be reached and are tried in a tick
	maxAsked        = 4   // members that helpers are asked about at once
	maxNews         = 512 // changes told at once; what is dropped spreads in turn
	reviveEvery     = 8   // ticks between two tries of a member that is not alive
	maxRefutes      = 3   // bounds the growth of the suspicion time
	refuteMemory    = time.Minute
	pauseTicks      = 4 // a longer gap between ticks means that this node was paused
	lostShare       = 3 // one in lostShare of a zone may be lost on heartbeats alone
)

// clear notes a sign of life at now.
func (e *entry) clear(now time.Time) {
	e.heard = now
	e.failingSince, e.witnessAt, e.refused = time.Time{}, time.Time{}, false
}

// MaxMembers bounds the other members that a node remembers, whatever peers
// tell it.
const MaxMembers = 16384

// entry is what the machine knows of one other member.
type entry struct {
	m Member

	heard        time.Time // last sign of life, direct or through a helper
	direct       time.Time // last sign of life that came to this node itself
	failingSince time.Time // first failure since heard; zero: none
	failedAt     time.Time // last failure
	witnessAt    time.Time // when another member of the zone was heard since failingSince
	refused      bool      // its host answers and nobody listens
	asked        int       // helpers whose answers are outstanding
	deadline     time.Time // of a suspect
	goneSince    time.Time
	refutes      int
	refutedAt    time.Time

	listed      bool
	everListed  bool
	missedSince time.Time // the list has left it out since then

	behind  bool   // its process says a lower incarnation than is known of it
	addrsOf uint64 // incarnation of which zone and addresses are known

	tells int  // messages that still carry the last change
	full  bool // the change concerns zone or addresses
}

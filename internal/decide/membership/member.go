package membership

import "time"

// State is the state that this node assumes of a member.
type State uint8

// States, from best to worst. For one incarnation, a worse state overrides a
// better one.
const (
	Unknown State = iota // listed, but no heartbeat received yet
	Alive
	Suspect
	Leaving
	Gone
)

// Member describes one VM of the system. Incarnation grows with every start of
// the member and with every change that it makes to its own description, so it
// orders the versions.
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

// isStateOnly reports whether m lacks zone and addresses, which rarely change.
func (m Member) isStateOnly() bool { return m.ControlAddr == "" }

// stateOnly returns m without zone and addresses, to keep messages small.
func (m Member) stateOnly() Member {
	return Member{Node: m.Node, State: m.State, Incarnation: m.Incarnation, Revision: m.Revision}
}

// ListedNode is one VM in the platform's list.
type ListedNode struct {
	Node        string
	Zone        string
	ControlAddr string
	Leaving     bool
}

// Config holds the timeouts and limits of a Machine.
type Config struct {
	Interval         time.Duration // between two ticks
	SuspicionTimeout time.Duration // from suspect to gone
	IndirectProbes   int           // members that probe a member that this node can't reach
	// ListAbsence is how long a member must be missing from the list before it
	// counts as removed when no other member of its zone is listed.
	ListAbsence time.Duration
	// TombstoneTTL is how long a gone member is kept.
	TombstoneTTL time.Duration
}

// DefaultConfig returns the configuration for an interval between ticks.
func DefaultConfig(interval time.Duration) Config {
	return Config{
		Interval:         interval,
		SuspicionTimeout: 4 * interval,
		IndirectProbes:   3,
		ListAbsence:      30 * time.Second,
		TombstoneTTL:     10 * time.Minute,
	}
}

// Limits of messages, peers and decisions.
const (
	digestUpdates     = 8           // recent updates in one message
	smallFleet        = 12          // up to this many other members are all peers and in every message
	ringPeers         = 2           // successors in the ring of the node's own zone
	zonePeers         = 2           // further peers in the own zone
	otherPeers        = 2           // peers in other zones
	extraHeartbeats   = 2           // additional heartbeats per tick while updates are pending
	maxRetries        = 4           // unreachable members that get a heartbeat in a tick
	maxIndirectProbes = 4           // members that are probed through helpers at once
	maxPendingUpdates = 512         // pending updates; dropped ones still spread with the member sent in turn
	reconnectTicks    = 8           // ticks between heartbeats to a random member that is not alive
	maxRefutations    = 3           // limits the growth of the suspicion timeout
	refutationWindow  = time.Minute // earlier refutations don't extend the suspicion timeout
	pauseTicks        = 4           // a longer gap between ticks means that this node was paused
	lossDivisor       = 3           // 1/lossDivisor of a zone may be declared gone on heartbeats alone
)

// markReachable records that the member was reached at now.
func (info *memberInfo) markReachable(now time.Time) {
	info.lastSeen = now
	info.failingSince, info.zoneReachableAt, info.refused = time.Time{}, time.Time{}, false
}

// MaxMembers limits the number of other members kept, whatever peers report.
const MaxMembers = 16384

// memberInfo is what a Machine records about one other member.
type memberInfo struct {
	m Member

	lastSeen        time.Time // last time reached, directly or through a helper
	lastDirect      time.Time // last heartbeat or reply received by this node itself
	failingSince    time.Time // first failure since lastSeen; zero: none
	lastFailure     time.Time // last failed heartbeat
	zoneReachableAt time.Time // when another member of the zone was found reachable since failingSince
	refused         bool      // connection refused: the host answers, but no process listens
	pendingProbes   int       // helpers that have not answered yet
	suspectUntil    time.Time // when a suspect may be declared gone
	goneSince       time.Time
	refutations     int
	refutedAt       time.Time

	listed      bool
	everListed  bool
	absentSince time.Time // missing from the list since then; zero: listed or never listed

	outdated         bool   // its last heartbeat had a lower incarnation than recorded
	addrsIncarnation uint64 // incarnation that zone and addresses belong to

	sendsLeft int  // messages that still carry the last update
	sendFull  bool // the update includes zone and addresses
}

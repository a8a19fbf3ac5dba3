package matrix

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/backoff"
	"github.com/sapphirewall/sapphirewall/internal/decide/membership"
	"github.com/sapphirewall/sapphirewall/internal/decide/revision"
)

// The parameters of the control cells.
const (
	simStep           = 100 * time.Millisecond
	heartbeatInterval = 500 * time.Millisecond
	heartbeatTimeout  = 500 * time.Millisecond
	simDuration       = 40 * time.Second
	failoverWithin    = 6 * time.Second // until ownership has moved after a failure
	relayCount        = 2
	fetchDelay        = time.Second
)

// membershipPolicy decides the member states on a node.
type membershipPolicy interface {
	Tick(time.Time) []membership.Member
	OnHeartbeat(time.Time, membership.Member, []membership.Member)
	OnHeartbeatFailure(time.Time, string, bool) []membership.Member
	OnProbeResult(time.Time, string, bool)
	OnList(time.Time, []membership.ListedNode)
	Digest(string) []membership.Member
	Members() []membership.Member
	Self() membership.Member
	SetRevision(uint64)
	NumOthers() int
	Leave()
}

// tablesPolicy chooses the revision in force on a node.
type tablesPolicy interface {
	Offer(revision.Offer, revision.Digest) revision.Decision
	InForce(time.Time) (revision.Offer, bool)
	ObservePeer(string, uint64)
	SetPeerCount(int)
	Behind() bool
}

// controlNode is one control process on virtual time.
type controlNode struct {
	name, zone     string
	members        membershipPolicy
	tables         tablesPolicy
	pace           *backoff.Pacer
	running        bool
	paused         bool
	hostDown       bool // the VM is down: connections time out instead of being refused
	startedAt      time.Duration
	disturbedAt    time.Duration // when it was last started, killed, paused, isolated or reconnected
	revision       uint64
	starting       bool // no revision put in force since the start
	listedAt       time.Time
	aheadPeer      *controlNode
	aheadSince     time.Time
	ownerlessSince map[string]time.Duration // by zone without a working owner
}

// fleetSim simulates a fleet, its network and the platform on virtual time.
type fleetSim struct {
	h      *history
	rng    *rand.Rand
	now    time.Duration
	nodes  []*controlNode
	timers []timer

	isCut               func(from, to *controlNode) bool // messages in this direction are lost
	platformDown        bool
	platformUnreachable func(*controlNode) bool
	platformDelay       time.Duration
	staleOffer          *revision.Offer // the platform answers with it instead of head
	staleHalf           bool            // only every other call is answered with staleOffer
	lossyReplies        bool            // 30% of heartbeat replies are lost
	expectations        []expectation
	head                revision.Offer
	zoneOut             acceptance              // revision that takes zone a out of service
	staleList           []membership.ListedNode // nil: the list is current
	listDown            bool
	platformCalls       int // calls received by the platform

	newMembers func(sim *fleetSim, n *controlNode) membershipPolicy
	newTables  func(now time.Time) tablesPolicy
}

// expectation is a condition that must become true.
type expectation struct {
	id   string
	done func() bool
}

// expect requires done to become true within a time from now.
func (sim *fleetSim) expect(id string, within time.Duration, done func() bool) {
	sim.h.deadlines[id] = sim.now + within
	sim.expectations = append(sim.expectations, expectation{id, done})
}

type timer struct {
	at time.Duration
	do func()
}

// epoch is the wall-clock time at virtual time 0 of the control and drain cells.
var epoch = time.Unix(1_700_000_000, 0)

func (sim *fleetSim) time() time.Time { return epoch.Add(sim.now) }

// newFleetSim returns a simulation of n nodes.
func newFleetSim(seed uint64, n int) *fleetSim {
	sim := &fleetSim{
		h:                   &history{deadlines: map[string]time.Duration{}, finishedAt: map[string]time.Duration{}},
		rng:                 rand.New(rand.NewPCG(seed, 7)),
		isCut:               func(_, _ *controlNode) bool { return false },
		platformUnreachable: func(*controlNode) bool { return false },
		newMembers: func(sim *fleetSim, n *controlNode) membershipPolicy {
			self := membership.Member{Node: n.name, Zone: n.zone, Incarnation: uint64(sim.time().UnixMilli()), ControlAddr: n.name, EgressAddr: n.name}
			return membership.New(membership.DefaultConfig(heartbeatInterval), self, rand.New(rand.NewPCG(seed, sim.rng.Uint64())))
		},
		newTables: func(now time.Time) tablesPolicy { return revision.New(revision.DefaultConfig(), now) },
	}
	sim.startNodes(n)
	return sim
}

// startNodes starts n nodes in three zones and commits the first revision.
func (sim *fleetSim) startNodes(n int) {
	if n == 0 {
		return
	}
	for i := range n {
		sim.nodes = append(sim.nodes, &controlNode{name: fmt.Sprint("vm-", i), zone: string(rune('a' + i%3))})
		sim.start(sim.nodes[i])
	}
	sim.commit()
}

// start starts a process without state on n.
func (sim *fleetSim) start(n *controlNode) {
	n.running, n.paused, n.hostDown = true, false, false
	n.startedAt, n.disturbedAt = sim.now, sim.now
	sim.h.adoptions = append(sim.h.adoptions, adoption{n.name, n.revision, sim.now, sim.now})
	n.listedAt, n.aheadPeer, n.starting = time.Time{}, nil, true
	n.members = sim.newMembers(sim, n)
	n.tables = sim.newTables(sim.time())
	n.pace = backoff.New(backoff.DefaultConfig(), rand.New(rand.NewPCG(sim.rng.Uint64(), 1)))
	n.ownerlessSince = map[string]time.Duration{}
}

func (sim *fleetSim) kill(n *controlNode) {
	n.running, n.disturbedAt = false, sim.now
	sim.dropLookups(n)
}

// dropLookups drops the open owner lookups of a process that stops or pauses.
func (sim *fleetSim) dropLookups(n *controlNode) {
	for zone, since := range n.ownerlessSince {
		delete(sim.h.deadlines, lookupID(n, zone, since))
	}
	n.ownerlessSince = map[string]time.Duration{}
}

func lookupID(n *controlNode, zone string, since time.Duration) string {
	return fmt.Sprintf("%s finds an owner in zone %s, without one since %v", n.name, zone, since)
}

func digestOf(r uint64) revision.Digest { return sha256.Sum256(fmt.Append(nil, "tables ", r)) }

func offerOf(r uint64) revision.Offer { return revision.Offer{Revision: r, Digest: digestOf(r)} }

// commit accepts the next revision if the platform accepts writes.
func (sim *fleetSim) commit() {
	if sim.platformDown || sim.staleOffer != nil && !sim.staleHalf {
		return
	}
	sim.head = offerOf(sim.head.Revision + 1)
	sim.h.accepted = append(sim.h.accepted, acceptance{sim.head.Revision, sim.now})
}

// after runs do when d has passed.
func (sim *fleetSim) after(d time.Duration, do func()) {
	sim.timers = append(sim.timers, timer{sim.now + d, do})
}

// run simulates until simDuration; script runs first in every step and injects
// the faults.
func (sim *fleetSim) run(script func(sim *fleetSim, at time.Duration)) *history {
	for sim.now = 0; sim.now < simDuration; sim.now += simStep {
		script(sim, sim.now)
		for _, e := range sim.expectations {
			if _, done := sim.h.finishedAt[e.id]; !done && e.done() {
				sim.h.finishedAt[e.id] = sim.now
			}
		}
		pending := sim.timers
		sim.timers = nil
		for _, t := range pending {
			if t.at <= sim.now {
				t.do()
			} else {
				sim.timers = append(sim.timers, t)
			}
		}
		for i, n := range sim.nodes {
			if n.running && !n.paused {
				sim.stepNode(n, sim.now/simStep%(heartbeatInterval/simStep) == time.Duration(i)%(heartbeatInterval/simStep))
			}
		}
	}
	sim.checkFinalState()
	return sim.h
}

// checkFinalState requires that every working node lists the other nodes with
// their actual state and revision.
func (sim *fleetSim) checkFinalState() {
	for _, n := range sim.nodes {
		if !sim.isWorking(n) {
			continue
		}
		for _, m := range n.members.Members() {
			o := sim.node(m.Node)
			id := fmt.Sprintf("%s lists the actual state and revision of %s", n.name, m.Node)
			sim.h.deadlines[id] = sim.now
			alive := m.State == membership.Alive || m.State == membership.Leaving
			if sim.isWorking(o) == alive && (!alive || m.Revision == o.revision) {
				sim.h.finishedAt[id] = sim.now
			}
		}
	}
}

func (sim *fleetSim) stepNode(n *controlNode, tick bool) {
	if tick {
		for _, t := range n.members.Tick(sim.time()) {
			sim.sendHeartbeat(n, sim.node(t.Node))
		}
	}
	sim.pollTables(n)
	o, ok := n.tables.InForce(sim.time())
	if ok && (o.Revision != n.revision || n.starting) {
		n.revision, n.starting = o.Revision, false
		n.members.SetRevision(o.Revision)
		sim.h.adoptions = append(sim.h.adoptions, adoption{n.name, o.Revision, sim.now, max(n.disturbedAt, n.startedAt)})
	}
	sim.sendToZone(n)
	sim.checkOwners(n)
}

// sendToZone sends new work to the zone that operators take out of service while
// the tables in force on n still allow it.
func (sim *fleetSim) sendToZone(n *controlNode) {
	if sim.zoneOut.revision == 0 || n.revision >= sim.zoneOut.revision {
		return
	}
	since := max(sim.zoneOut.at, n.disturbedAt, n.startedAt)
	sim.h.attempts = append(sim.h.attempts, attempt{n.name + " to zone a", sim.now, since, inForceWithin})
}

func (sim *fleetSim) node(name string) *controlNode {
	for _, n := range sim.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

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

// The times and sizes of the control cells.
const (
	worldStep     = 100 * time.Millisecond
	worldInterval = 500 * time.Millisecond // of heartbeats
	worldTimeout  = 500 * time.Millisecond // of a heartbeat
	worldLength   = 40 * time.Second
	followWithin  = 6 * time.Second // work follows the ranking after a loss
	worldRelays   = 2
	fetchAfter    = time.Second
)

// believer is the membership policy of a node.
type believer interface {
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

// adopter is the policy that chooses the revision in force.
type adopter interface {
	Offer(revision.Offer, revision.Digest) revision.Decision
	InForce(time.Time) (revision.Offer, bool)
	ObservePeer(string, uint64)
	SetPeerCount(int)
	Behind() bool
}

// controlNode is one control process on virtual time.
type controlNode struct {
	name, zone string
	members    believer
	tables     adopter
	pace       *backoff.Pacer
	running    bool
	paused     bool
	hostDown   bool // the VM is lost, so connections are not even refused
	began      time.Duration
	disturbed  time.Duration // last time when it was killed, paused or cut
	shown      uint64
	fresh      bool // nothing put in force since the start
	listAt     time.Time
	ahead      *controlNode
	aheadAt    time.Time
	down       map[string]time.Duration // zones without a working owner, since
}

// world is a fleet, its network and the platform on virtual time.
type world struct {
	h     *history
	rng   *rand.Rand
	now   time.Duration
	nodes []*controlNode
	later []timed

	cut          func(from, to *controlNode) bool // a message from from is lost
	platformDown bool
	platformCut  func(*controlNode) bool
	slow         time.Duration
	past         *revision.Offer // what the platform answers with instead of head
	pastHalf     bool            // only every other call is answered from the past
	lossy        bool            // three replies in ten are lost
	waits        []wait
	head         revision.Offer
	zoneOut      acceptance              // revision from which zone a receives no new work
	list         []membership.ListedNode // nil: the running nodes
	listDown     bool
	calls        int // of the platform

	newMembers func(w *world, n *controlNode) believer
	newTables  func(now time.Time) adopter
}

// wait is something that must become true.
type wait struct {
	id   string
	done func() bool
}

// expect asks for done within a time from now.
func (w *world) expect(id string, within time.Duration, done func() bool) {
	w.h.asked[id] = w.now + within
	w.waits = append(w.waits, wait{id, done})
}

type timed struct {
	at time.Duration
	do func()
}

// epoch is the virtual time's zero.
var epoch = time.Unix(1_700_000_000, 0)

func (w *world) time() time.Time { return epoch.Add(w.now) }

// newWorld makes a world of n nodes.
func newWorld(seed uint64, n int) *world {
	w := &world{
		h:           &history{asked: map[string]time.Duration{}, finished: map[string]time.Duration{}},
		rng:         rand.New(rand.NewPCG(seed, 7)),
		cut:         func(_, _ *controlNode) bool { return false },
		platformCut: func(*controlNode) bool { return false },
		newMembers: func(w *world, n *controlNode) believer {
			self := membership.Member{Node: n.name, Zone: n.zone, Incarnation: uint64(w.time().UnixMilli()), ControlAddr: n.name, EgressAddr: n.name}
			return membership.New(membership.DefaultConfig(worldInterval), self, rand.New(rand.NewPCG(seed, w.rng.Uint64())))
		},
		newTables: func(now time.Time) adopter { return revision.New(revision.DefaultConfig(), now) },
	}
	w.populate(n)
	return w
}

// populate starts n nodes in three zones and commits the first revision.
func (w *world) populate(n int) {
	if n == 0 {
		return
	}
	for i := range n {
		w.nodes = append(w.nodes, &controlNode{name: fmt.Sprint("vm-", i), zone: string(rune('a' + i%3))})
		w.start(w.nodes[i])
	}
	w.commit()
}

// start begins a process on n that remembers nothing.
func (w *world) start(n *controlNode) {
	n.running, n.paused, n.hostDown = true, false, false
	n.began, n.disturbed = w.now, w.now
	w.h.adoptions = append(w.h.adoptions, adoption{n.name, n.shown, w.now, w.now})
	n.listAt, n.ahead, n.fresh = time.Time{}, nil, true
	n.members = w.newMembers(w, n)
	n.tables = w.newTables(w.time())
	n.pace = backoff.New(backoff.DefaultConfig(), rand.New(rand.NewPCG(w.rng.Uint64(), 1)))
	n.down = map[string]time.Duration{}
}

func (w *world) kill(n *controlNode) {
	n.running, n.disturbed = false, w.now
	w.forget(n)
}

// forget drops what a process looked for that ends or stands still.
func (w *world) forget(n *controlNode) {
	for zone, since := range n.down {
		delete(w.h.asked, lookupID(n, zone, since))
	}
	n.down = map[string]time.Duration{}
}

func lookupID(n *controlNode, zone string, since time.Duration) string {
	return fmt.Sprintf("%s finds an owner in %s from %v", n.name, zone, since)
}

func textOf(r uint64) revision.Digest { return sha256.Sum256(fmt.Append(nil, "tables ", r)) }

func offerOf(r uint64) revision.Offer { return revision.Offer{Revision: r, Digest: textOf(r)} }

// commit accepts the next revision, if the platform takes writes.
func (w *world) commit() {
	if w.platformDown || w.past != nil && !w.pastHalf {
		return
	}
	w.head = offerOf(w.head.Revision + 1)
	w.h.accepted = append(w.h.accepted, acceptance{w.head.Revision, w.now})
}

// after runs do in d.
func (w *world) after(d time.Duration, do func()) {
	w.later = append(w.later, timed{w.now + d, do})
}

// run moves the world to the end, with faults brought about by script.
func (w *world) run(script func(w *world, at time.Duration)) *history {
	for w.now = 0; w.now < worldLength; w.now += worldStep {
		script(w, w.now)
		for _, wt := range w.waits {
			if _, done := w.h.finished[wt.id]; !done && wt.done() {
				w.h.finished[wt.id] = w.now
			}
		}
		due := w.later
		w.later = nil
		for _, t := range due {
			if t.at <= w.now {
				t.do()
			} else {
				w.later = append(w.later, t)
			}
		}
		for i, n := range w.nodes {
			if n.running && !n.paused {
				w.stepNode(n, w.now/worldStep%(worldInterval/worldStep) == time.Duration(i)%(worldInterval/worldStep))
			}
		}
	}
	w.checkEnd()
	return w.h
}

// checkEnd asks that every node knows who lives and with which revision.
func (w *world) checkEnd() {
	for _, n := range w.nodes {
		if !w.works(n) {
			continue
		}
		for _, m := range n.members.Members() {
			o := w.byName(m.Node)
			id := fmt.Sprintf("%s reports %s as it is", n.name, m.Node)
			w.h.asked[id] = w.now
			alive := m.State == membership.Alive || m.State == membership.Leaving
			if w.works(o) == alive && (!alive || m.Revision == o.shown) {
				w.h.finished[id] = w.now
			}
		}
	}
}

func (w *world) stepNode(n *controlNode, tick bool) {
	if tick {
		for _, t := range n.members.Tick(w.time()) {
			w.beat(n, w.byName(t.Node))
		}
	}
	w.getTables(n)
	o, ok := n.tables.InForce(w.time())
	if ok && (o.Revision != n.shown || n.fresh) {
		n.shown, n.fresh = o.Revision, false
		n.members.SetRevision(o.Revision)
		w.h.adoptions = append(w.h.adoptions, adoption{n.name, o.Revision, w.now, max(n.disturbed, n.began)})
	}
	w.sendToZone(n)
	w.watchOwners(n)
}

// sendToZone sends new work to the zone that operators take out, as long as the
// tables in force on n allow it.
func (w *world) sendToZone(n *controlNode) {
	if w.zoneOut.revision == 0 || n.shown >= w.zoneOut.revision {
		return
	}
	since := max(w.zoneOut.at, n.disturbed, n.began)
	w.h.sends = append(w.h.sends, send{n.name + " to zone a", w.now, since, inForceWithin})
}

func (w *world) byName(name string) *controlNode {
	for _, n := range w.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

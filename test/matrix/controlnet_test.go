package matrix

import (
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/membership"
	"github.com/sapphirewall/sapphirewall/internal/decide/ownership"
	"github.com/sapphirewall/sapphirewall/internal/decide/relay"
)

// reach reports whether a message from a is handled by b.
func (w *world) reach(a, b *controlNode) bool {
	return b.running && !b.paused && !w.cut(a, b)
}

// beat sends a heartbeat and takes its reply or its failure.
func (w *world) beat(a, b *controlNode) {
	if b == nil {
		return
	}
	if w.exchange(a, b) {
		return
	}
	refused := !b.running && !b.hostDown && !w.cut(a, b) && !w.cut(b, a)
	wait := worldTimeout
	if refused {
		wait = 0
	}
	w.after(wait, func() {
		if a.paused || !a.running {
			return
		}
		for _, h := range a.members.OnHeartbeatFailure(w.time(), b.name, refused) {
			helper := w.byName(h.Node)
			w.after(worldTimeout, func() {
				ok := w.reach(a, helper) && w.exchange(helper, b) && w.reach(helper, a)
				a.members.OnProbeResult(w.time(), b.name, ok)
			})
		}
	})
}

// exchange is a heartbeat and its reply; either may be lost.
func (w *world) exchange(a, b *controlNode) bool {
	if !w.reach(a, b) {
		return false
	}
	w.hear(b, a)
	if !w.reach(b, a) || w.lossy && w.rng.IntN(10) < 3 {
		return false
	}
	w.hear(a, b)
	return true
}

func (w *world) hear(to, from *controlNode) {
	to.members.OnHeartbeat(w.time(), from.members.Self(), from.members.Digest(to.name))
	to.tables.SetPeerCount(to.members.NumOthers())
	r := from.members.Self().Revision
	to.tables.ObservePeer(from.name, r)
	if o, _ := to.tables.InForce(w.time()); r > o.Revision && (to.ahead == nil || !to.ahead.running) {
		to.ahead, to.aheadAt = from, w.time()
	}
}

// getTables does what a node's route and its peers give it.
func (w *world) getTables(n *controlNode) {
	var can []ownership.Candidate
	for _, m := range n.members.Members() {
		if m.State == membership.Alive || m.State == membership.Suspect {
			can = append(can, ownership.Candidate{Node: m.Node, Zone: m.Zone})
		}
	}
	route := relay.SourceOf(n.name, n.zone, can, worldRelays)
	if n.pace.Next(w.time()).After(w.time()) {
		return
	}
	if route.Platform || n.members.NumOthers() == 0 {
		w.callPlatform(n)
	} else {
		r := w.byName(route.Relays[n.pace.Failures()%len(route.Relays)])
		n.pace.Done(w.time(), w.offerFrom(n, r))
	}
	_, started := n.tables.InForce(w.time())
	if n.tables.Behind() && n.ahead != nil && (!started || w.time().Sub(n.aheadAt) >= fetchAfter) {
		w.offerFrom(n, n.ahead)
		n.ahead = nil
	}
}

// offerFrom lets n ask a peer for its tables.
func (w *world) offerFrom(n, from *controlNode) bool {
	if from == nil || !w.reach(n, from) || !w.reach(from, n) {
		return false
	}
	if o, ok := from.tables.InForce(w.time()); ok {
		n.tables.Offer(o, textOf(o.Revision))
	}
	return true
}

func (w *world) callPlatform(n *controlNode) {
	w.calls++
	n.pace.Called(w.time())
	if !w.listDown && !w.platformCut(n) && (n.listAt.IsZero() || w.time().Sub(n.listAt) >= 2*time.Second) {
		n.listAt = w.time()
		n.members.OnList(w.time(), w.vms())
		n.tables.SetPeerCount(n.members.NumOthers())
	}
	if w.platformDown || w.platformCut(n) {
		n.pace.Done(w.time(), false)
		return
	}
	o := w.head
	if w.past != nil && (!w.pastHalf || w.calls%2 == 0) {
		o = *w.past
	}
	n.pace.Done(w.time(), true)
	w.after(w.slow, func() { n.tables.Offer(o, textOf(o.Revision)) })
}

// vms is the platform's list.
func (w *world) vms() []membership.ListedNode {
	if w.list != nil {
		return w.list
	}
	var out []membership.ListedNode
	for _, n := range w.nodes {
		if n.running || !n.hostDown {
			out = append(out, membership.ListedNode{Node: n.name, Zone: n.zone, ControlAddr: n.name})
		}
	}
	return out
}

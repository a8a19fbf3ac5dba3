package matrix

import (
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/membership"
	"github.com/sapphirewall/sapphirewall/internal/decide/ownership"
	"github.com/sapphirewall/sapphirewall/internal/decide/relay"
)

// reaches reports whether b handles a message from a.
func (sim *fleetSim) reaches(a, b *controlNode) bool {
	return b.running && !b.paused && !sim.isCut(a, b)
}

// sendHeartbeat sends a heartbeat from a to b and handles the reply, or the
// failure with its indirect probes.
func (sim *fleetSim) sendHeartbeat(a, b *controlNode) {
	if b == nil {
		return
	}
	if sim.exchangeHeartbeat(a, b) {
		return
	}
	refused := !b.running && !b.hostDown && !sim.isCut(a, b) && !sim.isCut(b, a)
	wait := heartbeatTimeout
	if refused {
		wait = 0
	}
	sim.after(wait, func() {
		if a.paused || !a.running {
			return
		}
		for _, h := range a.members.OnHeartbeatFailure(sim.time(), b.name, refused) {
			helper := sim.node(h.Node)
			sim.after(heartbeatTimeout, func() {
				ok := sim.reaches(a, helper) && sim.exchangeHeartbeat(helper, b) && sim.reaches(helper, a)
				a.members.OnProbeResult(sim.time(), b.name, ok)
			})
		}
	})
}

// exchangeHeartbeat delivers a heartbeat and its reply; either may be lost. It
// reports whether the reply arrived.
func (sim *fleetSim) exchangeHeartbeat(a, b *controlNode) bool {
	if !sim.reaches(a, b) {
		return false
	}
	sim.receiveHeartbeat(b, a)
	if !sim.reaches(b, a) || sim.lossyReplies && sim.rng.IntN(10) < 3 {
		return false
	}
	sim.receiveHeartbeat(a, b)
	return true
}

func (sim *fleetSim) receiveHeartbeat(to, from *controlNode) {
	to.members.OnHeartbeat(sim.time(), from.members.Self(), from.members.Digest(to.name))
	to.tables.SetPeerCount(to.members.NumOthers())
	r := from.members.Self().Revision
	to.tables.ObservePeer(from.name, r)
	if o, _ := to.tables.InForce(sim.time()); r > o.Revision && (to.aheadPeer == nil || !to.aheadPeer.running) {
		to.aheadPeer, to.aheadSince = from, sim.time()
	}
}

// pollTables fetches the tables from the node's source when a call is due, and
// from a peer that has reported a newer revision.
func (sim *fleetSim) pollTables(n *controlNode) {
	var candidates []ownership.Candidate
	for _, m := range n.members.Members() {
		if m.State == membership.Alive || m.State == membership.Suspect {
			candidates = append(candidates, ownership.Candidate{Node: m.Node, Zone: m.Zone})
		}
	}
	route := relay.SourceOf(n.name, n.zone, candidates, relayCount)
	if n.pace.Next(sim.time()).After(sim.time()) {
		return
	}
	if route.Platform || n.members.NumOthers() == 0 {
		sim.callPlatform(n)
	} else {
		r := sim.node(route.Relays[n.pace.Failures()%len(route.Relays)])
		n.pace.Done(sim.time(), sim.fetchFrom(n, r))
	}
	_, started := n.tables.InForce(sim.time())
	if n.tables.Behind() && n.aheadPeer != nil && (!started || sim.time().Sub(n.aheadSince) >= fetchDelay) {
		sim.fetchFrom(n, n.aheadPeer)
		n.aheadPeer = nil
	}
}

// fetchFrom fetches the tables in force from a peer and reports whether the peer
// answered.
func (sim *fleetSim) fetchFrom(n, from *controlNode) bool {
	if from == nil || !sim.reaches(n, from) || !sim.reaches(from, n) {
		return false
	}
	if o, ok := from.tables.InForce(sim.time()); ok {
		n.tables.Offer(o, digestOf(o.Revision))
	}
	return true
}

func (sim *fleetSim) callPlatform(n *controlNode) {
	sim.platformCalls++
	n.pace.Called(sim.time())
	if !sim.listDown && !sim.platformUnreachable(n) && (n.listedAt.IsZero() || sim.time().Sub(n.listedAt) >= 2*time.Second) {
		n.listedAt = sim.time()
		n.members.OnList(sim.time(), sim.listVMs())
		n.tables.SetPeerCount(n.members.NumOthers())
	}
	if sim.platformDown || sim.platformUnreachable(n) {
		n.pace.Done(sim.time(), false)
		return
	}
	o := sim.head
	if sim.staleOffer != nil && (!sim.staleHalf || sim.platformCalls%2 == 0) {
		o = *sim.staleOffer
	}
	n.pace.Done(sim.time(), true)
	sim.after(sim.platformDelay, func() { n.tables.Offer(o, digestOf(o.Revision)) })
}

// listVMs returns the platform's list of VMs.
func (sim *fleetSim) listVMs() []membership.ListedNode {
	if sim.staleList != nil {
		return sim.staleList
	}
	var out []membership.ListedNode
	for _, n := range sim.nodes {
		if n.running || !n.hostDown {
			out = append(out, membership.ListedNode{Node: n.name, Zone: n.zone, ControlAddr: n.name})
		}
	}
	return out
}

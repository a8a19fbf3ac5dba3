package matrix

import (
	"fmt"

	"github.com/sapphirewall/sapphirewall/internal/decide/membership"
	"github.com/sapphirewall/sapphirewall/internal/decide/ownership"
)

// checkOwners requires of node n's view that each zone with a working node has a
// working owner, and that no working node is considered gone.
func (sim *fleetSim) checkOwners(n *controlNode) {
	if sim.now-n.startedAt < failoverWithin {
		return
	}
	var candidates []ownership.Candidate
	for _, m := range n.members.Members() {
		other := sim.node(m.Node)
		if m.State == membership.Gone && sim.isWorking(other) && sim.now-other.disturbedAt > failoverWithin {
			sim.h.deadlines[fmt.Sprintf("%s lists the working node %s at %v", n.name, m.Node, sim.now)] = sim.now
		}
		if m.State != membership.Gone && m.State != membership.Leaving {
			candidates = append(candidates, ownership.Candidate{Node: m.Node, Zone: m.Zone})
		}
	}
	for _, zone := range []string{"a", "b", "c"} {
		owner := sim.node(ownership.Rank("replica", zone, candidates, 1)[0])
		owned := !sim.zoneReachable(n, zone) || owner.zone == zone && sim.isWorking(owner)
		since, wasOwnerless := n.ownerlessSince[zone]
		switch {
		case !owned && !wasOwnerless:
			n.ownerlessSince[zone] = sim.now
			sim.h.deadlines[lookupID(n, zone, sim.now)] = sim.now + failoverWithin
		case owned && wasOwnerless:
			sim.h.finishedAt[lookupID(n, zone, since)] = sim.now
			delete(n.ownerlessSince, zone)
		}
	}
}

// zoneReachable reports whether n reaches a working node of the zone.
func (sim *fleetSim) zoneReachable(n *controlNode, zone string) bool {
	for _, o := range sim.nodes {
		reached := o == n || sim.reaches(n, o) && sim.reaches(o, n)
		if o.zone == zone && reached && sim.isWorking(o) && sim.now-o.startedAt >= failoverWithin {
			return true
		}
	}
	return false
}

// isWorking reports whether n runs and exchanges messages with another node.
func (sim *fleetSim) isWorking(n *controlNode) bool {
	if !n.running || n.paused {
		return false
	}
	for _, o := range sim.nodes {
		if o != n && sim.reaches(o, n) && sim.reaches(n, o) {
			return true
		}
	}
	return false
}

package matrix

import (
	"fmt"

	"github.com/sapphirewall/sapphirewall/internal/decide/membership"
	"github.com/sapphirewall/sapphirewall/internal/decide/ownership"
)

// watchOwners asks for a working owner in each zone that has a working node,
// and that no working node is believed gone.
func (w *world) watchOwners(n *controlNode) {
	if w.now-n.began < followWithin {
		return
	}
	var can []ownership.Candidate
	for _, m := range n.members.Members() {
		other := w.byName(m.Node)
		if m.State == membership.Gone && w.works(other) && w.now-other.disturbed > followWithin {
			w.h.asked[fmt.Sprintf("%s keeps %s at %v", n.name, m.Node, w.now)] = w.now
		}
		if m.State != membership.Gone && m.State != membership.Leaving {
			can = append(can, ownership.Candidate{Node: m.Node, Zone: m.Zone})
		}
	}
	for _, zone := range []string{"a", "b", "c"} {
		owner := w.byName(ownership.Rank("replica", zone, can, 1)[0])
		good := !w.zoneWorks(n, zone) || owner.zone == zone && w.works(owner)
		since, bad := n.down[zone]
		switch {
		case !good && !bad:
			n.down[zone] = w.now
			w.h.asked[lookupID(n, zone, w.now)] = w.now + followWithin
		case good && bad:
			w.h.finished[lookupID(n, zone, since)] = w.now
			delete(n.down, zone)
		}
	}
}

// zoneWorks reports whether n reaches a working node of the zone.
func (w *world) zoneWorks(n *controlNode, zone string) bool {
	for _, o := range w.nodes {
		reached := o == n || w.reach(n, o) && w.reach(o, n)
		if o.zone == zone && reached && w.works(o) && w.now-o.began >= followWithin {
			return true
		}
	}
	return false
}

// works reports whether n runs and somebody reaches it.
func (w *world) works(n *controlNode) bool {
	if !n.running || n.paused {
		return false
	}
	for _, o := range w.nodes {
		if o != n && w.reach(o, n) && w.reach(n, o) {
			return true
		}
	}
	return false
}

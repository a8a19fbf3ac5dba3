package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/claim"
	"github.com/sapphirewall/sapphirewall/internal/decide/ownership"
	"github.com/sapphirewall/sapphirewall/internal/fleetstate"
)

// owners finds the egress process that owns a replica, for one membership. It
// is safe for concurrent use.
type owners struct {
	nodes *ownership.Index
	addrs map[string]string // egress address by node
	found sync.Map          // replica id to address
}

// newOwners takes the members whose egress process may be alive.
func newOwners(members []fleetstate.Member) *owners {
	o := &owners{}
	o.nodes, o.addrs = reachable(members, fleetstate.EgressAddrOf)
	return o
}

// reachable returns the members that may be alive and have an address, for
// ranking, and their addresses by node.
func reachable(members []fleetstate.Member, addrOf func(*fleetstate.Member) string) (*ownership.Index, map[string]string) {
	addrs := map[string]string{}
	for i := range members {
		addrs[members[i].Node] = addrOf(&members[i])
	}
	candidates := fleetstate.Candidates(members, addrOf)
	known := make(map[string]string, len(candidates))
	for _, c := range candidates {
		known[c.Node] = addrs[c.Node]
	}
	return ownership.NewIndex(candidates), known
}

// addr returns the address of the owner of a replica, or "".
func (o *owners) addr(replica, zone string) string {
	if a, ok := o.found.Load(replica); ok {
		return a.(string)
	}
	a := o.addrs[o.nodes.First(replica, zone)]
	o.found.Store(replica, a)
	return a
}

// controls finds the control processes that own claim ranges, for one
// membership. It is safe for concurrent use.
type controls struct {
	nodes *ownership.Index
	addrs map[string]string // control address by node
	found sync.Map          // range to []string, the addresses ranked first
}

func newControls(members []fleetstate.Member) *controls {
	c := &controls{}
	c.nodes, c.addrs = reachable(members, fleetstate.ControlAddrOf)
	return c
}

// ranked returns the addresses of the owners of a range.
func (c *controls) ranked(keyRange uint32) []string {
	if a, ok := c.found.Load(keyRange); ok {
		return a.([]string)
	}
	var out []string
	for _, node := range claim.Owners(c.nodes, keyRange) {
		out = append(out, c.addrs[node])
	}
	c.found.Store(keyRange, out)
	return out
}

// lostFor is how long the replicas of an owner that could not be reached are
// left out.
const lostFor = time.Second

// lostOwners knows which egress processes could not be reached a moment ago.
// The zero value is ready to use; it is safe for concurrent use.
type lostOwners struct {
	latest atomic.Int64 // end of the last mark, nanoseconds since the epoch
	until  sync.Map     // address to the end of its mark
}

// mark notes that an address could not be reached.
func (l *lostOwners) mark(now time.Time, addr string) {
	end := now.Add(lostFor).UnixNano()
	l.until.Store(addr, end)
	l.latest.Store(end)
}

// isLost reports whether an address is marked. It costs next to nothing while
// none is.
func (l *lostOwners) isLost(now time.Time, addr string) bool {
	if now.UnixNano() >= l.latest.Load() {
		return false
	}
	end, ok := l.until.Load(addr)
	return ok && now.UnixNano() < end.(int64)
}

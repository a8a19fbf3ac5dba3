package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/claim"
	"github.com/sapphirewall/sapphirewall/internal/decide/ownership"
	"github.com/sapphirewall/sapphirewall/internal/fleetstate"
)

// owners finds the egress processes that own replicas, for one membership. It is
// safe for concurrent use.
type owners struct {
	nodes *ownership.Index
	addrs map[string]string // egress address by node
	cache sync.Map          // replica ID to address
}

// newOwners returns the owners among the members whose egress process may be alive.
func newOwners(members []fleetstate.Member) *owners {
	o := &owners{}
	o.nodes, o.addrs = indexMembers(members, fleetstate.EgressAddrOf)
	return o
}

// indexMembers returns an index of the members that may be alive and have an
// address, and their addresses by node.
func indexMembers(members []fleetstate.Member, addrOf func(*fleetstate.Member) string) (*ownership.Index, map[string]string) {
	addrs := map[string]string{}
	for i := range members {
		addrs[members[i].Node] = addrOf(&members[i])
	}
	candidates := fleetstate.Candidates(members, addrOf)
	candidateAddrs := make(map[string]string, len(candidates))
	for _, c := range candidates {
		candidateAddrs[c.Node] = addrs[c.Node]
	}
	return ownership.NewIndex(candidates), candidateAddrs
}

// addr returns the address of a replica's owner, or "" if there is none.
func (o *owners) addr(replica, zone string) string {
	if a, ok := o.cache.Load(replica); ok {
		return a.(string)
	}
	a := o.addrs[o.nodes.First(replica, zone)]
	o.cache.Store(replica, a)
	return a
}

// controls finds the control processes that own claim ranges, for one
// membership. It is safe for concurrent use.
type controls struct {
	nodes *ownership.Index
	addrs map[string]string // control address by node
	cache sync.Map          // range to []string, the addresses by rank
}

func newControls(members []fleetstate.Member) *controls {
	c := &controls{}
	c.nodes, c.addrs = indexMembers(members, fleetstate.ControlAddrOf)
	return c
}

// ranked returns the addresses of the processes that may own a range, the
// preferred owner first.
func (c *controls) ranked(keyRange uint32) []string {
	if a, ok := c.cache.Load(keyRange); ok {
		return a.([]string)
	}
	var out []string
	for _, node := range claim.Owners(c.nodes, keyRange) {
		out = append(out, c.addrs[node])
	}
	c.cache.Store(keyRange, out)
	return out
}

// ownerAvoidTime is how long the replicas of an owner that could not be reached
// are avoided.
const ownerAvoidTime = time.Second

// unreachableOwners holds the egress processes that could not be reached recently.
// The zero value is ready to use. It is safe for concurrent use.
type unreachableOwners struct {
	latest atomic.Int64 // when the last mark expires, nanoseconds since the epoch
	until  sync.Map     // address to the time when its mark expires
}

// mark records that an address could not be reached.
func (u *unreachableOwners) mark(now time.Time, addr string) {
	end := now.Add(ownerAvoidTime).UnixNano()
	u.until.Store(addr, end)
	u.latest.Store(end)
}

// isMarked reports whether an address could not be reached recently. While no
// address is marked it costs one atomic load.
func (u *unreachableOwners) isMarked(now time.Time, addr string) bool {
	if now.UnixNano() >= u.latest.Load() {
		return false
	}
	end, ok := u.until.Load(addr)
	return ok && now.UnixNano() < end.(int64)
}

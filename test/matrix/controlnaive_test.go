package matrix

import (
	"sort"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/decide/membership"
	"github.com/sapphirewall/sapphirewall/internal/decide/revision"
)

// timeoutMembership is a broken membership policy: a node without a heartbeat
// for three seconds is gone, and no other node probes it.
type timeoutMembership struct {
	membershipPolicy
	lastHeartbeat map[string]time.Time
	members       map[string]membership.Member
	now           time.Time
}

func (s *timeoutMembership) Tick(now time.Time) []membership.Member {
	s.now = now
	s.membershipPolicy.Tick(now)
	var out []membership.Member
	for _, m := range s.members {
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Node < out[j].Node })
	return out
}

func (s *timeoutMembership) OnHeartbeat(now time.Time, from membership.Member, digest []membership.Member) {
	s.membershipPolicy.OnHeartbeat(now, from, digest)
	s.lastHeartbeat[from.Node], s.members[from.Node] = now, from
}

func (s *timeoutMembership) OnList(now time.Time, list []membership.ListedNode) {
	s.membershipPolicy.OnList(now, list)
	for _, l := range list {
		if _, ok := s.members[l.Node]; !ok && l.Node != s.Self().Node {
			s.members[l.Node] = membership.Member{Node: l.Node, Zone: l.Zone, ControlAddr: l.ControlAddr, State: membership.Alive}
		}
	}
}

func (s *timeoutMembership) OnHeartbeatFailure(time.Time, string, bool) []membership.Member {
	return nil
}

func (s *timeoutMembership) Members() []membership.Member {
	out := []membership.Member{s.Self()}
	for _, m := range s.members {
		if s.now.Sub(s.lastHeartbeat[m.Node]) > 3*time.Second {
			m.State = membership.Gone
		}
		out = append(out, m)
	}
	return out
}

// lastWins is a broken tables policy: the latest offer is in force at once,
// whatever its revision.
type lastWins struct{ o revision.Offer }

func (l *lastWins) Offer(o revision.Offer, _ revision.Digest) revision.Decision {
	l.o = o
	return revision.Adopt
}
func (l *lastWins) InForce(time.Time) (revision.Offer, bool) { return l.o, l.o.Revision > 0 }
func (l *lastWins) ObservePeer(string, uint64)               {}
func (l *lastWins) SetPeerCount(int)                         {}
func (l *lastWins) Behind() bool                             { return false }

// neverAdopts is a broken tables policy: the first offer stays in force.
type neverAdopts struct{ lastWins }

func (n *neverAdopts) Offer(o revision.Offer, _ revision.Digest) revision.Decision {
	if n.o.Revision == 0 {
		n.o = o
	}
	return revision.Adopt
}

// brokenPromises counts the violations by promise that the first two control
// steps detect under all faults with a broken policy.
func brokenPromises(breakPolicy func(*fleetSim)) map[string]int {
	out := map[string]int{}
	for _, f := range controlFaults {
		for _, step := range controlSteps[:2] {
			sim := newFleetSim(matrixSeed, 0)
			breakPolicy(sim)
			sim.startNodes(nodeCount)
			for _, v := range check(runControl(sim, step, f)) {
				out[v.promise]++
			}
		}
	}
	return out
}

var _ = Describe("control cells", func() {
	It("detect that removing members on missed heartbeats alone leaves zones without an owner", func() {
		Expect(brokenPromises(func(sim *fleetSim) {
			correct := sim.newMembers
			sim.newMembers = func(sim *fleetSim, n *controlNode) membershipPolicy {
				return &timeoutMembership{membershipPolicy: correct(sim, n), lastHeartbeat: map[string]time.Time{}, members: map[string]membership.Member{}}
			}
		})).To(HaveKey(timely))
	})

	It("detect that adopting the latest offer reverts tables", func() {
		Expect(brokenPromises(func(sim *fleetSim) {
			sim.newTables = func(time.Time) tablesPolicy { return &lastWins{} }
		})).To(HaveKey(neverReverts))
	})

	It("detect that tables which are never adopted let work go to a zone that is out of service", func() {
		Expect(brokenPromises(func(sim *fleetSim) {
			sim.newTables = func(time.Time) tablesPolicy { return &neverAdopts{} }
		})).To(And(HaveKey(inForce), HaveKey(noWorkWhenOut)))
	})
})

package matrix

import (
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/membership"
)

// The schedule of a control cell, and its number of nodes.
const (
	faultAt = 12 * time.Second
	// A revision committed at beforeFault reaches the relays before the fault,
	// but not the other nodes.
	beforeFault = faultAt - 7*simStep
	stepAt      = 14 * time.Second
	healAt      = 26 * time.Second
	nodeCount   = 9
)

// fault is injected by begin at faultAt and ended by end, if set, at healAt.
type fault struct {
	name       string
	begin, end func(sim *fleetSim)
}

func (sim *fleetSim) markDisturbed(affected func(*controlNode) bool) {
	for _, n := range sim.nodes {
		if affected(n) {
			n.disturbedAt = sim.now
		}
	}
}

// partitionFault drops the messages for which drops returns true. isolated
// selects the nodes that can then reach neither the platform nor the rest.
func partitionFault(name string, drops func(from, to *controlNode) bool, isolated func(*controlNode) bool) fault {
	return fault{name, func(sim *fleetSim) {
		sim.isCut, sim.platformUnreachable = drops, isolated
		sim.markDisturbed(isolated)
	}, func(sim *fleetSim) {
		sim.isCut = func(_, _ *controlNode) bool { return false }
		sim.platformUnreachable = func(*controlNode) bool { return false }
		sim.markDisturbed(isolated)
	}}
}

func inZone(zone string) func(*controlNode) bool {
	return func(n *controlNode) bool { return n.zone == zone }
}

func noNode(*controlNode) bool { return false }

// controlFaults are combined with every step.
var controlFaults = []fault{
	{"platform down", func(sim *fleetSim) { sim.platformDown = true }, func(sim *fleetSim) { sim.platformDown = false }},
	{"platform slow", func(sim *fleetSim) { sim.platformDelay = 2 * time.Second }, func(sim *fleetSim) { sim.platformDelay = 0 }},
	{"platform answers from its past", func(sim *fleetSim) { o := offerOf(1); sim.staleOffer = &o }, func(sim *fleetSim) { sim.staleOffer = nil }},
	{"stale watch", func(sim *fleetSim) { o := offerOf(1); sim.staleOffer, sim.staleHalf = &o, true }, func(sim *fleetSim) { sim.staleOffer = nil }},
	{"replies lost", func(sim *fleetSim) { sim.lossyReplies = true }, func(sim *fleetSim) { sim.lossyReplies = false }},
	{"list of VMs stale", func(sim *fleetSim) { sim.staleList = sim.listVMs() }, func(sim *fleetSim) { sim.staleList = nil }},
	{"list of VMs nearly empty", func(sim *fleetSim) { sim.staleList = sim.listVMs()[:1] }, func(sim *fleetSim) { sim.staleList = nil }},
	{"relay killed", func(sim *fleetSim) { sim.kill(sim.nodes[0]); sim.kill(sim.nodes[1]) }, nil},
	{"relay paused", func(sim *fleetSim) { sim.pause(sim.nodes[0], true) }, func(sim *fleetSim) { sim.pause(sim.nodes[0], false) }},
	{"VM lost", func(sim *fleetSim) { sim.nodes[1].hostDown = true; sim.kill(sim.nodes[1]) }, nil},
	partitionFault("zone cut", func(a, b *controlNode) bool { return (a.zone == "c") != (b.zone == "c") }, inZone("c")),
	partitionFault("regions cut both ways", func(a, b *controlNode) bool { return a.zone != b.zone && a.zone != "b" && b.zone != "b" }, noNode),
	partitionFault("regions cut one way", func(a, b *controlNode) bool { return a.zone == "a" && b.zone == "c" }, noNode),
	partitionFault("two nodes cut from each other", func(a, b *controlNode) bool {
		return a.name == "vm-3" && b.name == "vm-6" || a.name == "vm-6" && b.name == "vm-3"
	}, noNode),
}

func (sim *fleetSim) pause(n *controlNode, paused bool) {
	n.paused, n.disturbedAt = paused, sim.now
	sim.dropLookups(n)
}

// controlStep is an operation that runs during the fault; before, if set, runs
// shortly before the fault begins.
type controlStep struct {
	name   string
	do     func(sim *fleetSim)
	before func(sim *fleetSim)
}

// controlSteps begin two seconds after the fault.
var controlSteps = []controlStep{
	{name: "relay", do: func(sim *fleetSim) { sim.commit() }},
	{name: "take out", do: func(*fleetSim) {}, before: func(sim *fleetSim) { // the fault begins while the revision spreads
		sim.commit()
		sim.zoneOut = sim.h.accepted[len(sim.h.accepted)-1]
	}},
	{name: "adopt", do: func(sim *fleetSim) { // a restarted process has no state
		sim.kill(sim.nodes[4])
		sim.start(sim.nodes[4])
	}},
	{name: "join", do: func(sim *fleetSim) {
		n := &controlNode{name: "vm-9", zone: "b"}
		sim.nodes = append(sim.nodes, n)
		sim.start(n)
		sim.expect("vm-7 sees vm-9 alive", failoverWithin, func() bool { return sim.hasMember("vm-7", "vm-9", membership.Alive) })
	}},
	{name: "suspect", do: func(sim *fleetSim) {
		sim.nodes[7].hostDown = true
		sim.kill(sim.nodes[7])
	}},
	{name: "leave", do: func(sim *fleetSim) {
		sim.nodes[4].members.Leave()
		for _, i := range []int{1, 7, 3} {
			sim.sendHeartbeat(sim.nodes[4], sim.nodes[i])
		}
		sim.after(time.Second, func() { sim.kill(sim.nodes[4]) })
		sim.expect("vm-7 sees vm-4 leaving or gone", 2*time.Second, func() bool {
			return sim.hasMember("vm-7", "vm-4", membership.Leaving) || sim.hasMember("vm-7", "vm-4", membership.Gone)
		})
	}},
}

// hasMember reports whether node assumes other to be in state s.
func (sim *fleetSim) hasMember(node, other string, s membership.State) bool {
	for _, m := range sim.node(node).members.Members() {
		if m.Node == other {
			return m.State == s
		}
	}
	return false
}

func runControl(sim *fleetSim, step controlStep, faults ...fault) *history {
	return sim.run(func(sim *fleetSim, at time.Duration) {
		switch at {
		case beforeFault:
			if step.before != nil {
				step.before(sim)
			}
		case faultAt:
			for _, f := range faults {
				f.begin(sim)
			}
		case stepAt:
			step.do(sim)
		case faultAt - 4*time.Second, stepAt + 2*time.Second, healAt + 6*time.Second:
			sim.commit()
		case healAt:
			for _, f := range faults {
				if f.end != nil {
					f.end(sim)
				}
			}
			for _, n := range sim.nodes {
				if !n.running { // replaced by a VM of the same name
					sim.start(n)
				}
			}
		}
	})
}

// controlCells combines every step with every fault and with some pairs of faults.
func controlCells() []cell {
	var out []cell
	pairs := [][2]int{{0, 7}, {0, 10}, {2, 8}, {5, 9}, {9, 11}}
	for _, step := range controlSteps {
		for _, f := range controlFaults {
			out = append(out, cell{step.name, f.name, func(seed uint64) *history {
				return runControl(newFleetSim(seed, nodeCount), step, f)
			}})
		}
		for _, p := range pairs {
			a, b := controlFaults[p[0]], controlFaults[p[1]]
			out = append(out, cell{step.name, a.name + " and " + b.name, func(seed uint64) *history {
				return runControl(newFleetSim(seed, nodeCount), step, a, b)
			}})
		}
	}
	return out
}

var _ = registerCells("control", controlCells()...)

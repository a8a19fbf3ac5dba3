package control

import (
	"github.com/sapphirewall/sapphirewall/internal/decide/membership"
	"github.com/sapphirewall/sapphirewall/internal/fleetstate"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// The states of a member have the same names in package membership, package
// fleetstate and the protocol, but different numbers.
var (
	stateToFleet = map[membership.State]fleetstate.MemberState{
		membership.Alive: fleetstate.Alive, membership.Suspect: fleetstate.Suspect,
		membership.Leaving: fleetstate.Leaving, membership.Gone: fleetstate.Gone,
	}
	stateFromProto = map[swpb.MemberState]membership.State{
		swpb.MemberState_MEMBER_STATE_ALIVE: membership.Alive, swpb.MemberState_MEMBER_STATE_SUSPECT: membership.Suspect,
		swpb.MemberState_MEMBER_STATE_LEAVING: membership.Leaving, swpb.MemberState_MEMBER_STATE_GONE: membership.Gone,
	}
)

func memberToFleet(m membership.Member) fleetstate.Member {
	return fleetstate.Member{
		Node: m.Node, Zone: m.Zone, State: stateToFleet[m.State], Incarnation: m.Incarnation,
		ControlAddr: m.ControlAddr, EgressAddr: m.EgressAddr, EntryAddr: m.EntryAddr, Revision: m.Revision,
	}
}

func memberToProto(m membership.Member) *swpb.Member {
	return fleetstate.MemberToProto(memberToFleet(m))
}

func memberFromProto(m *swpb.Member) membership.Member {
	return membership.Member{
		Node: m.GetNode(), Zone: m.GetZone(), State: stateFromProto[m.GetState()], Incarnation: m.GetIncarnation(),
		ControlAddr: m.GetControlAddr(), EgressAddr: m.GetEgressAddr(), EntryAddr: m.GetEntryAddr(), Revision: m.GetRevision(),
	}
}

func digestToProto(list []membership.Member) []*swpb.Member {
	out := make([]*swpb.Member, len(list))
	for i, m := range list {
		out[i] = memberToProto(m)
	}
	return out
}

func vetoesToProto(list []fleetstate.Veto) []*swpb.Veto {
	out := make([]*swpb.Veto, len(list))
	for i, v := range list {
		out[i] = fleetstate.VetoToProto(v)
	}
	return out
}

// applyVetoes adds vetoes received from a peer and sends new ones on.
func (s *Service) applyVetoes(list []*swpb.Veto) {
	if len(list) == 0 {
		return
	}
	received := make([]fleetstate.Veto, len(list))
	for i, v := range list {
		received[i] = fleetstate.VetoFromProto(v)
	}
	s.AddVetoes(received...)
}

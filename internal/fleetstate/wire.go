package fleetstate

import (
	"time"

	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// MemberToProto returns the wire form of m.
func MemberToProto(m Member) *swpb.Member {
	return &swpb.Member{
		Node: m.Node, Zone: m.Zone, State: swpb.MemberState(m.State), Incarnation: m.Incarnation,
		ControlAddr: m.ControlAddr, EgressAddr: m.EgressAddr, EntryAddr: m.EntryAddr, Revision: m.Revision,
	}
}

// MemberFromProto converts from the wire form; m may be nil.
func MemberFromProto(m *swpb.Member) Member {
	return Member{
		Node: m.GetNode(), Zone: m.GetZone(), State: MemberState(m.GetState()), Incarnation: m.GetIncarnation(),
		ControlAddr: m.GetControlAddr(), EgressAddr: m.GetEgressAddr(), EntryAddr: m.GetEntryAddr(), Revision: m.GetRevision(),
	}
}

// VetoToProto returns the wire form of v.
func VetoToProto(v Veto) *swpb.Veto {
	out := &swpb.Veto{Pool: v.Pool, Version: v.Version, Reason: v.Reason, Revision: v.Revision, By: v.By}
	if !v.Start.IsZero() {
		out.StartUnix = v.Start.Unix()
	}
	return out
}

// VetoFromProto converts from the wire form; v may be nil.
func VetoFromProto(v *swpb.Veto) Veto {
	out := Veto{Pool: v.GetPool(), Version: v.GetVersion(), Reason: v.GetReason(), Revision: v.GetRevision(), By: v.GetBy()}
	if v.GetStartUnix() != 0 {
		out.Start = time.Unix(v.GetStartUnix(), 0)
	}
	return out
}

// StageToProto returns the wire form of s.
func StageToProto(s RolloutStage) *swpb.RolloutStage {
	out := &swpb.RolloutStage{Pool: s.Pool, Version: s.Version, StartUnix: s.Start.Unix(), Stage: uint32(s.Stage)}
	if !s.HoldUntil.IsZero() {
		out.HoldUntilMs = s.HoldUntil.UnixMilli()
	}
	return out
}

// StageFromProto converts from the wire form; s may be nil.
func StageFromProto(s *swpb.RolloutStage) RolloutStage {
	out := RolloutStage{Pool: s.GetPool(), Version: s.GetVersion(), Start: time.Unix(s.GetStartUnix(), 0), Stage: int(min(s.GetStage(), maxStage))}
	if s.GetHoldUntilMs() != 0 {
		out.HoldUntil = time.UnixMilli(s.GetHoldUntilMs())
	}
	return out
}

// maxStage is the highest stage accepted from a peer; higher ones are lowered
// to it.
const maxStage = 1 << 16

// mapSlice returns f of every element of in.
func mapSlice[A, B any](in []A, f func(A) B) []B {
	out := make([]B, len(in))
	for i, a := range in {
		out[i] = f(a)
	}
	return out
}

package fleetstate

import "github.com/sapphirewall/sapphirewall/internal/decide/ownership"

// ControlAddrOf returns the address of a member's control process.
func ControlAddrOf(m *Member) string { return m.ControlAddr }

// EgressAddrOf returns the address of a member's egress process.
func EgressAddrOf(m *Member) string { return m.EgressAddr }

// Candidates returns the members that may be alive and whose process has an
// address by addrOf, for ranking. All processes rank by it, since they must
// agree on who owns what.
func Candidates(members []Member, addrOf func(*Member) string) []ownership.Candidate {
	var out []ownership.Candidate
	for i := range members {
		m := &members[i]
		if addrOf(m) != "" && (m.State == Alive || m.State == Suspect) {
			out = append(out, ownership.Candidate{Node: m.Node, Zone: m.Zone})
		}
	}
	return out
}

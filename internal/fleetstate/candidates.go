package fleetstate

import "github.com/sapphirewall/sapphirewall/internal/decide/ownership"

// ControlAddrOf returns the address of a member's control process.
func ControlAddrOf(m *Member) string { return m.ControlAddr }

// EgressAddrOf returns the address of a member's egress process.
func EgressAddrOf(m *Member) string { return m.EgressAddr }

// Candidates returns the members for ownership ranking: those that are alive or
// suspect and whose process has an address according to addrOf. All processes
// rank these candidates, since they must agree on the owners.
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

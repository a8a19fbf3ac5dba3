package claim

import (
	"strconv"

	"github.com/sapphirewall/sapphirewall/internal/decide/ownership"
)

// OwnerCandidates is the number of nodes in a range's ranking that may own it:
// the first one, and each following one while those before it are stopped or
// unreachable. If two nodes consider themselves owner at once, sealing allows
// only one of them to write.
const OwnerCandidates = 3

// Owners returns the nodes that may own a range, the preferred owner first.
func Owners(nodes *ownership.Index, keyRange uint32) []string {
	return nodes.Rank("claims/"+strconv.FormatUint(uint64(keyRange), 10), anyZone, OwnerCandidates)
}

// anyZone is a zone without nodes; ranking for it makes every node eligible.
const anyZone = ""

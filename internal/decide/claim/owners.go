package claim

import (
	"strconv"

	"github.com/sapphirewall/sapphirewall/internal/decide/ownership"
)

// OwnerCandidates is how many nodes of a range's ranking may own it: the first, and the
// next ones when those before them stop or can't be reached. Two that think so
// at once are kept apart by the chains.
const OwnerCandidates = 3

// Owners returns the nodes ranked first for a range, the owner in front.
func Owners(nodes *ownership.Index, keyRange uint32) []string {
	return nodes.Rank("claims/"+strconv.FormatUint(uint64(keyRange), 10), anyZone, OwnerCandidates)
}

// anyZone makes all candidates eligible, since no node is in it.
const anyZone = ""

package relay

import (
	"github.com/sapphirewall/sapphirewall/internal/decide/ownership"
)

// rankKey separates this ranking from those of replicas.
const rankKey = "relay"

// Choose returns the n relays of a zone, best first. Nodes of other zones among
// the candidates are ignored, also when the zone has none.
func Choose(zone string, candidates []ownership.Candidate, n int) []string {
	eligible := make([]ownership.Candidate, 0, len(candidates))
	for _, c := range candidates {
		if c.Zone == zone {
			eligible = append(eligible, c)
		}
	}
	return ownership.Rank(rankKey+zone, zone, eligible, n)
}

// Source says where a node gets its tables from.
type Source struct {
	Platform bool     // the node is a relay: it asks the platform
	Relays   []string // otherwise: the relays to ask, the preferred one first
}

// SourceOf returns the route of a node. A node prefers a relay by hash, so that
// the nodes of a zone spread over its relays; without any relay it asks the
// platform itself.
func SourceOf(node, zone string, candidates []ownership.Candidate, n int) Source {
	relays := Choose(zone, candidates, n)
	for _, r := range relays {
		if r == node {
			return Source{Platform: true}
		}
	}
	if len(relays) == 0 {
		return Source{Platform: true}
	}
	first := int(ownership.Score(rankKey, node) % uint64(len(relays)))
	ordered := append(append([]string{}, relays[first:]...), relays[:first]...)
	return Source{Relays: ordered}
}

// TableReaders returns the n relays of the whole fleet that read the text of new
// tables from the platform, best first; the other relays ask them for what
// changed. So a text leaves the platform n times, not once a relay.
func TableReaders(candidates []ownership.Candidate, perZone, n int) []string {
	zones := map[string][]ownership.Candidate{}
	for _, c := range candidates {
		zones[c.Zone] = append(zones[c.Zone], c)
	}
	var relays []ownership.Candidate
	for zone, members := range zones {
		for _, node := range Choose(zone, members, perZone) {
			relays = append(relays, ownership.Candidate{Node: node})
		}
	}
	return ownership.Rank(rankKey+"reader", "", relays, n)
}

package relay

import (
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/ownership"
)

// rankKey makes this ranking independent of those of replicas.
const rankKey = "relay"

// Choose returns up to n relays of a zone, best first. Candidates in other zones
// are ignored, even if the zone has no candidate.
func Choose(zone string, candidates []ownership.Candidate, n int) []string {
	eligible := make([]ownership.Candidate, 0, len(candidates))
	for _, c := range candidates {
		if c.Zone == zone {
			eligible = append(eligible, c)
		}
	}
	return ownership.Rank(rankKey+zone, zone, eligible, n)
}

// Source is where a node reads the platform's data from.
type Source struct {
	Platform bool     // from the platform itself: the node is a relay or its zone has none
	Relays   []string // otherwise: from these relays, the preferred one first
}

// SourceOf returns the source of a node. A relay reads from the platform, as does
// every node of a zone without relays. Any other node prefers one relay by hash,
// so that the nodes of a zone are spread over its relays.
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

// MaxSharedNodes is the size of a zone up to which its relays share the prefixes that
// ReaderOrder is for. In a larger zone one relay would have to send the whole state to too
// many nodes when these start together, and relays are a small part of all nodes.
const MaxSharedNodes = 32

// ReaderOrder orders the relays of a zone for a prefix that only one of them reads from the
// platform: that one first, then those that read it when the ones before have failed. The
// prefixes are spread over the relays by hash.
func ReaderOrder(zone, prefix string, relays []string) []string {
	candidates := make([]ownership.Candidate, 0, len(relays))
	for _, r := range relays {
		candidates = append(candidates, ownership.Candidate{Node: r, Zone: zone})
	}
	return ownership.Rank(rankKey+zone+prefix, zone, candidates, len(relays))
}

// TableReaders returns the n relays of the whole fleet that read the text of new
// tables from the platform, best first. The other relays request only the changes
// from them, so the platform sends a text n times and not once per relay.
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

// PollInterval is the time between two calls to the platform by a node whose relays say
// that the platform doesn't answer them, so that a zone of some nodes makes one call in
// each interval in place of one by each node.
func PollInterval(nodes int, interval time.Duration) time.Duration {
	return time.Duration(max(nodes, 1)) * interval
}

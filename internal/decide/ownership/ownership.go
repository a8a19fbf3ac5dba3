package ownership

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Candidate is an egress process that could own replicas.
type Candidate struct {
	Node string
	Zone string
}

// separator keeps "ab"+"c" and "a"+"bc" apart in the hash.
const separator = "\x00"

// Score returns the rendezvous hash weight of node for key.
func Score(key, node string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString(separator)
	_, _ = d.WriteString(node)
	return d.Sum64()
}

// Rank returns the n nodes with the highest scores for key, best first. Only
// candidates in zone are ranked, or all candidates if there are none in zone. Ties
// are broken by name.
func Rank(key, zone string, candidates []Candidate, n int) []string {
	return NewIndex(candidates).Rank(key, zone, n)
}

// Index holds a set of candidates grouped by zone, for many rankings. It is
// immutable and safe for concurrent use.
type Index struct {
	all    []string
	byZone map[string][]string
}

// NewIndex groups the candidates by zone.
func NewIndex(candidates []Candidate) *Index {
	x := &Index{byZone: map[string][]string{}}
	for _, c := range candidates {
		x.all = append(x.all, c.Node)
		x.byZone[c.Zone] = append(x.byZone[c.Zone], c.Node)
	}
	return x
}

// eligible returns the nodes of a zone, or all nodes if the zone has none.
func (x *Index) eligible(zone string) []string {
	if nodes := x.byZone[zone]; len(nodes) > 0 {
		return nodes
	}
	return x.all
}

// First returns the node that Rank places first for key, or "" without candidates.
// Its cost is linear in the nodes of the zone, and it doesn't allocate.
func (x *Index) First(key, zone string) string {
	var best string
	var bestScore uint64
	for _, node := range x.eligible(zone) {
		s := Score(key, node)
		if best == "" || s > bestScore || (s == bestScore && node < best) {
			best, bestScore = node, s
		}
	}
	return best
}

// Rank is like the function Rank, for the candidates of the index.
func (x *Index) Rank(key, zone string, n int) []string {
	type scored struct {
		node  string
		score uint64
	}
	nodes := x.eligible(zone)
	all := make([]scored, len(nodes))
	for i, node := range nodes {
		all[i] = scored{node: node, score: Score(key, node)}
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].score != all[j].score {
			return all[i].score > all[j].score
		}
		return all[i].node < all[j].node
	})
	out := make([]string, 0, n)
	for i := 0; i < len(all) && i < n; i++ {
		out = append(out, all[i].node)
	}
	return out
}

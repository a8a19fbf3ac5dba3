package bench

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/sapphirewall/sapphirewall/internal/decide/ownership"
	"github.com/sapphirewall/sapphirewall/internal/decide/pick"
	"github.com/sapphirewall/sapphirewall/internal/tables"
)

// BenchmarkPick picks a replica of one shard.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{3, 13, 25} {
		b.Run(fmt.Sprintf("replicas=%d", n), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 2))
			cands := make([]pick.Candidate, n)
			for i := range cands {
				cands[i] = pick.Candidate{Own: i % 3, Limit: 4}
			}
			b.ReportAllocs()
			for b.Loop() {
				pick.TwoChoices(rng, cands)
			}
		})
	}
}

// BenchmarkOwner finds the owner of one replica among the nodes of the fleet.
func BenchmarkOwner(b *testing.B) {
	for _, n := range []int{27, 240, 2400} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			cands := make([]ownership.Candidate, n)
			for i := range cands {
				cands[i] = ownership.Candidate{Node: fmt.Sprintf("vm-%d", i), Zone: fmt.Sprintf("zone-%d", i%13)}
			}
			nodes := ownership.NewIndex(cands)
			b.ReportAllocs()
			for b.Loop() {
				nodes.First("ledger-7-2", "zone-5")
			}
		})
	}
}

// BenchmarkTables parses tables, as every node does when it adopts a revision.
func BenchmarkTables(b *testing.B) {
	for _, n := range []int{120, 1200, 12000} {
		b.Run(fmt.Sprintf("replicas=%d", n), func(b *testing.B) {
			text := tablesText(n, 86)
			b.ReportAllocs()
			b.ReportMetric(float64(len(text)), "text-bytes")
			for b.Loop() {
				if _, err := tables.Parse(tables.Source{Name: "t", Text: text}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(text)), "text-bytes")
			b.ReportMetric(retainedBytes(func() any { return parseTables(b, text) }), "held-bytes")
		})
	}
}

// retainedBytes returns the size of the heap that the result of f keeps in use.
func retainedBytes(f func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	v := f()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(v)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

package snapshot_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sapphirewall/sapphirewall/internal/decide/coverage"
	"github.com/sapphirewall/sapphirewall/internal/decide/snapshot"
)

func TestSnapshot(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "snapshot")
}

const keySpace = 1 << 16

// shard is replica r's word on shard i of n in snapshot s.
func shard(r string, s uint64, i, n uint32) snapshot.Report {
	return snapshot.Report{Replica: r, Held: []snapshot.Held{{Snapshot: s, Shard: i, ShardCount: n, Lo: keySpace * i / n, Hi: keySpace * (i + 1) / n}}}
}

func pool(shards int, reports ...snapshot.Report) snapshot.Pool {
	return snapshot.Pool{Name: "p", TableShards: shards, Index: snapshot.NewIndex("p", reports)}
}

// overlap is a report of a range that reaches into the next shard.
func overlap(r string) snapshot.Report {
	x := shard(r, 1, 0, 2)
	x.Held[0].Hi += 10
	return x
}

var _ = DescribeTable("Pin",
	func(pools []snapshot.Pool, want uint64, held, total int) {
		p := snapshot.Pin(pools)
		Expect(p.Snapshot).To(Equal(want))
		Expect([]int{p.Held, p.Total}).To(Equal([]int{held, total}))
	},
	Entry("takes the newest that is whole", []snapshot.Pool{pool(1, shard("a", 1, 0, 1), shard("b", 2, 0, 1))}, uint64(2), 1, 1),
	Entry("takes an older one that is whole before a newer one in parts", []snapshot.Pool{pool(2, shard("a", 1, 0, 1), shard("b", 2, 0, 2))}, uint64(1), 1, 1),
	Entry("takes the best covered when none is whole", []snapshot.Pool{pool(3, shard("a", 1, 0, 3), shard("b", 1, 1, 3), shard("c", 2, 0, 3))}, uint64(1), 2, 3),
	Entry("takes a snapshot of all pools", []snapshot.Pool{pool(1, shard("a", 1, 0, 1), shard("a", 2, 0, 1)), pool(1, shard("b", 1, 0, 1))}, uint64(1), 2, 2),
	Entry("counts a pool without replicas by the tables", []snapshot.Pool{pool(1, shard("a", 1, 0, 1)), pool(4)}, uint64(1), 1, 5),
	Entry("keeps shard maps of one snapshot apart", []snapshot.Pool{pool(1, shard("a", 1, 0, 2), shard("b", 1, 1, 2), shard("c", 1, 0, 3))}, uint64(1), 2, 2),
	Entry("counts no key twice", []snapshot.Pool{pool(2, overlap("a"), shard("b", 1, 1, 2))}, uint64(1), 1, 2),
	Entry("goes with the larger number of replicas on a range", []snapshot.Pool{pool(2, overlap("a"), shard("b", 1, 0, 2), shard("c", 1, 0, 2), shard("d", 1, 1, 2))}, uint64(1), 2, 2),
)

var _ = It("pins nothing without reports, or with none that make sense", func() {
	Expect(snapshot.Pin([]snapshot.Pool{pool(2)})).To(BeNil())
	bad := snapshot.Report{Replica: "a", Held: []snapshot.Held{{Snapshot: 1, ShardCount: 0}, {Snapshot: 1, Shard: 3, ShardCount: 2, Hi: 5}, {Snapshot: 1, ShardCount: 1, Lo: 5, Hi: 5}, {Snapshot: 1, ShardCount: 1, Hi: keySpace + 1}, {Snapshot: 1, ShardCount: 1 << 31, Hi: 5}}}
	Expect(snapshot.Pin([]snapshot.Pool{pool(2, bad)})).To(BeNil())
})

// Whatever replicas report, no key is in two held shards of a pinned map, and
// missing and covered shards add up.
var _ = It("never counts a key twice under any reports", func() {
	rapid.Check(GinkgoT(), func(t *rapid.T) {
		var reports []snapshot.Report
		for i := range rapid.IntRange(1, 12).Draw(t, "replicas") {
			r := shard(fmt.Sprint(i), rapid.Uint64Range(1, 2).Draw(t, "snapshot"), 0, 1)
			h := &r.Held[0]
			h.ShardCount = rapid.Uint32Range(1, 4).Draw(t, "count")
			h.Shard = rapid.Uint32Range(0, 4).Draw(t, "shard")
			h.Lo = rapid.Uint32Range(0, keySpace).Draw(t, "lo")
			h.Hi = rapid.Uint32Range(0, keySpace+1).Draw(t, "hi")
			reports = append(reports, r)
		}
		p := snapshot.Pin([]snapshot.Pool{pool(3, reports...)})
		if p == nil {
			return
		}
		var parts []coverage.Part
		for i, s := range p.Maps[0].Shards {
			parts = append(parts, coverage.Part{Pool: "p", Lo: s.Lo, Hi: s.Hi, Covered: len(s.Replicas) > 0})
			for _, o := range p.Maps[0].Shards[:i] {
				if len(s.Replicas) > 0 && len(o.Replicas) > 0 && o.Lo < s.Hi && s.Lo < o.Hi {
					t.Fatalf("shards %v and %v overlap", o, s)
				}
			}
		}
		if c := coverage.Of(parts); c.Covered != p.Held || c.Total != p.Total || c.Complete() != p.Full() {
			t.Fatalf("coverage %v of %+v", c, p)
		}
	})
})

var _ = It("joins adjoining missing ranges", func() {
	c := coverage.Of([]coverage.Part{{Pool: "p", Hi: 5}, {Pool: "p", Lo: 5, Hi: 9}, {Pool: "p", Lo: 9, Hi: 11, Covered: true}, {Pool: "q", Hi: 9}})
	Expect(c.MissingList()).To(Equal("p:0-9,q:0-9"))
	Expect(c.String()).To(Equal("1/4"))
	Expect(coverage.Of(nil).Complete()).To(BeFalse())
})

func benchmarkIndex(b *testing.B, replicas, shards int) {
	var reports []snapshot.Report
	for i := range replicas {
		reports = append(reports, shard(fmt.Sprint(i), 1, uint32(i%shards), uint32(shards)))
	}
	b.ReportAllocs()
	for b.Loop() {
		snapshot.NewIndex("p", reports)
	}
}

func BenchmarkIndex30(b *testing.B)   { benchmarkIndex(b, 30, 10) }
func BenchmarkIndex300(b *testing.B)  { benchmarkIndex(b, 300, 100) }
func BenchmarkIndex3000(b *testing.B) { benchmarkIndex(b, 3000, 1000) }

// BenchmarkIndexSparse is one replica that states the largest shard count.
func BenchmarkIndexSparse(b *testing.B) { benchmarkIndex(b, 1, 1<<12) }

// BenchmarkIndexReversed has all shards of the largest count, the last range first.
func BenchmarkIndexReversed(b *testing.B) {
	const n = 1 << 12
	r := snapshot.Report{Replica: "a"}
	for i := range uint32(n) {
		h := shard("a", 1, n-1-i, n).Held[0]
		h.Shard = i
		r.Held = append(r.Held, h)
	}
	for b.Loop() {
		snapshot.NewIndex("p", []snapshot.Report{r})
	}
}

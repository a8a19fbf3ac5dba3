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

// shard returns a report that replica r holds shard i of n in snapshot s.
func shard(r string, s uint64, i, n uint32) snapshot.Report {
	return snapshot.Report{Replica: r, Shards: []snapshot.HeldShard{{Snapshot: s, Shard: i, ShardCount: n, Lo: keySpace * i / n, Hi: keySpace * (i + 1) / n}}}
}

func pool(shards int, reports ...snapshot.Report) snapshot.Pool {
	return snapshot.Pool{Name: "p", TableShards: shards, Index: snapshot.NewIndex("p", reports)}
}

// overlapping returns a report with a range that overlaps the next shard.
func overlapping(r string) snapshot.Report {
	x := shard(r, 1, 0, 2)
	x.Shards[0].Hi += 10
	return x
}

var _ = DescribeTable("Pin",
	func(pools []snapshot.Pool, want uint64, held, total int) {
		p := snapshot.Pin(pools)
		Expect(p.Snapshot).To(Equal(want))
		Expect([]int{p.Covered, p.Total}).To(Equal([]int{held, total}))
	},
	Entry("returns the newest fully covered snapshot", []snapshot.Pool{pool(1, shard("a", 1, 0, 1), shard("b", 2, 0, 1))}, uint64(2), 1, 1),
	Entry("prefers an older fully covered snapshot to a newer partly covered one", []snapshot.Pool{pool(2, shard("a", 1, 0, 1), shard("b", 2, 0, 2))}, uint64(1), 1, 1),
	Entry("returns the best covered snapshot when none is fully covered", []snapshot.Pool{pool(3, shard("a", 1, 0, 3), shard("b", 1, 1, 3), shard("c", 2, 0, 3))}, uint64(1), 2, 3),
	Entry("prefers a snapshot that covers all pools", []snapshot.Pool{pool(1, shard("a", 1, 0, 1), shard("a", 2, 0, 1)), pool(1, shard("b", 1, 0, 1))}, uint64(1), 2, 2),
	Entry("counts the shards of a pool without replicas from the tables", []snapshot.Pool{pool(1, shard("a", 1, 0, 1)), pool(4)}, uint64(1), 1, 5),
	Entry("never combines reports with different shard counts", []snapshot.Pool{pool(1, shard("a", 1, 0, 2), shard("b", 1, 1, 2), shard("c", 1, 0, 3))}, uint64(1), 2, 2),
	Entry("drops a shard that overlaps an earlier one", []snapshot.Pool{pool(2, overlapping("a"), shard("b", 1, 1, 2))}, uint64(1), 1, 2),
	Entry("uses the range that most replicas report", []snapshot.Pool{pool(2, overlapping("a"), shard("b", 1, 0, 2), shard("c", 1, 0, 2), shard("d", 1, 1, 2))}, uint64(1), 2, 2),
)

var _ = It("returns nil without reports, or with invalid ones only", func() {
	Expect(snapshot.Pin([]snapshot.Pool{pool(2)})).To(BeNil())
	bad := snapshot.Report{Replica: "a", Shards: []snapshot.HeldShard{{Snapshot: 1, ShardCount: 0}, {Snapshot: 1, Shard: 3, ShardCount: 2, Hi: 5}, {Snapshot: 1, ShardCount: 1, Lo: 5, Hi: 5}, {Snapshot: 1, ShardCount: 1, Hi: keySpace + 1}, {Snapshot: 1, ShardCount: 1 << 31, Hi: 5}}}
	Expect(snapshot.Pin([]snapshot.Pool{pool(2, bad)})).To(BeNil())
})

// For any reports, no key is in two covered shards of a pinned map, and the
// coverage derived from the map equals that of the pin.
var _ = It("never counts a key twice, for any reports", func() {
	rapid.Check(GinkgoT(), func(t *rapid.T) {
		var reports []snapshot.Report
		for i := range rapid.IntRange(1, 12).Draw(t, "replicas") {
			r := shard(fmt.Sprint(i), rapid.Uint64Range(1, 2).Draw(t, "snapshot"), 0, 1)
			h := &r.Shards[0]
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
		if c := coverage.Of(parts); c.Covered != p.Covered || c.Total != p.Total || c.Complete() != p.Full() {
			t.Fatalf("coverage %v differs from that of the pinned snapshot %+v", c, p)
		}
	})
})

var _ = It("merges adjacent missing ranges", func() {
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

// BenchmarkIndexSparse has one replica that reports the largest shard count.
func BenchmarkIndexSparse(b *testing.B) { benchmarkIndex(b, 1, 1<<12) }

// BenchmarkIndexReversed has one replica that holds all shards of the largest
// shard count, with ranges in descending order.
func BenchmarkIndexReversed(b *testing.B) {
	const n = 1 << 12
	r := snapshot.Report{Replica: "a"}
	for i := range uint32(n) {
		h := shard("a", 1, n-1-i, n).Shards[0]
		h.Shard = i
		r.Shards = append(r.Shards, h)
	}
	for b.Loop() {
		snapshot.NewIndex("p", []snapshot.Report{r})
	}
}

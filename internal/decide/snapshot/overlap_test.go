package snapshot

import (
	"math/rand/v2"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// dropOverlapsPairwise is the reference implementation: it compares each shard
// with all earlier ones.
func dropOverlapsPairwise(shards []Shard) {
	for i := range shards {
		for j := range i {
			a, b := &shards[j], &shards[i]
			if len(a.Replicas) > 0 && len(b.Replicas) > 0 && a.Lo < b.Hi && b.Lo < a.Hi {
				*b = Shard{Index: b.Index}
			}
		}
	}
}

var _ = ginkgo.DescribeTable("dropOverlaps equals a pairwise comparison at a cost proportional to the covered shards",
	func(held, width int) {
		rng := rand.New(rand.NewPCG(1, uint64(held)))
		m := &Map{Shards: make([]Shard, maxShards)}
		for i := range m.Shards {
			m.Shards[i].Index = uint32(i)
		}
		for _, i := range rng.Perm(maxShards)[:held] {
			lo := rng.Uint32N(keySpace - uint32(width))
			m.Shards[i] = Shard{Index: uint32(i), Lo: lo, Hi: lo + 1 + rng.Uint32N(uint32(width)), Replicas: []string{"a"}}
		}
		want := append([]Shard(nil), m.Shards...)
		dropOverlapsPairwise(want)
		Expect(m.dropOverlaps()).To(BeNumerically("<=", 16*held))
		Expect(m.Shards).To(Equal(want))
	},
	ginkgo.Entry("one covered shard", 1, 16),
	ginkgo.Entry("some", 100, 500),
	ginkgo.Entry("all, narrow ranges", maxShards, 8),
	ginkgo.Entry("all, wide ranges", maxShards, 30_000),
)

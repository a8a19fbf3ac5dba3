package connpool_test

import (
	"testing"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/connpool"
)

// BenchmarkSweepOfEmptyPools is one sweep over the pools of 687 replicas of which this VM has
// no connection to any: all of them, and those that are not empty.
func BenchmarkSweepOfEmptyPools(b *testing.B) {
	var pools []*connpool.Pool
	for range 687 {
		pools = append(pools, connpool.NewPool("r", "127.0.0.1:1", 1, lineCodec{}, connpool.DialTCP, func(string) {}))
	}
	now := time.Now()
	for name, skip := range map[string]bool{"all": false, "skipped": true} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				for _, p := range pools {
					if !skip || !p.Empty() {
						p.Sweep(now)
					}
				}
			}
		})
	}
}

package reach_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/reach"
)

func BenchmarkJudge(b *testing.B) {
	for _, n := range []int{76, 12000} {
		var replicas []reach.Replica
		now := time.Unix(1000, 0)
		for i := range n {
			p := &reach.Path{}
			p.Heard(now)
			replicas = append(replicas, reach.Replica{Pool: fmt.Sprint("pool-", i/12), Path: p})
		}
		var m reach.Machine
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				now = now.Add(100 * time.Millisecond)
				m.Judge(now, replicas)
			}
		})
	}
}

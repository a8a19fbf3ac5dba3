package egress_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/tables"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// processorTime returns the user and system time that the process has used.
func processorTime() time.Duration {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// BenchmarkSubRequest measures the processor time of one sub-request from a
// peer to an upstream and back. Peer and upstream share the process, so their
// time is included. inFlight is the number of sub-requests in flight at a time.
func BenchmarkSubRequest(b *testing.B) {
	for _, inFlight := range []int{1, 25, 86} {
		b.Run(fmt.Sprint(inFlight), func(b *testing.B) {
			RegisterTestingT(b)
			u := startFakeUpstream(b.Cleanup)
			fx := startFixture(state(u, func(t *tables.Tables) {
				p := t.Pools["p"]
				p.Slots, p.ColdSlots, p.Connections = 4*inFlight, 4*inFlight, 8*inFlight
			}), b.Cleanup)
			Eventually(fx.svc.Ready).WithTimeout(testTimeout).Should(Succeed())
			time.Sleep(2 * time.Second) // until the handover has settled
			var remaining, failed atomic.Int64
			remaining.Store(int64(b.N))
			start := processorTime()
			b.ResetTimer()
			var wg sync.WaitGroup
			for range inFlight {
				wg.Go(func() {
					for remaining.Add(-1) >= 0 {
						reply, err := fx.sendOnce(context.Background(), "r", testTimeout)
						if err != nil || verdict.FromProto(reply.GetVerdict()) != nil {
							failed.Add(1)
						}
					}
				})
			}
			wg.Wait()
			b.ReportMetric(float64((processorTime()-start)/time.Microsecond)/float64(b.N), "cpu-us/op")
			b.ReportMetric(float64(failed.Load())/float64(b.N), "failed/op")
		})
	}
}

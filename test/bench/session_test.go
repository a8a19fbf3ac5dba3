package bench

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/peer"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// BenchmarkSessions keeps sessions from one entry process to many owners open, each
// with a ViewRequest that waits. The sessions have the options that entry processes
// use for these polls, with one stream and a longer stall timeout, or the default
// options, as for other calls. Memory and processor time include both ends.
func BenchmarkSessions(b *testing.B) {
	poll := peer.Options{Streams: 1, StallTimeout: 2 * time.Second}
	for _, n := range []int{27, 90, 270, 810} {
		b.Run(fmt.Sprintf("poll/owners=%d", n), func(b *testing.B) { benchSessions(b, n, poll) })
	}
	for _, n := range []int{27, 90, 270} {
		b.Run(fmt.Sprintf("call/owners=%d", n), func(b *testing.B) { benchSessions(b, n, peer.Options{}) })
	}
}

// sessionMeasureTime is the time to settle, and then the time of each measurement.
const sessionMeasureTime = 3 * time.Second

func benchSessions(b *testing.B, n int, o peer.Options) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var bytes atomic.Int64
	dial := func(ctx context.Context, addr string) (net.Conn, error) {
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", addr)
		if err != nil {
			return nil, err
		}
		return countingConn{c, &bytes}, nil
	}
	blockingHandler := peer.HandlerFunc(func(ctx context.Context, _ peer.Identity, _ *swpb.Envelope) (*swpb.Envelope, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	o.Self, o.Dial = peer.Identity{Fleet: "f", Node: "e", Role: peer.RoleEntry}, dial
	pool := peer.NewPool(o)
	defer pool.Close()
	for i := range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		srv := peer.Serve(ln, peer.Options{Self: peer.Identity{Fleet: "f", Node: fmt.Sprint(i)}}, blockingHandler)
		defer srv.Close()
		go func() {
			_, _ = pool.Get(srv.Addr()).Call(ctx, &swpb.Envelope{Body: &swpb.Envelope_ViewRequest{ViewRequest: &swpb.ViewRequest{}}})
		}()
	}
	time.Sleep(sessionMeasureTime)
	for b.Loop() {
		sent, cpu := bytes.Load(), cpuTime()
		time.Sleep(sessionMeasureTime)
		b.ReportMetric(float64(bytes.Load()-sent)/sessionMeasureTime.Seconds(), "B/s")
		b.ReportMetric((cpuTime()-cpu).Seconds()/sessionMeasureTime.Seconds()*100, "core%")
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc+after.StackInuse-before.StackInuse)/float64(n), "mem-B/session")
}

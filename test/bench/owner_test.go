package bench

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/egress"
	"github.com/sapphirewall/sapphirewall/internal/fleetstate"
	"github.com/sapphirewall/sapphirewall/internal/peer"
	standin "github.com/sapphirewall/sapphirewall/internal/standin/upstream"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// BenchmarkOwnerRun sends sub-requests through an egress process to upstreams that
// answer at once. The processor time includes the client's end of the session and
// the upstreams.
func BenchmarkOwnerRun(b *testing.B) {
	for _, n := range []int{1, 25, 86} {
		b.Run(fmt.Sprintf("replicas=%d", n), func(b *testing.B) { benchOwnerRun(b, n) })
	}
}

func benchOwnerRun(b *testing.B, n int) {
	t := parseTables(b, tablesText(n, n))
	fleet := standin.FromTables(t, standin.Options{Service: standin.ServiceTime{Mean: time.Nanosecond}})
	fleet.Publish(1, nil)
	if err := fleet.Start(true); err != nil {
		b.Fatal(err)
	}
	defer fleet.Close()
	self := fleetstate.Member{Node: "vm-1", Zone: "zone-1", State: fleetstate.Alive, EgressAddr: "127.0.0.1:7010"}
	env := newEnv(&fleetstate.State{Version: 1, Tables: t, Members: []fleetstate.Member{self}})
	service := egress.New(env)
	if err := env.Kernel.Register(service); err != nil {
		b.Fatal(err)
	}
	if err := env.Kernel.Start(context.Background()); err != nil {
		b.Fatal(err)
	}
	defer func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = env.Kernel.Stop(ctx)
	}()
	client := peer.NewClient(service.Addr(), peer.Options{Self: peer.Identity{Fleet: "sapphirewall", Node: "e", Role: peer.RoleEntry}})
	defer client.Close()
	send := func(i int) error {
		u := t.Pools["p"].Upstreams[i%n]
		_, err := client.Call(context.Background(), &swpb.Envelope{Body: &swpb.Envelope_SubRequest{SubRequest: &swpb.SubRequest{
			RequestId: fmt.Sprint("q-", i), Attempt: 1, Route: "wide", Pool: "p", Replica: u.ID, Shard: uint32(u.Shard),
			BudgetUs: uint64(time.Second / time.Microsecond), Idempotent: true, Revision: 1, Payload: []byte(`{"n":1}`),
		}}})
		return err
	}
	warmUp(b, send, 40*n)
	b.ResetTimer()
	begin := cpuTime()
	runConcurrently(b, send, b.N)
	reportCPU(b, begin, b.N, "part")
}

// warmUp calls send until n calls in succession have succeeded.
func warmUp(b *testing.B, send func(int) error, n int) {
	succeeded := 0
	for i := 0; succeeded < n; i++ {
		succeeded++
		if err := send(i); err != nil {
			succeeded = 0
			time.Sleep(time.Millisecond)
		}
		if i > 1000*n {
			b.Fatal("warm-up: too few requests in succession were successful")
		}
	}
}

// runConcurrently calls send n times, from as many goroutines as concurrency states.
func runConcurrently(b *testing.B, send func(int) error, n int) {
	var wg sync.WaitGroup
	work := make(chan int, concurrency)
	for range concurrency {
		wg.Go(func() {
			for i := range work {
				if err := send(i); err != nil {
					b.Error(err)
				}
			}
		})
	}
	for i := range n {
		work <- i
	}
	close(work)
	wg.Wait()
}

package bench

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sapphirewall/sapphirewall/internal/entry"
	"github.com/sapphirewall/sapphirewall/internal/fleetstate"
)

// ownerCount is the number of fake owners, over which a query is spread.
const ownerCount = 9

// concurrency is the number of queries or sub-requests in flight.
const concurrency = 16

// BenchmarkQuery sends queries to an entry process whose owners answer at once. The
// processor time includes the caller's client and the owners' ends of the sessions.
func BenchmarkQuery(b *testing.B) {
	for _, fanOut := range []int{1, 25, 86} {
		b.Run(fmt.Sprintf("fan-out=%d", fanOut), func(b *testing.B) { benchQuery(b, fanOut) })
	}
}

func benchQuery(b *testing.B, fanOut int) {
	t := parseTables(b, tablesText(3*fanOut, fanOut))
	env := newEnv(&fleetstate.State{Version: 1, Tables: t, Members: serveOwners(b, t, ownerCount)})
	service := entry.New(env)
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
	client := &fasthttp.HostClient{Addr: service.Addr(), MaxConns: concurrency}
	send := func(int) error { return sendQuery(client) }
	warmUp(b, send, 100)
	b.ResetTimer()
	begin := cpuTime()
	runConcurrently(b, send, b.N)
	reportCPU(b, begin, b.N, "query")
	reportCPU(b, begin, b.N*fanOut, "part")
}

// sendQuery sends one query. An incomplete answer is an error.
func sendQuery(client *fasthttp.HostClient) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + client.Addr + "/v1/query/wide")
	req.SetBodyString(`{"n":1}`)
	if err := client.Do(req, resp); err != nil {
		return err
	}
	if missing := resp.Header.Peek("Sw-Missing"); resp.StatusCode() != fasthttp.StatusOK || len(missing) > 0 {
		return fmt.Errorf("query failed or incomplete: status %d, missing parts %q: %s", resp.StatusCode(), missing, resp.Body())
	}
	return nil
}

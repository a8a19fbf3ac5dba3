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

// owners is the number of fake owners that the entry spreads a query over.
const owners = 9

// callers is the number of queries or sub-requests that are asked at once.
const callers = 16

// BenchmarkQuery asks whole queries of an entry whose owners answer at once;
// the processor time includes the caller's client and the owners' sessions.
func BenchmarkQuery(b *testing.B) {
	for _, fanOut := range []int{1, 25, 86} {
		b.Run(fmt.Sprintf("fan-out=%d", fanOut), func(b *testing.B) { benchQuery(b, fanOut) })
	}
}

func benchQuery(b *testing.B, fanOut int) {
	t := parsed(b, tablesText(3*fanOut, fanOut))
	env := newEnv(&fleetstate.State{Version: 1, Tables: t, Members: serveOwner(b, t, owners)})
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
	client := &fasthttp.HostClient{Addr: service.Addr(), MaxConns: callers}
	run := func(int) error { return askOnce(client) }
	warmUp(b, run, 100)
	b.ResetTimer()
	begin := cpuTime()
	together(b, run, b.N)
	reportCPU(b, begin, b.N, "query")
	reportCPU(b, begin, b.N*fanOut, "part")
}

// askOnce asks one query; an answer that is not whole is an error.
func askOnce(client *fasthttp.HostClient) error {
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
		return fmt.Errorf("status %d, missing %q: %s", resp.StatusCode(), missing, resp.Body())
	}
	return nil
}

package bench

import (
	"fmt"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	standin "github.com/sapphirewall/sapphirewall/internal/standin/upstream"
	"github.com/sapphirewall/sapphirewall/internal/upstream"
)

// BenchmarkStandin sends requests to upstreams by HTTP without sapphirewall in
// between. The result is the share of the upstreams and the HTTP client in
// BenchmarkOwnerRun.
func BenchmarkStandin(b *testing.B) {
	t := parseTables(b, tablesText(25, 25))
	fleet := standin.FromTables(t, standin.Options{Service: standin.ServiceTime{Mean: time.Nanosecond}})
	fleet.Publish(1, nil)
	if err := fleet.Start(true); err != nil {
		b.Fatal(err)
	}
	defer fleet.Close()
	var clients []*fasthttp.HostClient
	for _, u := range t.Pools["p"].Upstreams {
		clients = append(clients, &fasthttp.HostClient{Addr: u.Addr, MaxConns: concurrency})
	}
	send := func(i int) error {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		defer fasthttp.ReleaseRequest(req)
		defer fasthttp.ReleaseResponse(resp)
		c := clients[i%len(clients)]
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetRequestURI("http://" + c.Addr + upstream.PathRun)
		req.Header.Set(upstream.HeaderRequestID, fmt.Sprint("q-", i))
		req.Header.Set(upstream.HeaderAttempt, "1")
		req.Header.Set(upstream.HeaderRoute, "wide")
		req.SetBodyString(`{"n":1}`)
		return c.Do(req, resp)
	}
	warmUp(b, send, 100)
	b.ResetTimer()
	begin := cpuTime()
	runConcurrently(b, send, b.N)
	reportCPU(b, begin, b.N, "part")
}

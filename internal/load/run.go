package load

import (
	"context"
	"errors"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sapphirewall/sapphirewall/internal/httpreply"
)

// The headers of the callers' interface that the load client sets or reads.
const (
	headerDeadline  = "Sw-Deadline-Ms"
	headerKey       = "Idempotency-Key"
	headerRequestID = "Sw-Request-Id"
	headerSnapshot  = "Sw-Snapshot"
	headerCoverage  = "Sw-Coverage"
	headerMissing   = "Sw-Missing"
)

// singleFields are the headers of an answer that have one value.
var singleFields = []string{headerRequestID, headerSnapshot, headerCoverage}

// hangMargin is how long after its deadline a request without an answer counts
// as hung.
const hangMargin = 250 * time.Millisecond

// maxConnections limits the client's connections to one target.
const maxConnections = 4096

// Result is the result of one request.
type Result struct {
	Request   Request
	Due       time.Time // planned send time
	Done      time.Time
	Target    string
	Status    int // 0: no answer
	RequestID string
	Snapshot  string
	Coverage  string
	Missing   string
	Body      []byte
	Err       error
}

// Latency returns the time from when the request was due to its end.
func (r *Result) Latency() time.Duration { return r.Done.Sub(r.Due) }

// Runner sends the requests of a plan.
type Runner struct {
	Routes   []Route
	Deadline time.Duration     // for routes without one
	Dial     fasthttp.DialFunc // nil: fasthttp.Dial

	mu      sync.RWMutex // guards targets
	targets []*fasthttp.HostClient
	done    atomic.Int64
}

// SetTargets replaces the addresses of the entry processes, as the platform's
// load balancer does. Requests in flight are not affected.
func (r *Runner) SetTargets(addrs []string) {
	clients := make([]*fasthttp.HostClient, len(addrs))
	r.mu.Lock()
	defer r.mu.Unlock()
	known := map[string]*fasthttp.HostClient{}
	for _, c := range r.targets {
		known[c.Addr] = c
	}
	for i, a := range addrs {
		if clients[i] = known[a]; clients[i] == nil {
			clients[i] = r.client(a)
		}
	}
	r.targets = clients
}

func (r *Runner) client(addr string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr: addr, MaxConns: maxConnections, Dial: r.dial,
		MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// dial opens a connection whose answers are checked as a strict client does.
func (r *Runner) dial(addr string) (net.Conn, error) {
	dial := r.Dial
	if dial == nil {
		dial = fasthttp.Dial
	}
	nc, err := dial(addr)
	if err != nil {
		return nil, err
	}
	return httpreply.NewConn(nc, singleFields...), nil
}

// Done returns the number of requests that have ended.
func (r *Runner) Done() int { return int(r.done.Load()) }

// Run sends every request when it is due and returns the results in plan order.
// When ctx ends it sends no more requests, waits for those in flight and returns
// the results of the requests that were sent.
func (r *Runner) Run(ctx context.Context, plan []Request) []Result {
	results := make([]Result, len(plan))
	start := time.Now()
	var wg sync.WaitGroup
	sent := 0
	for i, planned := range plan {
		due := start.Add(planned.At)
		if !sleepUntil(ctx, due) {
			break
		}
		sent++
		wg.Add(1)
		go func() {
			defer wg.Done()
			results[i] = r.send(planned, due)
			r.done.Add(1)
		}()
	}
	wg.Wait()
	return results[:sent]
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *Runner) pick(req Request) *fasthttp.HostClient {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.targets[req.Target%len(r.targets)]
}

func (r *Runner) send(planned Request, due time.Time) Result {
	route := r.Routes[planned.Route]
	client := r.pick(planned)
	out := Result{Request: planned, Due: due, Target: client.Addr}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + client.Addr + "/v1/query/" + route.Name)
	req.SetBody(planned.Payload)
	if planned.Key != "" {
		req.Header.Set(headerKey, planned.Key)
	}
	deadline := r.Deadline
	if route.Deadline > 0 {
		deadline = route.Deadline
		req.Header.Set(headerDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	}
	out.Err = client.DoTimeout(req, resp, deadline+hangMargin)
	out.Done = time.Now()
	if out.Err != nil {
		return out
	}
	out.Status = resp.StatusCode()
	out.RequestID = string(resp.Header.Peek(headerRequestID))
	out.Snapshot = string(resp.Header.Peek(headerSnapshot))
	out.Coverage = string(resp.Header.Peek(headerCoverage))
	out.Missing = string(resp.Header.Peek(headerMissing))
	out.Body = append([]byte(nil), resp.Body()...)
	return out
}

// Hung reports whether the request timed out without an answer after its
// deadline. A connection that fails or is refused is not a hang.
func (r *Result) Hung() bool {
	var timeout net.Error
	return errors.Is(r.Err, fasthttp.ErrTimeout) || errors.As(r.Err, &timeout) && timeout.Timeout()
}

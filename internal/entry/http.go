package entry

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/attribute"

	"github.com/sapphirewall/sapphirewall/internal/callerhttp"
	"github.com/sapphirewall/sapphirewall/internal/decide/bytebudget"
	"github.com/sapphirewall/sapphirewall/internal/hostlimits"
	"github.com/sapphirewall/sapphirewall/internal/membudget"
	"github.com/sapphirewall/sapphirewall/internal/tables"
	"github.com/sapphirewall/sapphirewall/internal/telemetry"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// pathPrefix is followed by the route's name.
const pathPrefix = "/v1/query/"

// The headers of requests and answers.
const (
	headerRequestID      = "Sw-Request-Id"
	headerSnapshot       = "Sw-Snapshot"
	headerCoverage       = "Sw-Coverage"
	headerMissing        = "Sw-Missing"
	headerRevision       = "Sw-Revision"
	headerRepeated       = "Sw-Repeated" // "yes": the stored answer of an earlier request
	headerDeadline       = "Sw-Deadline-Ms"
	headerIdempotencyKey = "Idempotency-Key"
	headerTraceparent    = "Traceparent"
)

// The limits of a request.
const (
	maxKeyBytes = 128
	headerBytes = 16 << 10
	// answerMargin is reserved before the deadline for merging and writing. It is
	// cut to a quarter of the request's timeout.
	answerMargin = 5 * time.Millisecond
	// idleTimeout closes connections without requests.
	idleTimeout = time.Minute
	// readTimeout limits the time in which a whole request must arrive.
	readTimeout = 10 * time.Second
)

// newServer returns the server of callers' connections, which bounds what they take of the
// process's memory and descriptors.
func (s *Service) newServer() *callerhttp.Server {
	server := callerhttp.New(s.handle)
	server.SetRefusal(s.refuseUnread)
	server.SetLimits(callerhttp.Limits{HeaderBytes: headerBytes, BodyBytes: s.opts.MaxBody, HeaderTimeout: readTimeout, IdleTimeout: idleTimeout})
	may := hostlimits.Resolve(int64(s.opts.Memory*(1<<20)), s.opts.Descriptors, s.log)
	s.budget = membudget.ForProcess(may.Memory)
	server.SetConnectionBuffer(s.opts.ConnectionBuffer)
	server.SetBudget(s.budget, bytebudget.ConnectionLimit(may.Descriptors), s.log)
	return server
}

// handle serves one HTTP request.
func (s *Service) handle(x *callerhttp.Exchange) {
	id := s.ids.next()
	ctx := s.tracer.Extract(context.Background(), headerOf(x.Request, headerTraceparent))
	ctx, span := s.tracer.Start(ctx, "entry")
	defer span.End()
	span.SetAttributes(attribute.String("request_id", id))
	s.metrics.requests.Add(1)
	x.Response.Header.Set(headerRequestID, id)
	req, v := s.parseRequest(x, id)
	var a *answer
	if v == nil {
		a, v = s.admitAndServe(ctx, req)
	}
	if v != nil {
		span.SetAttributes(attribute.String("verdict", v.Error()))
		s.writeRefusal(x.Response, id, telemetry.TraceID(ctx), v)
		return
	}
	s.writeAnswer(x, id, a)
}

// headerOf returns the value of a header field, whose name callers may write in any case.
func headerOf(r *fasthttp.Request, name string) string {
	for k, v := range r.Header.All() {
		if strings.EqualFold(string(k), name) {
			return string(v)
		}
	}
	return ""
}

// admitAndServe serves a request once the gate has admitted it.
func (s *Service) admitAndServe(ctx context.Context, req *request) (*answer, *verdict.Error) {
	if v := s.gate.admit(req); v != nil {
		return nil, v
	}
	defer s.metrics.inFlight.Add(-1)
	s.metrics.inFlight.Add(1)
	begin := time.Now()
	a, v := s.serve(ctx, req)
	s.gate.release(req, time.Since(begin), v == nil || v.Cause == verdict.Deadline)
	return a, v
}

// parseRequest validates a request.
func (s *Service) parseRequest(x *callerhttp.Exchange, id string) (*request, *verdict.Error) {
	if !x.Request.Header.IsPost() {
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, "use POST "+pathPrefix+"{route}")
	}
	name, ok := strings.CutPrefix(string(x.Request.URI().Path()), pathPrefix)
	if !ok {
		return nil, verdict.New(verdict.NotRun, verdict.UnknownRoute, "use POST "+pathPrefix+"{route}")
	}
	c := s.current.Load()
	if c.state.Tables == nil {
		return nil, verdict.New(verdict.NotRun, verdict.NotReady, errNoTables.Error()).WithRetryAfter(notReadyRetryAfter)
	}
	route := c.state.Tables.Routes[name]
	if route == nil {
		return nil, verdict.Newf(verdict.NotRun, verdict.UnknownRoute, "the tables have no route %q", name)
	}
	timeout, v := timeoutOf(route, headerOf(x.Request, headerDeadline))
	if v != nil {
		return nil, v
	}
	key, v := idempotencyKeyOf(route, headerOf(x.Request, headerIdempotencyKey))
	if v != nil {
		return nil, v
	}
	req := &request{
		id:       id,
		route:    &routeRef{Route: route, catalogue: c},
		account:  x.Account,
		key:      key,
		deadline: x.Arrived.Add(timeout - min(answerMargin, timeout/4)),
	}
	if len(x.Request.Body()) > 0 {
		// The buffer is taken over: attempts may be in a queue still when the handler returns.
		req.body = x.Request.SwapBody(nil)
	}
	req.fingerprint = fingerprint(route.Name, req.body)
	return req, s.poison.refuse(x.Arrived, req.fingerprint)
}

// timeoutOf returns the timeout that the caller sets, at most the route's.
func timeoutOf(r *tables.Route, header string) (time.Duration, *verdict.Error) {
	if header == "" {
		return r.Deadline, nil
	}
	ms, err := strconv.ParseInt(header, 10, 64)
	if err != nil || ms <= 0 {
		return 0, verdict.Newf(verdict.NotRun, verdict.BadRequest, "%s is %q; give whole milliseconds above 0", headerDeadline, header)
	}
	return min(time.Duration(min(ms, r.Deadline.Milliseconds()+1))*time.Millisecond, r.Deadline), nil
}

// idempotencyKeyOf returns the idempotency key of an action, which is required.
// Queries have none.
func idempotencyKeyOf(r *tables.Route, header string) (string, *verdict.Error) {
	if r.Kind != tables.Action {
		return "", nil
	}
	if header == "" || len(header) > maxKeyBytes {
		return "", verdict.Newf(verdict.NotRun, verdict.BadRequest, "route %q is an action: give %s with 1 to %d bytes", r.Name, headerIdempotencyKey, maxKeyBytes)
	}
	return header, nil
}

// fingerprint returns a hash of a request's route and body.
func fingerprint(route string, body []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(route)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return d.Sum64()
}

// writeAnswer writes the response for an answer.
func (s *Service) writeAnswer(x *callerhttp.Exchange, id string, a *answer) {
	if a.coverage.Complete() {
		s.metrics.complete.Add(1)
	} else {
		s.metrics.partial.Add(1)
	}
	head := &x.Response.Header
	head.Set(headerSnapshot, strconv.FormatUint(a.snapshot, 10))
	head.Set(headerCoverage, a.coverage.String())
	head.Set(headerRevision, strconv.FormatUint(a.revision, 10))
	if len(a.coverage.Missing) > 0 {
		head.Set(headerMissing, a.coverage.MissingList())
	}
	if a.repeated {
		head.Set(headerRepeated, "yes")
	}
	head.SetContentType("application/json")
	if a.merge == tables.MergeFirst {
		head.SetContentType("application/octet-stream")
	}
	body := a.body(id)
	x.Account.Force(len(body))
	x.Response.SetBodyRaw(body)
}

// writeRefusal writes the problem document of a refusal.
func (s *Service) writeRefusal(resp *fasthttp.Response, id, traceID string, v *verdict.Error) {
	s.countRefusal(v)
	writeProblem(resp, v, v.Problem(id, traceID))
}

func writeProblem(resp *fasthttp.Response, v *verdict.Error, p verdict.Problem) {
	resp.SetStatusCode(p.Status)
	resp.Header.SetContentType(verdict.ProblemType)
	if after := v.RetryAfterSeconds(); after > 0 {
		resp.Header.Set("Retry-After", strconv.Itoa(after))
	}
	resp.SetBodyRaw(p.JSON())
}

func (s *Service) countRefusal(v *verdict.Error) {
	s.metrics.refused.Add(1)
	s.metrics.refusals.Add(string(v.Cause), 1)
}

// refuseUnread completes the refusal of a request that was not read whole.
func (s *Service) refuseUnread(resp *fasthttp.Response, status int) {
	id := s.ids.next()
	resp.Header.Set(headerRequestID, id)
	v := verdict.New(verdict.NotRun, verdict.BadRequest, "the request can't be read")
	switch status {
	case fasthttp.StatusRequestEntityTooLarge:
		v = verdict.Newf(verdict.NotRun, verdict.TooLarge, "the body is larger than %d bytes", s.opts.MaxBody)
	case fasthttp.StatusRequestHeaderFieldsTooLarge:
		v = verdict.Newf(verdict.NotRun, verdict.TooLarge, "the head is larger than %d bytes", headerBytes)
	case fasthttp.StatusRequestTimeout:
		v = verdict.Newf(verdict.NotRun, verdict.BadRequest, "the request has not come in within %v", readTimeout)
	case fasthttp.StatusServiceUnavailable:
		v = verdict.New(verdict.NotRun, verdict.Shed, "the memory for requests is in use").WithRetryAfter(overloadRetryAfter)
	}
	s.countRefusal(v)
	p := v.Problem(id, "")
	p.Status = status
	writeProblem(resp, v, p)
}

package entry

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/attribute"

	"github.com/sapphirewall/sapphirewall/internal/sockstat"
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
	// answerMargin is reserved before the deadline for merging and writing. It is
	// cut to a quarter of the request's timeout.
	answerMargin = 5 * time.Millisecond
	// idleTimeout closes connections without requests.
	idleTimeout = time.Minute
	// readTimeout limits the time in which a whole request must arrive.
	readTimeout = 10 * time.Second
	// writeTimeout closes connections of callers that don't read their answer.
	writeTimeout = 10 * time.Second
)

func (s *Service) newServer() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               s.handle,
		ErrorHandler:          s.handleMalformed,
		Logger:                &s.log,
		Name:                  "sapphirewall",
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		MaxRequestBodySize:    s.opts.MaxBody,
		ReadBufferSize:        readBufferBytes,
		ReadTimeout:           readTimeout,
		WriteTimeout:          writeTimeout,
		IdleTimeout:           idleTimeout,
	}
}

// handle serves one HTTP request.
func (s *Service) handle(h *fasthttp.RequestCtx) {
	waited, _ := sockstat.SinceReceived(h.Conn())
	begin := time.Now().Add(-waited)
	id := s.ids.next()
	ctx := s.tracer.Extract(context.Background(), string(h.Request.Header.Peek(headerTraceparent)))
	ctx, span := s.tracer.Start(ctx, "entry")
	defer span.End()
	span.SetAttributes(attribute.String("request_id", id))
	s.metrics.requests.Add(1)
	h.Response.Header.Set(headerRequestID, id)
	if s.stopping.Load() {
		h.SetConnectionClose()
	}
	req, v := s.parseRequest(h, id, begin)
	var a *answer
	if v == nil {
		a, v = s.admitAndServe(ctx, req)
	}
	if v != nil {
		span.SetAttributes(attribute.String("verdict", v.Error()))
		s.writeRefusal(h, id, telemetry.TraceID(ctx), v)
		return
	}
	s.writeAnswer(h, id, a)
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

// parseRequest validates a request and copies what is used after the handler has
// returned.
func (s *Service) parseRequest(h *fasthttp.RequestCtx, id string, begin time.Time) (*request, *verdict.Error) {
	if string(h.Method()) != fasthttp.MethodPost {
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, "use POST "+pathPrefix+"{route}")
	}
	name, ok := strings.CutPrefix(string(h.Path()), pathPrefix)
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
	timeout, v := timeoutOf(route, string(h.Request.Header.Peek(headerDeadline)))
	if v != nil {
		return nil, v
	}
	key, v := idempotencyKeyOf(route, string(h.Request.Header.Peek(headerIdempotencyKey)))
	if v != nil {
		return nil, v
	}
	req := &request{
		id:       id,
		route:    &routeRef{Route: route, catalogue: c},
		body:     append([]byte(nil), h.PostBody()...),
		key:      key,
		deadline: begin.Add(timeout - min(answerMargin, timeout/4)),
	}
	req.fingerprint = fingerprint(route.Name, req.body)
	return req, s.poison.refuse(begin, req.fingerprint)
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
func (s *Service) writeAnswer(h *fasthttp.RequestCtx, id string, a *answer) {
	if a.coverage.Complete() {
		s.metrics.complete.Add(1)
	} else {
		s.metrics.partial.Add(1)
	}
	head := &h.Response.Header
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
	h.Response.SetBodyRaw(a.body(id))
}

// writeRefusal writes the problem document of a refusal.
func (s *Service) writeRefusal(h *fasthttp.RequestCtx, id, traceID string, v *verdict.Error) {
	s.metrics.refused.Add(1)
	s.metrics.refusals.Add(string(v.Cause), 1)
	p := v.Problem(id, traceID)
	h.SetStatusCode(p.Status)
	h.SetContentType(verdict.ProblemType)
	if after := v.RetryAfterSeconds(); after > 0 {
		h.Response.Header.Set("Retry-After", strconv.Itoa(after))
	}
	h.Response.SetBodyRaw(p.JSON())
}

// handleMalformed refuses a request that the HTTP server could not read.
func (s *Service) handleMalformed(h *fasthttp.RequestCtx, err error) {
	id := s.ids.next()
	h.Response.Header.Set(headerRequestID, id)
	v := verdict.Newf(verdict.NotRun, verdict.BadRequest, "the request can't be read: %v", err)
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		v = verdict.Newf(verdict.NotRun, verdict.TooLarge, "the body is larger than %d bytes", s.opts.MaxBody)
	}
	s.writeRefusal(h, id, "", v)
}

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

	"github.com/sapphirewall/sapphirewall/internal/tables"
	"github.com/sapphirewall/sapphirewall/internal/telemetry"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// pathPrefix is followed by the route's name.
const pathPrefix = "/v1/query/"

// The headers of callers' requests and of answers.
const (
	headerRequestID   = "Sw-Request-Id"
	headerSnapshot    = "Sw-Snapshot"
	headerCoverage    = "Sw-Coverage"
	headerMissing     = "Sw-Missing"
	headerRevision    = "Sw-Revision"
	headerRepeated    = "Sw-Repeated" // "yes": the kept answer of an earlier request
	headerDeadline    = "Sw-Deadline-Ms"
	headerKey         = "Idempotency-Key"
	headerTraceparent = "Traceparent"
)

// The bounds of a request.
const (
	maxKeyBytes = 128
	// answerMargin is kept before the deadline for merging and writing; at
	// most a quarter of the time is.
	answerMargin = 5 * time.Millisecond
	// idleTimeout ends connections of callers that ask nothing.
	idleTimeout = time.Minute
	// bodyTimeout bounds the time in which a request has to arrive.
	bodyTimeout = 10 * time.Second
	// writeTimeout ends connections of callers that don't read their answer.
	writeTimeout = 10 * time.Second
)

func (s *Service) newServer() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               s.handle,
		ErrorHandler:          s.handleBroken,
		Logger:                &s.log,
		Name:                  "sapphirewall",
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		MaxRequestBodySize:    s.opts.MaxBody,
		ReadBufferSize:        readBufferBytes,
		ReadTimeout:           bodyTimeout,
		WriteTimeout:          writeTimeout,
		IdleTimeout:           idleTimeout,
	}
}

// handle serves one HTTP request.
func (s *Service) handle(h *fasthttp.RequestCtx) {
	begin := time.Now()
	id := s.ids.next()
	ctx := s.tracer.Extract(context.Background(), string(h.Request.Header.Peek(headerTraceparent)))
	ctx, span := s.tracer.Start(ctx, "entry")
	defer span.End()
	span.SetAttributes(attribute.String("request_id", id))
	s.metrics.asked.Add(1)
	h.Response.Header.Set(headerRequestID, id)
	if s.stopping.Load() {
		h.SetConnectionClose()
	}
	req, v := s.read(h, id, begin)
	var a *answer
	if v == nil {
		a, v = s.admitted(ctx, req)
	}
	if v != nil {
		span.SetAttributes(attribute.String("verdict", v.Error()))
		s.refuse(h, id, telemetry.TraceID(ctx), v)
		return
	}
	s.write(h, id, a)
}

// admitted serves a request once the gate lets it in.
func (s *Service) admitted(ctx context.Context, req *request) (*answer, *verdict.Error) {
	if v := s.gate.enter(req); v != nil {
		return nil, v
	}
	defer s.metrics.inFlight.Add(-1)
	s.metrics.inFlight.Add(1)
	begin := time.Now()
	a, v := s.serve(ctx, req)
	s.gate.leave(req, time.Since(begin), v == nil || v.Cause == verdict.Deadline)
	return a, v
}

// read checks a request and copies what outlives the handler.
func (s *Service) read(h *fasthttp.RequestCtx, id string, begin time.Time) (*request, *verdict.Error) {
	if string(h.Method()) != fasthttp.MethodPost {
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, "use POST "+pathPrefix+"{route}")
	}
	name, ok := strings.CutPrefix(string(h.Path()), pathPrefix)
	if !ok {
		return nil, verdict.New(verdict.NotRun, verdict.UnknownRoute, "use POST "+pathPrefix+"{route}")
	}
	c := s.current.Load()
	if c.state.Tables == nil {
		return nil, verdict.New(verdict.NotRun, verdict.NotReady, errNoTables.Error()).WithRetryAfter(notReadyRetry)
	}
	route := c.state.Tables.Routes[name]
	if route == nil {
		return nil, verdict.Newf(verdict.NotRun, verdict.UnknownRoute, "the tables have no route %q", name)
	}
	wait, v := deadlineOf(route, string(h.Request.Header.Peek(headerDeadline)))
	if v != nil {
		return nil, v
	}
	key, v := keyOf(route, string(h.Request.Header.Peek(headerKey)))
	if v != nil {
		return nil, v
	}
	req := &request{
		id:       id,
		route:    &routeRef{Route: route, catalogue: c},
		body:     append([]byte(nil), h.PostBody()...),
		key:      key,
		deadline: begin.Add(wait - min(answerMargin, wait/4)),
	}
	req.fingerprint = fingerprint(route.Name, req.body)
	return req, s.poison.refuse(begin, req.fingerprint)
}

// deadlineOf returns the time that the caller gives, at most the route's.
func deadlineOf(r *tables.Route, header string) (time.Duration, *verdict.Error) {
	if header == "" {
		return r.Deadline, nil
	}
	ms, err := strconv.ParseInt(header, 10, 64)
	if err != nil || ms <= 0 {
		return 0, verdict.Newf(verdict.NotRun, verdict.BadRequest, "%s is %q; give whole milliseconds above 0", headerDeadline, header)
	}
	return min(time.Duration(min(ms, r.Deadline.Milliseconds()+1))*time.Millisecond, r.Deadline), nil
}

// keyOf checks the idempotency key, which every action needs.
func keyOf(r *tables.Route, header string) (string, *verdict.Error) {
	if r.Kind != tables.Action {
		return "", nil
	}
	if header == "" || len(header) > maxKeyBytes {
		return "", verdict.Newf(verdict.NotRun, verdict.BadRequest, "route %q is an action: give %s with 1 to %d bytes", r.Name, headerKey, maxKeyBytes)
	}
	return header, nil
}

// fingerprint tells requests apart by what they ask.
func fingerprint(route string, body []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(route)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return d.Sum64()
}

// write sends an answer.
func (s *Service) write(h *fasthttp.RequestCtx, id string, a *answer) {
	if a.coverage.Complete() {
		s.metrics.whole.Add(1)
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

// refuse sends a problem document.
func (s *Service) refuse(h *fasthttp.RequestCtx, id, traceID string, v *verdict.Error) {
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

// handleBroken answers bytes that are no request that can be read.
func (s *Service) handleBroken(h *fasthttp.RequestCtx, err error) {
	id := s.ids.next()
	h.Response.Header.Set(headerRequestID, id)
	v := verdict.Newf(verdict.NotRun, verdict.BadRequest, "the request can't be read: %v", err)
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		v = verdict.Newf(verdict.NotRun, verdict.TooLarge, "the body is larger than %d bytes", s.opts.MaxBody)
	}
	s.refuse(h, id, "", v)
}

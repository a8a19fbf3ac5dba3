package direct

import (
	"context"
	"strings"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"github.com/sapphirewall/sapphirewall/internal/decide/gather"
	"github.com/sapphirewall/sapphirewall/internal/telemetry"
)

// headerTraceparent is the caller's trace context (W3C Trace Context). It is
// passed on to replicas as it came.
const headerTraceparent = "traceparent"

// SetTracer makes the service start spans: one for each request and one for each
// attempt, if the request is sampled. It is called before the first request.
func (s *Service) SetTracer(t *telemetry.Tracer) { s.tracer = t }

// startSpan begins the span of a request. It does nothing without a tracer.
func (s *Service) startSpan(req *Request) trace.Span {
	if s.tracer == nil {
		return nil
	}
	ctx := context.Background()
	for _, h := range req.Header {
		if strings.EqualFold(h.Name, headerTraceparent) {
			ctx = s.tracer.Extract(ctx, h.Value)
		}
	}
	_, span := s.tracer.Start(ctx, "request", trace.WithTimestamp(req.Arrived))
	if !span.IsRecording() {
		return nil
	}
	span.SetAttributes(attribute.String("request.id", req.ID))
	return span
}

// endSpan ends the span of a request with its answer.
func endSpan(span trace.Span, c *call, a *Answer) {
	if span == nil {
		return
	}
	if c != nil {
		span.SetAttributes(attribute.String("route", c.route.Name), attribute.Int("parts", len(c.pools)), attribute.Int("in", c.machine.Received()))
	}
	if a.Refusal != nil {
		span.SetStatus(codes.Error, string(a.Refusal.Cause))
	}
	span.End()
}

// startSpan begins the span of an attempt whose request is sampled.
func (a *attempt) startSpan(e gather.Kind) {
	c := a.call
	if c.span == nil {
		return
	}
	_, a.span = c.s.tracer.Start(trace.ContextWithSpan(context.Background(), c.span), "attempt", trace.WithTimestamp(a.wire.SentAt),
		trace.WithAttributes(attribute.String("pool", c.pools[a.part]), attribute.String("upstream", a.replica.status.ID), attribute.String("sent_as", e.String())))
}

// endSpan ends the span of an attempt with its outcome.
func (a *attempt) endSpan() {
	if a.span == nil {
		return
	}
	if a.wire.Err != nil {
		a.span.SetStatus(codes.Error, string(a.wire.Err.Cause))
	} else {
		a.span.SetAttributes(attribute.Int("status", a.wire.Reply.Status), attribute.Bool("not_run", a.wire.Reply.NotRun))
	}
	a.span.End()
}

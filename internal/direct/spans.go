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

// headerTraceparent is the header of the caller's trace context (W3C Trace
// Context). It is passed on to replicas unchanged.
const headerTraceparent = "traceparent"

// SetTracer makes the service start a span for each sampled request and one for
// each of its attempts. It must be called before the first request.
func (s *Service) SetTracer(t *telemetry.Tracer) { s.tracer = t }

// StartHandover starts the span of a request that is handed over to another VM, which
// end ends with the outcome.
func (s *Service) StartHandover(req *Request, vm string) (end func(outcome string)) {
	span := s.startSpan(req, "handover")
	if span == nil {
		return func(string) {}
	}
	span.SetAttributes(attribute.String("vm", vm))
	return func(outcome string) {
		span.SetAttributes(attribute.String("outcome", outcome))
		span.End()
	}
}

// startSpan starts the span of a request. It returns nil without a tracer or if the
// request is not sampled.
func (s *Service) startSpan(req *Request, name string) trace.Span {
	if s.tracer == nil {
		return nil
	}
	ctx := context.Background()
	for _, h := range req.Header {
		if strings.EqualFold(h.Name, headerTraceparent) {
			ctx = s.tracer.Extract(ctx, h.Value)
		}
	}
	_, span := s.tracer.Start(ctx, name, trace.WithTimestamp(req.Arrived))
	if !span.IsRecording() {
		return nil
	}
	span.SetAttributes(attribute.String("request.id", req.ID))
	return span
}

// endSpan records the answer in the span of a request and ends it. c is nil if the
// request was refused.
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

// startSpan starts the span of an attempt if its request is sampled.
func (a *attempt) startSpan(kind gather.Kind) {
	c := a.call
	if c.span == nil {
		return
	}
	_, a.span = c.s.tracer.Start(trace.ContextWithSpan(context.Background(), c.span), "attempt", trace.WithTimestamp(a.wire.SentAt),
		trace.WithAttributes(attribute.String("pool", c.pools[a.part]), attribute.String("upstream", a.replica.status.ID), attribute.String("sent_as", kind.String())))
}

// endSpan records the result in the span of an attempt and ends it.
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

package telemetry

import (
	"context"
	"os"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// Trace exporters.
const (
	ExporterNone   = "none"
	ExporterStdout = "stdout"
	ExporterOTLP   = "otlp"
)

// TraceOptions configures NewTracer. Ratio is the share of traces that are
// sampled, 0 to 1; it applies only to traces that start here, others follow the
// decision of the parent span.
type TraceOptions struct {
	Exporter string
	Endpoint string // OTLP over HTTP, IP:port
	Ratio    float64
	Process  string
	Node     string
	Zone     string
}

// Tracer starts spans and converts their context from and to traceparent values.
type Tracer struct {
	trace.Tracer
	propagator propagation.TraceContext
	shutdown   func(context.Context) error
}

// NewTracer returns a tracer. With ExporterNone it records nothing, at negligible
// cost, but still propagates the caller's trace context.
func NewTracer(ctx context.Context, o TraceOptions) (*Tracer, error) {
	if o.Exporter == ExporterNone || o.Exporter == "" {
		return NoopTracer(), nil
	}
	exporter, err := newExporter(ctx, o)
	if err != nil {
		return nil, eris.Wrapf(err, "create trace exporter %q", o.Exporter)
	}
	res := resource.NewSchemaless(
		attribute.String("service.name", o.Process),
		attribute.String("service.instance.id", o.Node),
		attribute.String("availability_zone", o.Zone),
	)
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithResource(res),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(o.Ratio))),
	)
	return &Tracer{Tracer: provider.Tracer("sapphirewall"), shutdown: provider.Shutdown}, nil
}

// NoopTracer returns a tracer that records nothing.
func NoopTracer() *Tracer {
	return &Tracer{
		Tracer:   noop.NewTracerProvider().Tracer("sapphirewall"),
		shutdown: func(context.Context) error { return nil },
	}
}

func newExporter(ctx context.Context, o TraceOptions) (sdktrace.SpanExporter, error) {
	if o.Exporter == ExporterStdout {
		return stdouttrace.New(stdouttrace.WithWriter(os.Stdout))
	}
	return otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(o.Endpoint), otlptracehttp.WithInsecure())
}

// Shutdown exports the remaining spans and stops the exporter.
func (t *Tracer) Shutdown(ctx context.Context) error { return t.shutdown(ctx) }

// Extract returns ctx with the span context of traceparent.
func (t *Tracer) Extract(ctx context.Context, traceparent string) context.Context {
	if traceparent == "" {
		return ctx
	}
	return t.propagator.Extract(ctx, propagation.MapCarrier{"traceparent": traceparent})
}

// Inject returns the traceparent value of ctx, or "" without a span context.
func (t *Tracer) Inject(ctx context.Context) string {
	if !trace.SpanContextFromContext(ctx).IsValid() {
		return ""
	}
	carrier := propagation.MapCarrier{}
	t.propagator.Inject(ctx, carrier)
	return carrier["traceparent"]
}

// TraceID returns the trace ID of ctx, or "" without one.
func TraceID(ctx context.Context) string {
	sc := trace.SpanContextFromContext(ctx)
	if !sc.HasTraceID() {
		return ""
	}
	return sc.TraceID().String()
}

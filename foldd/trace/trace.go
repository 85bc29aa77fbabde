// Package trace sets up OpenTelemetry tracing, with one span for each step of a
// request on its way to an engine or service. The settings select the exporter
// and the sample ratio.
package trace

import (
	"context"
	"fmt"
	"net/http"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	oteltrace "go.opentelemetry.io/otel/trace"

	"fuchsiafold.example/foldd/conf"
)

const scope = "fuchsiafold.example/foldd"

// Setup installs the propagator for trace context headers and, if the settings
// select an exporter, a tracer provider with id and domain as resource
// attributes. The caller must call the returned function on shutdown: it flushes
// the remaining spans and stops the exporter.
func Setup(ctx context.Context, c conf.Trace, id, domain string) (func(context.Context) error, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	exporter, err := newExporter(ctx, c)
	if err != nil {
		return nil, fmt.Errorf("create trace exporter: %w", err)
	}
	if exporter == nil {
		return func(context.Context) error { return nil }, nil
	}
	p := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(c.SampleRatio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "foldd"),
			attribute.String("service.instance.id", id),
			attribute.String("failureDomain", domain),
		)),
	)
	otel.SetTracerProvider(p)
	return p.Shutdown, nil
}

// newExporter returns the exporter that the settings select, or nil for none.
func newExporter(ctx context.Context, c conf.Trace) (sdktrace.SpanExporter, error) {
	switch c.Exporter {
	case conf.ExporterStdout:
		return stdouttrace.New()
	case conf.ExporterOTLP:
		return otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(c.Endpoint))
	}
	return nil, nil
}

// Extract returns the request's context extended by the trace context in the
// request's headers.
func Extract(r *http.Request) context.Context {
	return otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
}

// Start starts the span of one step of a request. The caller must end the span.
func Start(ctx context.Context, name string, attrs ...attribute.KeyValue) (context.Context, oteltrace.Span) {
	return otel.Tracer(scope).Start(ctx, name, oteltrace.WithAttributes(attrs...))
}

// Package trace sets up tracing: a span for each hop of a request, exported
// as the settings say.
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

// Setup installs the exporter of the settings and returns what flushes it.
func Setup(ctx context.Context, c conf.Trace, id, domain string) (func(context.Context) error, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	exporter, err := exporter(ctx, c)
	if err != nil {
		return nil, fmt.Errorf("trace exporter: %w", err)
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

func exporter(ctx context.Context, c conf.Trace) (sdktrace.SpanExporter, error) {
	switch c.Exporter {
	case conf.ExporterStdout:
		return stdouttrace.New()
	case conf.ExporterOTLP:
		return otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(c.Endpoint))
	}
	return nil, nil
}

// Extract returns the context of a request with its caller's trace.
func Extract(r *http.Request) context.Context {
	return otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
}

// Start begins the span of one hop.
func Start(ctx context.Context, name string, attrs ...attribute.KeyValue) (context.Context, oteltrace.Span) {
	return otel.Tracer(scope).Start(ctx, name, oteltrace.WithAttributes(attrs...))
}

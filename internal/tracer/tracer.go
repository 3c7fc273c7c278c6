// Package tracer sets up OpenTelemetry tracing.
package tracer

import (
	"context"
	"io"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// Options selects the exporter of spans.
type Options struct {
	// Exporter is "none", "stdout" or "otlp".
	Exporter string
	// Endpoint is the URL of the collector; used with "otlp" only.
	Endpoint string
	// EntryHost and DataCentre are set as resource attributes of all spans.
	EntryHost, DataCentre string
	// Output receives the spans; used with "stdout" only.
	Output io.Writer
}

// Provider is a trace.TracerProvider that can be shut down.
type Provider struct {
	trace.TracerProvider
	shutdown func(context.Context) error
}

// New returns a provider for the given options. With the exporter "none" or "",
// spans are not recorded.
func New(ctx context.Context, opts Options) (*Provider, error) {
	exporter, err := newExporter(ctx, opts)
	if err != nil {
		return nil, errors.Wrapf(err, "tracer: exporter %q", opts.Exporter)
	}
	if exporter == nil {
		return &Provider{
			TracerProvider: noop.NewTracerProvider(),
			shutdown:       func(context.Context) error { return nil },
		}, nil
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "heathermux"),
			attribute.String("heathermux.entry-host", opts.EntryHost),
			attribute.String("heathermux.data-centre", opts.DataCentre),
		)),
	)
	return &Provider{
		TracerProvider: provider,
		shutdown:       provider.Shutdown,
	}, nil
}

func newExporter(ctx context.Context, opts Options) (sdktrace.SpanExporter, error) {
	switch opts.Exporter {
	case "", "none":
		return nil, nil
	case "stdout":
		return stdouttrace.New(stdouttrace.WithWriter(opts.Output))
	case "otlp":
		return otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(opts.Endpoint))
	default:
		return nil, errors.New("unknown exporter; allowed: none, stdout, otlp")
	}
}

// Shutdown exports the remaining spans and stops the exporter.
func (p *Provider) Shutdown(ctx context.Context) error {
	return errors.Wrap(p.shutdown(ctx), "tracer: shutdown")
}

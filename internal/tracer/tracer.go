// Package tracer sets up OpenTelemetry from the settings.
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

// Options selects where spans go.
type Options struct {
	// Exporter is "none", "stdout" or "otlp".
	Exporter string
	// Endpoint is the URL of the collector for "otlp".
	Endpoint string
	// EntryHost and DataCentre are attributes of every span.
	EntryHost, DataCentre string
	// Output takes the spans of "stdout".
	Output io.Writer
}

// Provider makes spans. Shutdown writes out the spans that wait.
type Provider struct {
	trace.TracerProvider
	shutdown func(context.Context) error
}

// New returns a provider. With the exporter "none" spans cost nothing.
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
		return nil, errors.New("not one of none, stdout, otlp")
	}
}

// Shutdown writes out the spans that wait and stops the exporter.
func (p *Provider) Shutdown(ctx context.Context) error {
	return errors.Wrap(p.shutdown(ctx), "tracer: shutdown")
}

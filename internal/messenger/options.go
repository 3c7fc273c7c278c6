package messenger

import (
	"crypto/tls"
	"net"

	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

const tracerName = "github.com/heathermux/heathermux/internal/messenger"

// ClientOptions configures a Client. The zero value means plain TCP without
// tracing.
type ClientOptions struct {
	// TLS returns the configuration for each new connection; nil means plain
	// TCP.
	TLS func() *tls.Config
	// Tracer records a span for each call whose context belongs to a trace.
	// Calls in the background belong to none.
	Tracer trace.TracerProvider
}

// ServerOptions configures a Server. Only Listener is required.
type ServerOptions struct {
	// Listener accepts the connections.
	Listener net.Listener
	// TLS is the configuration for all connections; nil means plain TCP.
	TLS *tls.Config
	// Tracer records a span for each call whose caller sent a traceparent.
	Tracer trace.TracerProvider
}

func tracerOf(provider trace.TracerProvider) trace.Tracer {
	if provider == nil {
		provider = noop.NewTracerProvider()
	}
	return provider.Tracer(tracerName)
}

package messenger

import (
	"crypto/tls"
	"net"

	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

const tracerName = "github.com/heathermux/heathermux/internal/messenger"

// ClientOptions sets up a Client. The zero value calls over plain TCP and
// makes no spans.
type ClientOptions struct {
	// TLS returns the configuration of each new connection.
	TLS func() *tls.Config
	// Tracer makes a span for each call that belongs to a trace. Calls in the
	// background belong to none.
	Tracer trace.TracerProvider
}

// ServerOptions sets up a Server. Only Listener is needed.
type ServerOptions struct {
	// Listener accepts the connections.
	Listener net.Listener
	// TLS is the configuration of all connections; nil means plain TCP.
	TLS *tls.Config
	// Tracer makes a span for each call whose caller sent a trace.
	Tracer trace.TracerProvider
}

func tracerOf(provider trace.TracerProvider) trace.Tracer {
	if provider == nil {
		provider = noop.NewTracerProvider()
	}
	return provider.Tracer(tracerName)
}

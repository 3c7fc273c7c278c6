// Package ingress is the HTTP endpoint for callers: requests to upstreams
// under /q/ and tasks under /v1/tasks.
package ingress

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/internal/forwarder"
	"github.com/heathermux/heathermux/internal/wire"
)

// Ingress serves callers on one entry host. Its methods may be called from any
// number of goroutines; make one with New.
type Ingress struct {
	cfg       Config
	tracer    trace.Tracer
	forwarder *forwarder.Forwarder
}

// New returns an ingress that works with the given parts.
func New(cfg Config) (*Ingress, error) {
	if cfg.Self == nil || cfg.View == nil || cfg.Clock == nil || cfg.Logger == nil ||
		cfg.Registry == nil || cfg.Directory == nil || cfg.Allotments == nil {
		return nil, errors.New("ingress: a required part is missing")
	}
	if cfg.Tracer == nil {
		cfg.Tracer = noop.NewTracerProvider()
	}
	return &Ingress{
		cfg:       cfg,
		tracer:    cfg.Tracer.Tracer("github.com/heathermux/heathermux/internal/ingress"),
		forwarder: forwarder.New(),
	}, nil
}

// Handler returns the handler of /q/{queue}/{path...} and /v1/tasks. The
// server should bound the request header to MaxHeader bytes.
func (g *Ingress) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/q/{queue}/{path...}", g.serveRequest)
	return mux
}

// Demands returns the load of each team for the next follow call.
func (g *Ingress) Demands() []*wire.TeamDemand {
	return nil
}

// Drain refuses new work and returns when all accepted work has ended, or with
// the context's error.
func (g *Ingress) Drain(context.Context) error {
	return nil
}

// Close closes the idle connections to upstreams.
func (g *Ingress) Close() {
	g.forwarder.Close()
}

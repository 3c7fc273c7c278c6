// Package ingress implements the HTTP API for callers: it proxies requests to
// upstreams under /q/ and accepts tasks under /v1/tasks and jobs under /v1/jobs.
package ingress

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/heathermux/heathermux/internal/admitter"
	"github.com/heathermux/heathermux/internal/forwarder"
	"github.com/heathermux/heathermux/internal/router"
	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/retrier"
)

// Ingress serves callers on one entry host. It is safe for concurrent use.
// Create one with New.
type Ingress struct {
	cfg       Config
	tracer    trace.Tracer
	forwarder *forwarder.Forwarder
	router    *router.Router[router.FreeSlots]
	admitter  *admitter.Admitter
	// retryPolicies holds the retrier.Policy of each queue, by queue name.
	retryPolicies   sync.Map
	bodyMemory      bodyMemory
	controlRevision atomic.Uint64

	// instance and requestCount make up the IDs of requests. instance is a random
	// UUID of this process, so that IDs do not repeat after a restart.
	instance     string
	requestCount atomic.Uint64
}

// New returns an Ingress with the given configuration, or an error when a
// required field is not set.
func New(cfg Config) (*Ingress, error) {
	if cfg.Self == nil || cfg.View == nil || cfg.Clock == nil || cfg.Logger == nil ||
		cfg.Registry == nil || cfg.Directory == nil || cfg.Allotments == nil {
		return nil, errors.New("ingress: incomplete Config: Self, View, Clock, Logger, Registry, Directory and Allotments are required")
	}
	if cfg.Tracer == nil {
		cfg.Tracer = noop.NewTracerProvider()
	}
	cfg.Limits = cfg.Limits.withDefaults()
	g := &Ingress{
		cfg:       cfg,
		tracer:    cfg.Tracer.Tracer("github.com/heathermux/heathermux/internal/ingress"),
		forwarder: forwarder.New(),
		instance:  uuid.NewString(),
	}
	g.router = router.New(router.Config[router.FreeSlots]{
		Clock:      cfg.Clock,
		DataCentre: cfg.Self.GetDataCentre(),
		Source: upstreamSource{
			cfg:             &g.cfg,
			controlRevision: &g.controlRevision,
		},
		Removed: func(u *wire.Upstream) { g.forwarder.Forget(target(u)) },
	})
	g.admitter = admitter.New(admitter.Config{
		Clock:     cfg.Clock,
		Allotment: cfg.Allotments.Allotment,
		Capacity:  g.router.Capacity,

		MaxWaiting:     cfg.Limits.MaxWaiting,
		MaxTeamWaiting: cfg.Limits.MaxTeamWaiting,
	})
	return g, nil
}

const (
	requestPrefix = "/q/"
	tasksPath     = "/v1/tasks"
	jobsPath      = "/v1/jobs"
)

// Handles reports whether Handler serves a URL path. Use it instead of
// registering Handler with an http.ServeMux, which redirects requests whose path
// has dot segments or double slashes: that path belongs to the upstream and must
// be passed on unchanged.
func Handles(path string) bool {
	return strings.HasPrefix(path, requestPrefix) || withinPath(path, tasksPath) || withinPath(path, jobsPath)
}

// withinPath reports whether path is root or below it.
func withinPath(path, root string) bool { return path == root || strings.HasPrefix(path, root+"/") }

// Handler returns the handler of /q/{queue}/{path...}, /v1/tasks and /v1/jobs.
// The server should accept larger headers than Limits.Header, so that callers
// get problem details for a header that is too large.
func (g *Ingress) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !g.admitter.Enter() {
			w.Header()["Connection"] = []string{"close"}
			g.stoppingProblem(r).write(w)
			return
		}
		defer g.admitter.Leave()
		if strings.HasPrefix(r.URL.Path, requestPrefix) {
			g.serveRequest(w, r)
			return
		}
		if withinPath(r.URL.Path, jobsPath) {
			g.serveJob(w, r)
			return
		}
		g.serveTask(w, r)
	})
}

// Demands returns the load of each team since the last call, to be reported in
// the next follow call. It also admits waiting requests for which an allotment
// or an upstream has become available, so it must be called regularly.
func (g *Ingress) Demands() []*wire.TeamDemand {
	g.admitter.Wake()
	return g.admitter.Demands()
}

// Drain refuses new work as not run and waits until all accepted work has ended.
// It returns an error when ctx ends first.
func (g *Ingress) Drain(ctx context.Context) error {
	return g.admitter.Drain(ctx)
}

// Close closes the idle connections to upstreams.
func (g *Ingress) Close() {
	g.forwarder.Close()
}

// nextID returns an ID for a request that no other request has.
func (g *Ingress) nextID() string {
	return g.instance + "-" + strconv.FormatUint(g.requestCount.Add(1), 36)
}

// retryPolicy returns the retry policy of a queue. Each queue has its own retry
// budget.
func (g *Ingress) retryPolicy(queue string) retrier.Policy {
	if p, ok := g.retryPolicies.Load(queue); ok {
		return p.(retrier.Policy)
	}
	p, _ := g.retryPolicies.LoadOrStore(queue, retrier.Policy{
		Budget: retrier.NewBudget(g.cfg.Clock.Now(), retrier.Options{}),
	})
	return p.(retrier.Policy)
}

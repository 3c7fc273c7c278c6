// Package ingress is the HTTP endpoint for callers: requests to upstreams
// under /q/, tasks under /v1/tasks and jobs under /v1/jobs.
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

// Ingress serves callers on one entry host. Its methods may be called from any
// number of goroutines; make one with New.
type Ingress struct {
	cfg       Config
	tracer    trace.Tracer
	forwarder *forwarder.Forwarder
	router    *router.Router[router.FreeSlots]
	admitter  *admitter.Admitter
	// policies holds a retrier.Policy for each queue.
	policies sync.Map
	bodies   bodyMemory
	revision atomic.Uint64

	// instance and requests together name a request: instance is new with each process.
	instance string
	requests atomic.Uint64
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
		Source: source{
			cfg:      &g.cfg,
			revision: &g.revision,
		},
		Removed: func(u *wire.Upstream) { g.forwarder.Forget(target(u)) },
	})
	g.admitter = admitter.New(admitter.Config{
		Clock:     cfg.Clock,
		Allotment: cfg.Allotments.Allotment,
		Capacity:  g.router.Capacity,

		MaxWaiting:     cfg.Limits.Waiting,
		MaxTeamWaiting: cfg.Limits.TeamWaiting,
	})
	return g, nil
}

const (
	requestPrefix = "/q/"
	tasksPath     = "/v1/tasks"
	jobsPath      = "/v1/jobs"
)

// Handles reports whether a URL path belongs to Handler. The caller asks it
// instead of registering Handler with an http.ServeMux, which would redirect
// requests whose path has dots or double slashes, although the path belongs to
// the upstream and a redirect is no final answer.
func Handles(path string) bool {
	return strings.HasPrefix(path, requestPrefix) || under(path, tasksPath) || under(path, jobsPath)
}

// under reports whether a path is the given one or below it.
func under(path, of string) bool { return path == of || strings.HasPrefix(path, of+"/") }

// Handler returns the handler of /q/{queue}/{path...}, /v1/tasks and /v1/jobs. A server
// that runs it should allow a larger header than MaxHeader, so that callers
// get problem details for one that is too large.
func (g *Ingress) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !g.admitter.Enter() {
			w.Header()["Connection"] = []string{"close"}
			g.stopping(r).write(w)
			return
		}
		defer g.admitter.Leave()
		if strings.HasPrefix(r.URL.Path, requestPrefix) {
			g.serveRequest(w, r)
			return
		}
		if under(r.URL.Path, jobsPath) {
			g.serveJob(w, r)
			return
		}
		g.serveTask(w, r)
	})
}

// Demands returns the load of each team since the last call, for the next
// follow call. Being called regularly, it also admits requests that wait for
// an allotment or an upstream that has come since.
func (g *Ingress) Demands() []*wire.TeamDemand {
	g.admitter.Wake()
	return g.admitter.Demands()
}

// Drain refuses new work as not run and returns when all accepted work has
// ended, or with an error when the context ends first.
func (g *Ingress) Drain(ctx context.Context) error {
	return g.admitter.Drain(ctx)
}

// Close closes the idle connections to upstreams.
func (g *Ingress) Close() {
	g.forwarder.Close()
}

func (g *Ingress) nextID() string {
	return g.instance + "-" + strconv.FormatUint(g.requests.Add(1), 36)
}

// policy returns the retry policy of a queue; each has a budget of its own.
func (g *Ingress) policy(queue string) retrier.Policy {
	if p, ok := g.policies.Load(queue); ok {
		return p.(retrier.Policy)
	}
	p, _ := g.policies.LoadOrStore(queue, retrier.Policy{
		Budget: retrier.NewBudget(g.cfg.Clock.Now(), retrier.Options{}),
	})
	return p.(retrier.Policy)
}

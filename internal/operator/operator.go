// Package operator implements the HTTP API for operators, with which they read
// and change contracts, keys, data centres, pools, hosts and maintenance.
//
// The handler is stateless: it reads the entry host's view of the control state
// and proposes commands to the leader. It is safe for concurrent use, and a client
// may resend a request to any entry host.
package operator

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/heathermux/heathermux/internal/follower"
	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/timer"
)

// ErrNoLeader is returned by Control.Propose if the command was not proposed,
// because no leader is known. After any other error, it is unknown whether the
// command was applied.
var ErrNoLeader = errors.New("operator: no leader is known")

// Control gives access to the control state. Implementations must be safe for
// concurrent use.
type Control interface {
	// View returns the control state as this entry host knows it now.
	View() follower.View
	// Propose proposes the command to the leader and returns its result once it is
	// decided. The error is or wraps ErrNoLeader if the command was certainly not
	// proposed.
	Propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error)
}

// StatusProvider provides the part of the status that is not in the control state.
type StatusProvider interface {
	Status(ctx context.Context) LocalStatus
}

// Config configures the handler. All fields but Timeout are required.
type Config struct {
	Control Control
	Status  StatusProvider
	Clock   timer.Clock
	// Timeout limits the wait for the result of one command; 0 means 5 s.
	Timeout time.Duration
}

type api struct {
	Config
}

// handler handles a request of an authenticated operator, whose key has the ID
// actor. It returns either a value that is encoded as JSON or a problem.
type handler func(r *http.Request, actor string) (any, *Problem)

// New returns the HTTP handler for the operators' paths under /v1/.
func New(cfg Config) http.Handler {
	if cfg.Timeout == 0 {
		cfg.Timeout = 5 * time.Second
	}
	a := &api{
		Config: cfg,
	}
	mux := http.NewServeMux()
	for path, methods := range a.routes() {
		mux.Handle(path, a.operatorsOnly(dispatch(methods)))
	}
	mux.Handle("/", a.operatorsOnly(func(r *http.Request, _ string) (any, *Problem) {
		return nil, newProblem(http.StatusNotFound, "not-found", "there is no "+r.URL.Path)
	}))
	return mux
}

// routes returns the handlers by path and HTTP method.
func (a *api) routes() map[string]map[string]handler {
	get := func(h handler) map[string]handler { return map[string]handler{http.MethodGet: h} }
	post := func(h handler) map[string]handler { return map[string]handler{http.MethodPost: h} }
	both := func(g, p handler) map[string]handler {
		return map[string]handler{
			http.MethodGet:  g,
			http.MethodPost: p,
		}
	}
	return map[string]map[string]handler{
		"/v1/status":               get(a.status),
		"/v1/contracts":            both(a.listContracts, a.applyContract),
		"/v1/contracts/{customer}": get(a.getContract),
		"/v1/keys":                 both(a.listKeys, a.grantKey),
		"/v1/keys/{id}/withdraw":   post(a.withdrawKey),
		"/v1/zones":                get(a.listZones),
		"/v1/zones/{name}/out":     post(a.setZoneState(wire.ServiceState_SERVICE_STATE_OUT)),
		"/v1/zones/{name}/in":      post(a.setZoneState(wire.ServiceState_SERVICE_STATE_IN)),
		"/v1/pools":                get(a.listPools),
		"/v1/pools/{name}/out":     post(a.takePoolOut),
		"/v1/pools/{name}/in":      post(a.takePoolIn),
		"/v1/pools/{name}/drain":   post(a.drainPool),
		"/v1/hosts":                get(a.listHosts),
		"/v1/hosts/{name}/move":    post(a.moveHost),
		"/v1/hosts/{name}/drain":   post(a.drainHost),
		"/v1/hosts/{name}/return":  post(a.returnHost),
		"/v1/maintenance":          both(a.listMaintenance, a.startMaintenance),
	}
}

// dispatch returns a handler that selects one of the given handlers by the HTTP
// method.
func dispatch(methods map[string]handler) handler {
	return func(r *http.Request, actor string) (any, *Problem) {
		if h, ok := methods[r.Method]; ok {
			return h(r, actor)
		}
		return nil, newProblem(http.StatusMethodNotAllowed, "method-not-allowed", r.URL.Path+" can't be used with "+r.Method)
	}
}

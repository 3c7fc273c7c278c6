// Package operator serves the operators' HTTP API: reading and changing
// contracts, keys, data centres, pools, hosts and maintenance.
//
// The handler holds no state of its own. It reads the view of the entry host
// and proposes commands, so any number of requests may be served at once and
// a request may be resent to any entry host.
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

// ErrNoLeader is returned by Control.Propose when the command was not
// proposed, because no leader is known. Any other error leaves it unknown
// whether the command was applied.
var ErrNoLeader = errors.New("operator: no leader is known")

// Control is the control state as the API needs it. Implementations may be
// used from any number of goroutines.
type Control interface {
	// View returns what this entry host knows now.
	View() follower.View
	// Propose returns the result of the command once it is decided. The error
	// is or wraps ErrNoLeader when the command was certainly not proposed.
	Propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error)
}

// StatusProvider tells what the control state doesn't hold.
type StatusProvider interface {
	Status(ctx context.Context) Local
}

// Config has the parts of a handler. All members but Timeout are needed.
type Config struct {
	Control Control
	Status  StatusProvider
	Clock   timer.Clock
	// Timeout bounds the wait for the result of one command; 0 means 5 s.
	Timeout time.Duration
}

type api struct {
	Config
}

// handler answers one request of an authenticated operator with a value to be
// encoded as JSON or with a problem.
type handler func(r *http.Request, actor string) (any, *Problem)

// New returns the handler for all paths under /v1/ that operators use.
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
		"/v1/zones/{name}/out":     post(a.setZone(wire.ServiceState_SERVICE_STATE_OUT)),
		"/v1/zones/{name}/in":      post(a.setZone(wire.ServiceState_SERVICE_STATE_IN)),
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

func dispatch(methods map[string]handler) handler {
	return func(r *http.Request, actor string) (any, *Problem) {
		if h, ok := methods[r.Method]; ok {
			return h(r, actor)
		}
		return nil, newProblem(http.StatusMethodNotAllowed, "method-not-allowed", r.URL.Path+" can't be used with "+r.Method)
	}
}

package operator

import (
	"net/http"
	"strings"

	"github.com/heathermux/heathermux/internal/loader"
	"github.com/heathermux/heathermux/internal/wire"
)

// Host is the state of a host as the API returns it.
type Host struct {
	Name       string `json:"name"`
	DataCentre string `json:"data-centre"`
	Rack       string `json:"rack"`
	Pool       string `json:"pool"`
	// State is "active", "draining" or "maintenance".
	State string `json:"state"`
	// MovingTo is the pool to which the host is moved once it has no more work.
	MovingTo string          `json:"moving-to,omitempty"`
	Capacity loader.Capacity `json:"capacity"`
	Revision uint64          `json:"revision"`
}

// HostList is the response to GET /v1/hosts. It can be filtered with the query
// parameters pool, zone and name.
type HostList struct {
	Revision uint64 `json:"revision"`
	Hosts    []Host `json:"hosts"`
}

// HostMove is the request body of POST /v1/hosts/{name}/move.
type HostMove struct {
	Change
	Pool string `json:"pool"`
}

func (a *api) listHosts(r *http.Request, _ string) (any, *Problem) {
	state := a.Control.View().State
	list := HostList{
		Revision: state.Revision(),
		Hosts:    make([]Host, 0),
	}
	query := r.URL.Query()
	matches := func(parameter, value string) bool {
		return query.Get(parameter) == "" || query.Get(parameter) == value
	}
	for _, h := range state.Hosts() {
		if matches("pool", h.GetPool()) && matches("zone", h.GetDataCentre()) && matches("name", h.GetName()) {
			list.Hosts = append(list.Hosts, hostOf(h))
		}
	}
	return list, nil
}

func hostOf(h *wire.Host) Host {
	return Host{
		Name:       h.GetName(),
		DataCentre: h.GetDataCentre(),
		Rack:       h.GetRack(),
		Pool:       h.GetPool(),
		State:      strings.ToLower(strings.TrimPrefix(h.GetState().String(), "HOST_STATE_")),
		MovingTo:   h.GetMovingTo(),
		Capacity:   loader.CapacityOf(h.GetCapacity()),
		Revision:   h.GetRevision(),
	}
}

func (a *api) moveHost(r *http.Request, actor string) (any, *Problem) {
	var body HostMove
	if problem := decode(r, &body, &body.Change, true); problem != nil {
		return nil, problem
	}
	cmd := body.command(actor)
	cmd.Change = &wire.Command_MoveHost{
		MoveHost: &wire.MoveHost{
			Host: r.PathValue("name"),
			Pool: body.Pool,
		},
	}
	return handlerResult(a.propose(r.Context(), cmd))
}

func (a *api) drainHost(r *http.Request, actor string) (any, *Problem) {
	var body Change
	if problem := decode(r, &body, &body, true); problem != nil {
		return nil, problem
	}
	cmd := body.command(actor)
	cmd.Change = &wire.Command_DrainHost{
		DrainHost: &wire.DrainHost{
			Host: r.PathValue("name"),
		},
	}
	return handlerResult(a.propose(r.Context(), cmd))
}

func (a *api) returnHost(r *http.Request, actor string) (any, *Problem) {
	var body Change
	if problem := decode(r, &body, &body, true); problem != nil {
		return nil, problem
	}
	cmd := body.command(actor)
	cmd.Change = &wire.Command_ReturnHost{
		ReturnHost: &wire.ReturnHost{
			Host: r.PathValue("name"),
		},
	}
	return handlerResult(a.propose(r.Context(), cmd))
}

package operator

import (
	"net/http"
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/wire"
)

// Maintenance is the state of one maintenance roll-out as the API returns it.
type Maintenance struct {
	Wave uint64 `json:"wave"`
	// Pool is the pool under maintenance; empty means all pools.
	Pool      string     `json:"pool,omitempty"`
	Done      bool       `json:"done"`
	StartedAt *time.Time `json:"started-at,omitempty"`
	// HostsDone, HostsDown and HostsWaiting are the numbers of hosts that are
	// already maintained, are granted maintenance now, and still wait for it.
	// They add up to the hosts that the roll-out covers; all are 0 when it is done.
	HostsDone    int    `json:"hosts-done"`
	HostsDown    int    `json:"hosts-down"`
	HostsWaiting int    `json:"hosts-waiting"`
	Revision     uint64 `json:"revision"`
}

// MaintenanceList is the response to GET /v1/maintenance, oldest roll-out first.
type MaintenanceList struct {
	Revision    uint64        `json:"revision"`
	Maintenance []Maintenance `json:"maintenance"`
}

// MaintenanceStart is the request body of POST /v1/maintenance.
type MaintenanceStart struct {
	Change
	// Pool is the pool to maintain; empty means all pools.
	Pool string `json:"pool,omitempty"`
}

func (a *api) listMaintenance(*http.Request, string) (any, *Problem) {
	state := a.Control.View().State
	list := MaintenanceList{
		Revision:    state.Revision(),
		Maintenance: make([]Maintenance, 0),
	}
	for _, m := range state.Maintenances() {
		list.Maintenance = append(list.Maintenance, maintenanceOf(state, m))
	}
	return list, nil
}

// runningMaintenanceOf returns the roll-outs that are not done.
func runningMaintenanceOf(state controller.State) []Maintenance {
	running := make([]Maintenance, 0)
	for _, m := range state.Maintenances() {
		if !m.GetDone() {
			running = append(running, maintenanceOf(state, m))
		}
	}
	return running
}

func maintenanceOf(state controller.State, m *wire.Maintenance) Maintenance {
	summary := Maintenance{
		Wave:      m.GetWave(),
		Pool:      m.GetPool(),
		Done:      m.GetDone(),
		StartedAt: timeOf(m.GetStartedAtUnixNanos()),
		Revision:  m.GetRevision(),
	}
	if m.GetDone() {
		return summary
	}
	for _, h := range state.Hosts() {
		if m.GetPool() != "" && m.GetPool() != h.GetPool() {
			continue
		}
		grant, granted := state.Grant(h.GetName())
		switch {
		case h.GetMaintainedWave() >= m.GetWave():
			summary.HostsDone++
		case granted && grant.GetWave() == m.GetWave():
			summary.HostsDown++
		default:
			summary.HostsWaiting++
		}
	}
	return summary
}

func (a *api) startMaintenance(r *http.Request, actor string) (any, *Problem) {
	var body MaintenanceStart
	if problem := decode(r, &body, &body.Change, false); problem != nil {
		return nil, problem
	}
	cmd := body.command(actor)
	cmd.Change = &wire.Command_StartMaintenance{
		StartMaintenance: &wire.StartMaintenance{
			Pool: body.Pool,
		},
	}
	return handlerResult(a.propose(r.Context(), cmd))
}

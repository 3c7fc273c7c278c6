package operator

import (
	"net/http"
	"strings"
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/wire"
)

// Zone is the state of a data centre as the API returns it.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	// State is "in" or "out".
	State string `json:"state"`
	// ChangedAt is the time of the last change of State; nil if it never changed.
	ChangedAt *time.Time `json:"changed-at,omitempty"`
	// Scheduler is the entry host that schedules the tasks of this data centre;
	// empty if there is none.
	Scheduler string `json:"scheduler,omitempty"`
	Revision  uint64 `json:"revision"`
}

// ZoneList is the response to GET /v1/zones.
type ZoneList struct {
	Revision uint64 `json:"revision"`
	Zones    []Zone `json:"zones"`
}

func stateName(s wire.ServiceState) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "SERVICE_STATE_"))
}

// timeOf converts nanoseconds since 1970 to a time. 0 means no time and gives nil.
func timeOf(unixNanos int64) *time.Time {
	if unixNanos == 0 {
		return nil
	}
	t := time.Unix(0, unixNanos).UTC()
	return &t
}

func zonesOf(state controller.State) []Zone {
	zones := make([]Zone, 0)
	for _, d := range state.DataCentres() {
		zones = append(zones, Zone{
			Name:      d.GetName(),
			Region:    d.GetRegion(),
			State:     stateName(d.GetState()),
			ChangedAt: timeOf(d.GetChangedAtUnixNanos()),
			Scheduler: d.GetScheduler(),
			Revision:  d.GetRevision(),
		})
	}
	return zones
}

func (a *api) listZones(*http.Request, string) (any, *Problem) {
	state := a.Control.View().State
	return ZoneList{
		Revision: state.Revision(),
		Zones:    zonesOf(state),
	}, nil
}

func (a *api) setZoneState(state wire.ServiceState) handler {
	return func(r *http.Request, actor string) (any, *Problem) {
		var body Change
		if problem := decode(r, &body, &body, true); problem != nil {
			return nil, problem
		}
		cmd := body.command(actor)
		cmd.Change = &wire.Command_SetDataCentreState{
			SetDataCentreState: &wire.SetDataCentreState{
				Name:  r.PathValue("name"),
				State: state,
			},
		}
		return handlerResult(a.propose(r.Context(), cmd))
	}
}

package operator

import (
	"net/http"

	"github.com/heathermux/heathermux/internal/loader"
)

// Local is what one entry host knows besides the control state.
type Local struct {
	EntryHost  string `json:"entry-host"`
	DataCentre string `json:"data-centre"`
	// Leader is the entry host that leads the control state; empty if unknown.
	Leader string `json:"leader"`
	// Voters are the present voters.
	Voters []string `json:"voters"`
	// Queues are in the order of their names.
	Queues []QueueStatus `json:"queues,omitempty"`
	// Teams are in the order of their names.
	Teams []TeamStatus `json:"teams,omitempty"`
}

// QueueStatus is the load of one queue on one entry host.
type QueueStatus struct {
	Queue string `json:"queue"`
	// Upstreams that may get new work.
	Upstreams int `json:"upstreams"`
	InFlight  int `json:"in-flight"`
	Waiting   int `json:"waiting"`
}

// TeamStatus is what a team runs and waits for, as far as the entry host knows.
type TeamStatus struct {
	Team    string          `json:"team"`
	Running loader.Capacity `json:"running"`
	Waiting loader.Capacity `json:"waiting"`
}

// EntryHost is one member of the agreed view.
type EntryHost struct {
	Name        string `json:"name"`
	DataCentre  string `json:"data-centre"`
	PeerAddress string `json:"peer-address"`
}

// Status is the answer to GET /v1/status.
type Status struct {
	Local
	Revision uint64 `json:"revision"`
	// LeaseLeft is the rest of the authority lease, such as "1.6s".
	LeaseLeft  string      `json:"lease-left"`
	ViewEpoch  uint64      `json:"view-epoch"`
	EntryHosts []EntryHost `json:"entry-hosts"`
	Zones      []Zone      `json:"zones"`
	Pools      []Pool      `json:"pools"`
}

func (a *api) status(r *http.Request, _ string) (any, *Problem) {
	view := a.Control.View()
	status := Status{
		Local:      a.Status.Status(r.Context()),
		Revision:   view.State.Revision(),
		LeaseLeft:  view.LeaseUntil.Sub(a.Clock.Now()).String(),
		ViewEpoch:  view.State.View().GetEpoch(),
		EntryHosts: make([]EntryHost, 0),
		Zones:      zonesOf(view.State),
		Pools:      poolsOf(view.State),
	}
	for _, m := range view.State.View().GetMembers() {
		status.EntryHosts = append(status.EntryHosts, EntryHost{
			Name:        m.GetName(),
			DataCentre:  m.GetDataCentre(),
			PeerAddress: m.GetPeerAddress(),
		})
	}
	return status, nil
}

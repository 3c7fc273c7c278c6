package operator

import (
	"net/http"
	"time"

	"github.com/heathermux/heathermux/internal/loader"
)

// Local is what one entry host knows besides the control state.
type Local struct {
	EntryHost  string `json:"entry-host"`
	DataCentre string `json:"data-centre"`
	// Leader is the entry host that leads the control state; empty if unknown.
	Leader string `json:"leader"`
	// Voters are the IDs of the present voters on a host that votes, and the
	// names of the initial voters on others.
	Voters []string `json:"voters"`
	// Queues are in the order of their names.
	Queues []QueueStatus `json:"queues,omitempty"`
	// FleetKnown is true on the leader. Only the leader hears from every entry
	// host, so only it fills Teams, SilentSchedulers and Followers.
	FleetKnown bool `json:"fleet-known"`
	// Teams are in the order of their names.
	Teams []TeamStatus `json:"teams,omitempty"`
	// SilentSchedulers are data centres whose scheduler has not reported lately.
	// Teams holds their last known use, or none.
	SilentSchedulers []string `json:"silent-schedulers,omitempty"`
	// Followers are what the leader knows of the entry hosts; Status shows them
	// as part of its entry hosts.
	Followers []Follower `json:"-"`
}

// Follower is an entry host as the leader knows it.
type Follower struct {
	Name string
	// Incarnation of the process that the leader has heard from.
	Incarnation string
	// Revision that the entry host had applied at its last request.
	Revision uint64
	// LeaseLeft is the most that can be left of its authority lease; 0 or less
	// without one.
	LeaseLeft time.Duration
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
	// Leader marks the entry host that leads the control state.
	Leader bool `json:"leader,omitempty"`
	// Revision is the last one that the entry host is known to have applied; nil
	// when this is not known here.
	Revision *uint64 `json:"revision,omitempty"`
	// LeaseLeft is the rest of its authority lease, "0s" without one; empty when
	// this is not known here.
	LeaseLeft string `json:"lease-left,omitempty"`
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
	// UnavailableHosts drain, move or are under maintenance, by name.
	UnavailableHosts []UnavailableHost `json:"unavailable-hosts"`
	// Maintenance holds the roll-outs that are not done, the oldest first.
	Maintenance []Maintenance `json:"maintenance"`
	// TeamLimits are by the names of the teams. They are given for the query
	// teams=true only, because they grow with teams times data centres.
	TeamLimits []TeamLimit `json:"team-limits,omitempty"`
}

func (a *api) status(r *http.Request, _ string) (any, *Problem) {
	view := a.Control.View()
	left := view.LeaseUntil.Sub(a.Clock.Now())
	local := a.Status.Status(r.Context())
	status := Status{
		Local:            local,
		Revision:         view.State.Revision(),
		LeaseLeft:        left.String(),
		ViewEpoch:        view.State.View().GetEpoch(),
		EntryHosts:       entryHostsOf(view.State, local, left),
		Zones:            zonesOf(view.State),
		Pools:            poolsOf(view.State),
		UnavailableHosts: unavailableHostsOf(view.State),
		Maintenance:      runningMaintenanceOf(view.State),
	}
	if r.URL.Query().Get("teams") == "true" {
		status.TeamLimits = teamLimitsOf(view.State)
	}
	return status, nil
}

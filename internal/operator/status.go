package operator

import (
	"net/http"
	"time"

	"github.com/heathermux/heathermux/internal/loader"
)

// LocalStatus is the part of the status that an entry host knows in addition to the
// control state.
type LocalStatus struct {
	EntryHost  string `json:"entry-host"`
	DataCentre string `json:"data-centre"`
	// Leader is the name of the entry host that leads the control state; empty if
	// unknown.
	Leader string `json:"leader"`
	// Voters holds the IDs of the current voters on a host that is a voter, and
	// the names of the initial voters on other hosts.
	Voters []string `json:"voters"`
	// Queues is sorted by name.
	Queues []QueueStatus `json:"queues,omitempty"`
	// FleetKnown is true on the leader. All entry hosts report to the leader, so
	// only there are Teams, SilentSchedulers and Followers set.
	FleetKnown bool `json:"fleet-known"`
	// Teams is sorted by name.
	Teams []TeamStatus `json:"teams,omitempty"`
	// SilentSchedulers holds the data centres whose scheduler has not reported
	// recently. For these, Teams contains the last reported use, if any.
	SilentSchedulers []string `json:"silent-schedulers,omitempty"`
	// Followers holds what the leader knows about the entry hosts. Status returns
	// it as part of EntryHosts.
	Followers []Follower `json:"-"`
}

// Follower is the state of an entry host as the leader knows it.
type Follower struct {
	Name string
	// Incarnation identifies the process that sent the last request.
	Incarnation string
	// Revision is the revision that the entry host had applied at its last
	// request.
	Revision uint64
	// LeaseLeft is the upper bound of the remaining time of its authority lease;
	// 0 or less if it has expired.
	LeaseLeft time.Duration
}

// QueueStatus is the load of one queue on one entry host.
type QueueStatus struct {
	Queue string `json:"queue"`
	// Upstreams is the number of upstreams that may get new work.
	Upstreams int `json:"upstreams"`
	InFlight  int `json:"in-flight"`
	Waiting   int `json:"waiting"`
}

// TeamStatus is the capacity that a team uses and waits for, as far as the entry
// host knows.
type TeamStatus struct {
	Team    string          `json:"team"`
	Running loader.Capacity `json:"running"`
	Waiting loader.Capacity `json:"waiting"`
}

// EntryHost is a member of the current view.
type EntryHost struct {
	Name        string `json:"name"`
	DataCentre  string `json:"data-centre"`
	PeerAddress string `json:"peer-address"`
	// Leader is true for the entry host that leads the control state.
	Leader bool `json:"leader,omitempty"`
	// Revision is the latest revision that the entry host is known to have
	// applied; nil if the answering host does not know it.
	Revision *uint64 `json:"revision,omitempty"`
	// LeaseLeft is the remaining time of its authority lease, "0s" if it has
	// expired; empty if the answering host does not know it.
	LeaseLeft string `json:"lease-left,omitempty"`
}

// Status is the response to GET /v1/status.
type Status struct {
	LocalStatus
	Revision uint64 `json:"revision"`
	// LeaseLeft is the remaining time of the answering host's authority lease,
	// such as "1.6s".
	LeaseLeft  string      `json:"lease-left"`
	ViewEpoch  uint64      `json:"view-epoch"`
	EntryHosts []EntryHost `json:"entry-hosts"`
	Zones      []Zone      `json:"zones"`
	Pools      []Pool      `json:"pools"`
	// UnavailableHosts holds the hosts that are draining, moving or under
	// maintenance, sorted by name.
	UnavailableHosts []UnavailableHost `json:"unavailable-hosts"`
	// Maintenance holds the unfinished roll-outs, oldest first.
	Maintenance []Maintenance `json:"maintenance"`
	// TeamLimits is sorted by team. It is only returned for the query teams=true,
	// because its size is proportional to teams times data centres.
	TeamLimits []TeamLimit `json:"team-limits,omitempty"`
}

func (a *api) status(r *http.Request, _ string) (any, *Problem) {
	view := a.Control.View()
	left := view.LeaseUntil.Sub(a.Clock.Now())
	local := a.Status.Status(r.Context())
	status := Status{
		LocalStatus:      local,
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

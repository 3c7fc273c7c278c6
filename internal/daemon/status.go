package daemon

import (
	"context"
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/loader"
	"github.com/heathermux/heathermux/internal/operator"
	"github.com/heathermux/heathermux/internal/supervisor"
	"github.com/heathermux/heathermux/internal/voter"
	"github.com/heathermux/heathermux/internal/wire"
)

// Status returns what this host knows besides the control state.
func (d *Daemon) Status(context.Context) operator.Local {
	local := operator.Local{
		EntryHost:  d.self.GetName(),
		DataCentre: d.self.GetDataCentre(),
		Leader:     d.follower.Leader().GetName(),
		Voters:     d.opts.Settings.Voters,
	}
	if d.voter != nil {
		local.Voters = d.voter.Voters()
	}
	state := d.follower.View().State
	for _, q := range state.Queues() {
		if q.GetKind() != wire.QueueKind_QUEUE_KIND_REQUESTS {
			continue
		}
		local.Queues = append(local.Queues, operator.QueueStatus{
			Queue:     q.GetName(),
			Upstreams: len(d.directory.Upstreams(q.GetName())),
		})
	}
	if !d.leads() {
		return local
	}
	local.Leader = local.EntryHost
	return AddFleet(local, d.clock.Now(), state, d.voter.Followers())
}

// AddFleet adds what the leader knows from the requests of the entry hosts.
func AddFleet(local operator.Local, now time.Time, state controller.State, followers []voter.FollowerStatus) operator.Local {
	local.FleetKnown = true
	for _, f := range followers {
		local.Followers = append(local.Followers, operator.Follower{
			Name:        f.Member.GetName(),
			Incarnation: f.Member.GetIncarnation(),
			Revision:    f.Confirmed,
			LeaseLeft:   f.LeaseEnd.Sub(now),
		})
	}
	present := supervisor.PresentReports(state, followers)
	var reports []*wire.SchedulerReport
	for _, c := range state.DataCentres() {
		r, ok := present[c.GetName()]
		if !ok || now.Sub(r.At) > supervisor.LossLimit {
			local.SilentSchedulers = append(local.SilentSchedulers, c.GetName())
		}
		reports = append(reports, r.Use)
	}
	local.Teams = teamsOf(state, reports)
	return local
}

// teamsOf adds up what each team runs and waits for in all data centres.
func teamsOf(state controller.State, reports []*wire.SchedulerReport) []operator.TeamStatus {
	running := make(map[string]controller.Amount)
	waiting := make(map[string]controller.Amount)
	for _, report := range reports {
		for _, use := range report.GetTeams() {
			team := use.GetTeam()
			running[team] = running[team].Plus(controller.AmountOf(use.GetRunning()))
			waiting[team] = waiting[team].Plus(controller.AmountOf(use.GetWaiting()))
		}
	}
	var teams []operator.TeamStatus
	for _, ref := range state.Teams() {
		name := ref.Team.GetName()
		teams = append(teams, operator.TeamStatus{
			Team:    name,
			Running: loader.CapacityOf(running[name].Wire()),
			Waiting: loader.CapacityOf(waiting[name].Wire()),
		})
	}
	return teams
}

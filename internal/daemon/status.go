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

// Status returns the local part of the status answer: the leader, the voters and
// the upstreams of each queue as this host knows them. On the leader it includes
// the status of the fleet.
func (d *Daemon) Status(context.Context) operator.LocalStatus {
	local := operator.LocalStatus{
		EntryHost:  d.self.GetName(),
		DataCentre: d.self.GetDataCentre(),
		Leader:     d.follower.NextVoter().GetName(),
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
	if !d.isLeader() {
		return local
	}
	local.Leader = local.EntryHost
	return AddFleetStatus(local, d.clock.Now(), state, d.voter.Followers())
}

// AddFleetStatus adds what only the leader knows, from the follow requests of the
// entry hosts: revisions, leases and the reports of the schedulers. A data centre
// without a report within supervisor.LossLimit is listed as silent.
func AddFleetStatus(local operator.LocalStatus, now time.Time, state controller.State, followers []voter.FollowerStatus) operator.LocalStatus {
	local.FleetKnown = true
	for _, f := range followers {
		local.Followers = append(local.Followers, operator.Follower{
			Name:        f.Member.GetName(),
			Incarnation: f.Member.GetIncarnation(),
			Revision:    f.Confirmed,
			LeaseLeft:   f.LeaseEnd.Sub(now),
		})
	}
	present := supervisor.CurrentReports(state, followers)
	var reports []*wire.SchedulerReport
	for _, c := range state.DataCentres() {
		r, ok := present[c.GetName()]
		if !ok || now.Sub(r.At) > supervisor.EntryHostTimeout {
			local.SilentSchedulers = append(local.SilentSchedulers, c.GetName())
		}
		reports = append(reports, r.Use)
	}
	local.Teams = teamStatuses(state, reports)
	return local
}

// teamStatuses returns the running and waiting resources of each team, summed
// over all data centres.
func teamStatuses(state controller.State, reports []*wire.SchedulerReport) []operator.TeamStatus {
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

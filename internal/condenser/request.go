package condenser

import (
	"github.com/heathermux/heathermux/internal/wire"
)

// ordered returns a request with all lists by name and without the fields that
// tell how it is sent.
func ordered(r *wire.FollowRequest) *wire.FollowRequest {
	return &wire.FollowRequest{
		Member:   r.GetMember(),
		Revision: r.GetRevision(),
		Demands:  sorted(r.GetDemands(), (*wire.TeamDemand).GetTeam),
		Report:   orderedReport(r.GetReport()),
	}
}

func orderedReport(r *wire.SchedulerReport) *wire.SchedulerReport {
	if r == nil {
		return nil
	}
	return &wire.SchedulerReport{
		DataCentre: r.GetDataCentre(),
		Epoch:      r.GetEpoch(),
		Teams:      sorted(r.GetTeams(), (*wire.TeamUse).GetTeam),
		Hosts:      sorted(r.GetHosts(), (*wire.HostUse).GetHost),
		Pools:      sorted(r.GetPools(), (*wire.PoolUse).GetPool),
	}
}

// condense returns the difference of an ordered request to an earlier one.
func condense(base, now *wire.FollowRequest) *wire.FollowRequest {
	dropped := &wire.FollowDropped{}
	r := &wire.FollowRequest{
		Member:   now.GetMember(),
		Revision: now.GetRevision(),
		Dropped:  dropped,
	}
	r.Demands, dropped.Demands = differ(base.GetDemands(), now.GetDemands(), (*wire.TeamDemand).GetTeam)
	if now.GetReport() != nil {
		r.Report = condenseReport(base.GetReport(), now.GetReport(), dropped)
	}
	return r
}

func condenseReport(base, now *wire.SchedulerReport, dropped *wire.FollowDropped) *wire.SchedulerReport {
	r := &wire.SchedulerReport{
		DataCentre: now.GetDataCentre(),
		Epoch:      now.GetEpoch(),
	}
	r.Teams, dropped.Teams = differ(base.GetTeams(), now.GetTeams(), (*wire.TeamUse).GetTeam)
	r.Hosts, dropped.Hosts = differ(base.GetHosts(), now.GetHosts(), (*wire.HostUse).GetHost)
	r.Pools, dropped.Pools = differ(base.GetPools(), now.GetPools(), (*wire.PoolUse).GetPool)
	return r
}

// expand undoes condense.
func expand(base, r *wire.FollowRequest) *wire.FollowRequest {
	d := r.GetDropped()
	whole := &wire.FollowRequest{
		Member:   r.GetMember(),
		Revision: r.GetRevision(),
		Demands:  merge(base.GetDemands(), r.GetDemands(), d.GetDemands(), (*wire.TeamDemand).GetTeam),
	}
	if report := r.GetReport(); report != nil {
		former := base.GetReport()
		whole.Report = &wire.SchedulerReport{
			DataCentre: report.GetDataCentre(),
			Epoch:      report.GetEpoch(),
			Teams:      merge(former.GetTeams(), report.GetTeams(), d.GetTeams(), (*wire.TeamUse).GetTeam),
			Hosts:      merge(former.GetHosts(), report.GetHosts(), d.GetHosts(), (*wire.HostUse).GetHost),
			Pools:      merge(former.GetPools(), report.GetPools(), d.GetPools(), (*wire.PoolUse).GetPool),
		}
	}
	return whole
}

package deltaencoder

import (
	"github.com/heathermux/heathermux/internal/wire"
)

// normalize returns a request with all lists sorted by name and without the
// fields of the delta encoding.
func normalize(r *wire.FollowRequest) *wire.FollowRequest {
	return &wire.FollowRequest{
		Member:   r.GetMember(),
		Revision: r.GetRevision(),
		Demands:  sorted(r.GetDemands(), (*wire.TeamDemand).GetTeam),
		Report:   normalizeReport(r.GetReport()),
	}
}

func normalizeReport(r *wire.SchedulerReport) *wire.SchedulerReport {
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

// diffRequest returns the delta from the base request to a newer one; both must
// be normalized.
func diffRequest(base, now *wire.FollowRequest) *wire.FollowRequest {
	dropped := &wire.FollowDropped{}
	r := &wire.FollowRequest{
		Member:   now.GetMember(),
		Revision: now.GetRevision(),
		Dropped:  dropped,
	}
	r.Demands, dropped.Demands = diff(base.GetDemands(), now.GetDemands(), (*wire.TeamDemand).GetTeam)
	if now.GetReport() != nil {
		r.Report = diffReport(base.GetReport(), now.GetReport(), dropped)
	}
	return r
}

func diffReport(base, now *wire.SchedulerReport, dropped *wire.FollowDropped) *wire.SchedulerReport {
	r := &wire.SchedulerReport{
		DataCentre: now.GetDataCentre(),
		Epoch:      now.GetEpoch(),
	}
	r.Teams, dropped.Teams = diff(base.GetTeams(), now.GetTeams(), (*wire.TeamUse).GetTeam)
	r.Hosts, dropped.Hosts = diff(base.GetHosts(), now.GetHosts(), (*wire.HostUse).GetHost)
	r.Pools, dropped.Pools = diff(base.GetPools(), now.GetPools(), (*wire.PoolUse).GetPool)
	return r
}

// applyRequestDiff is the inverse of diffRequest.
func applyRequestDiff(base, r *wire.FollowRequest) *wire.FollowRequest {
	d := r.GetDropped()
	full := &wire.FollowRequest{
		Member:   r.GetMember(),
		Revision: r.GetRevision(),
		Demands:  applyDiff(base.GetDemands(), r.GetDemands(), d.GetDemands(), (*wire.TeamDemand).GetTeam),
	}
	if report := r.GetReport(); report != nil {
		former := base.GetReport()
		full.Report = &wire.SchedulerReport{
			DataCentre: report.GetDataCentre(),
			Epoch:      report.GetEpoch(),
			Teams:      applyDiff(former.GetTeams(), report.GetTeams(), d.GetTeams(), (*wire.TeamUse).GetTeam),
			Hosts:      applyDiff(former.GetHosts(), report.GetHosts(), d.GetHosts(), (*wire.HostUse).GetHost),
			Pools:      applyDiff(former.GetPools(), report.GetPools(), d.GetPools(), (*wire.PoolUse).GetPool),
		}
	}
	return full
}

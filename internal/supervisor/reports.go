package supervisor

import (
	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/planner"
	"github.com/heathermux/heathermux/internal/voter"
)

// CurrentReports returns, by data centre, the latest report of its current
// scheduler. Reports of former schedulers are left out, because these no longer
// know which tasks are started.
func CurrentReports(s controller.State, followers []voter.FollowerStatus) map[string]planner.Report {
	reports := make(map[string]planner.Report)
	for _, f := range followers {
		d, ok := s.DataCentre(f.Report.GetDataCentre())
		if f.Report == nil || !ok || d.GetScheduler() != f.Member.GetName() || d.GetSchedulerEpoch() != f.Report.GetEpoch() {
			continue
		}
		reports[d.GetName()] = planner.Report{
			At:              f.LastContact,
			AppliedRevision: f.Confirmed,
			Use:             f.Report,
		}
	}
	return reports
}

package measurer

import (
	"context"
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/follower"
	"github.com/heathermux/heathermux/internal/planner"
	"github.com/heathermux/heathermux/internal/supervisor"
	"github.com/heathermux/heathermux/internal/voter"
	"github.com/heathermux/heathermux/internal/wire"
)

const (
	roleLeader = "leader with supervisor and planner"

	// Decisions per second on allotments and on plans. They repeat the intervals
	// of supervisor and planner, which are not exported.
	allotmentRate = 1
	planRate      = 0.5
)

func leaderProbes() []probe {
	return []probe{
		{
			role:  roleLeader,
			name:  "plan with a maintenance of every pool under way",
			axis:  "hosts",
			sizes: []int{700, 2200, 4400, 6600},
			metrics: []metric{
				{
					name:   "processor time",
					unit:   cpuTime,
					target: targetHosts,
					rate:   planRate,
					bound:  maxCorePercent,
				},
			},
			measure: measurePlan,
		},
		{
			role:  roleLeader,
			name:  "decision on the allotments of 11 data centres",
			axis:  "teams",
			sizes: []int{10, 35, 71, 142},
			metrics: []metric{
				{
					name:   "processor time",
					unit:   cpuTime,
					target: targetTeams,
					rate:   allotmentRate,
					bound:  maxCorePercent,
				},
			},
			measure: measureAllotments,
		},
	}
}

// stateWithReports returns a state in which every data centre has a scheduler, and
// the leader's status of the entry hosts that run these schedulers.
func stateWithReports(s fleetSize, now time.Time) (controller.State, []voter.FollowerStatus) {
	snap := s.snapshot()
	for i, d := range snap.GetDataCentres() {
		d.Scheduler = s.member(i).GetName()
	}
	state := controller.FromSnapshot(snap)
	var followers []voter.FollowerStatus
	for i := range s.dataCentres {
		followers = append(followers, voter.FollowerStatus{
			Member:      s.member(i),
			LastContact: now,
			Confirmed:   state.Revision(),
			LeaseEnd:    now.Add(follower.InForceBound),
			Report:      s.schedulerReport(i),
		})
	}
	return state, followers
}

// schedulerReport returns the report of a scheduler whose hosts all run tasks.
func (s fleetSize) schedulerReport(dataCentre int) *wire.SchedulerReport {
	r := &wire.SchedulerReport{
		DataCentre: dataCentreName(dataCentre),
		Epoch:      1,
	}
	for i := dataCentre; i < s.hosts; i += s.dataCentres {
		r.Hosts = append(r.Hosts, &wire.HostUse{
			Host:        hostName(i),
			PoolEpoch:   1,
			Running:     fraction(workerSize(), 80, 100),
			Tasks:       tasksPerWorker,
			Alive:       true,
			Incarnation: incarnation(hostName(i)),
		})
	}
	for i := range s.teams {
		r.Teams = append(r.Teams, &wire.TeamUse{
			Team:    teamName(i),
			Running: fraction(s.limit(), 1, 2*s.dataCentres),
			Waiting: fraction(s.limit(), 1, 4*s.dataCentres),
		})
	}
	for i := range s.pools {
		r.Pools = append(r.Pools, &wire.PoolUse{
			Pool:    poolName(i),
			Running: fraction(workerSize(), s.hosts, 2*s.pools*s.dataCentres),
			Waiting: fraction(workerSize(), s.hosts, 4*s.pools*s.dataCentres),
		})
	}
	return r
}

func measurePlan(_ context.Context, n int) ([]float64, error) {
	s := targetFleet()
	s.hosts = n
	now := startTime
	state, followers := stateWithReports(s, now)
	state, _ = controller.Apply(state, &wire.Command{
		OperationId: "maintenance",
		Change: &wire.Command_StartMaintenance{
			StartMaintenance: &wire.StartMaintenance{},
		},
	})
	reports := make(map[string]planner.Report)
	for _, f := range followers {
		reports[f.Report.GetDataCentre()] = planner.Report{
			At:              f.LastContact,
			AppliedRevision: f.Confirmed,
			Use:             f.Report,
		}
	}
	p := planner.New(planner.Options{})
	return []float64{cpuPerCall(func() {
		now = now.Add(2 * time.Second)
		p.Plan(planner.Input{
			Now:     now,
			State:   state,
			Reports: reports,
		})
	})}, nil
}

func measureAllotments(_ context.Context, n int) ([]float64, error) {
	s := targetFleet()
	s.hosts = 2200
	s.teams = n
	now := startTime
	state, followers := stateWithReports(s, now)
	a := supervisor.NewAllotmentDecider()
	return []float64{cpuPerCall(func() {
		now = now.Add(time.Second)
		for i := range followers {
			followers[i].LastContact = now
		}
		a.Decide(now, state, followers)
	})}, nil
}

package daemon_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/daemon"
	"github.com/heathermux/heathermux/internal/operator"
	"github.com/heathermux/heathermux/internal/voter"
	"github.com/heathermux/heathermux/internal/wire"
)

// stateWithTwoSchedulers returns a state with one team and two data centres that
// have a scheduler each.
func stateWithTwoSchedulers() controller.State {
	return controller.FromSnapshot(&wire.Snapshot{
		Contracts: []*wire.Contract{
			{
				Customer: "c",
				Teams: []*wire.Team{
					{
						Name: "t",
					},
				},
			},
		},
		DataCentres: []*wire.DataCentre{
			{
				Name:           "east",
				Scheduler:      "e-1",
				SchedulerEpoch: 2,
			},
			{
				Name:           "west",
				Scheduler:      "e-2",
				SchedulerEpoch: 2,
			},
		},
	})
}

// Guards against resource use that is counted twice or dropped in the operators'
// status: the report of a former scheduler is ignored, and a late report of the
// present scheduler counts, with its data centre listed as silent.
func TestAddFleetStatus(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	report := func(host, dataCentre string, epoch uint64, age time.Duration) voter.FollowerStatus {
		return voter.FollowerStatus{
			Member: &wire.Member{
				Name: host,
			},
			LastContact: now.Add(-age),
			Report: &wire.SchedulerReport{
				DataCentre: dataCentre,
				Epoch:      epoch,
				Teams: []*wire.TeamUse{
					{
						Team: "t",
						Running: &wire.Resources{
							MilliCores: 1000,
						},
						Waiting: &wire.Resources{
							MilliCores: 500,
						},
					},
				},
			},
		}
	}
	tests := map[string]struct {
		followers []voter.FollowerStatus
		running   int64
		silent    []string
	}{
		"both report": {
			followers: []voter.FollowerStatus{report("e-1", "east", 2, 0), report("e-2", "west", 2, 0)},
			running:   2000,
		},
		"former epoch": {
			followers: []voter.FollowerStatus{report("e-1", "east", 1, 0), report("e-2", "west", 2, 0)},
			running:   1000,
			silent:    []string{"east"},
		},
		"former scheduler": {
			followers: []voter.FollowerStatus{report("e-1", "east", 2, 0), report("e-1", "west", 2, 0)},
			running:   1000,
			silent:    []string{"west"},
		},
		"late report": {
			followers: []voter.FollowerStatus{report("e-1", "east", 2, time.Minute), report("e-2", "west", 2, 0)},
			running:   2000,
			silent:    []string{"east"},
		},
		"no report": {
			silent: []string{"east", "west"},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			local := daemon.AddFleetStatus(operator.LocalStatus{}, now, stateWithTwoSchedulers(), tt.followers)
			is.True(local.FleetKnown)
			is.Equal(len(local.Followers), len(tt.followers))
			is.Equal(local.SilentSchedulers, tt.silent)
			is.Equal(int64(local.Teams[0].Running.Processors), tt.running)
			is.Equal(int64(local.Teams[0].Waiting.Processors), tt.running/2)
		})
	}
}

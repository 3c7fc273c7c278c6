package operator_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/operator"
	"github.com/heathermux/heathermux/internal/wire"
)

// apply applies commands to the control state; each must be accepted.
func (s *server) apply(t *testing.T, cmds ...*wire.Command) {
	t.Helper()
	for _, cmd := range cmds {
		result, err := s.control.Propose(t.Context(), cmd)
		if err != nil || result.GetOutcome() != wire.Outcome_OUTCOME_ACCEPTED {
			t.Fatal(result, err)
		}
	}
}

func (s *server) status(t *testing.T) operator.Status {
	t.Helper()
	var status operator.Status
	s.call(t, operatorKey, "GET", "/v1/status?teams=true", "", &status)
	return status
}

// maintain runs the whole maintenance of one host, from the grant to the return.
func (s *server) maintain(t *testing.T, host string) {
	t.Helper()
	if _, granted := s.control.View().State.Grant(host); !granted {
		s.apply(t, grant(host))
	}
	s.apply(t, &wire.Command{
		OperationId: "confirm-" + host,
		Change: &wire.Command_ConfirmEmpty{
			ConfirmEmpty: &wire.ConfirmEmpty{
				Host:      host,
				PoolEpoch: 1,
			},
		},
	})
	h, _ := s.control.View().State.Host(host)
	s.apply(t, &wire.Command{
		OperationId:      "return-" + host,
		ExpectedRevision: h.GetRevision(),
		Change: &wire.Command_ReturnHost{
			ReturnHost: &wire.ReturnHost{
				Host: host,
			},
		},
	})
}

func grant(host string) *wire.Command {
	return &wire.Command{
		OperationId: "grant-" + host,
		Change: &wire.Command_GrantMaintenance{
			GrantMaintenance: &wire.GrantMaintenance{
				Hosts: []string{host},
			},
		},
	}
}

// The status must show hosts that are unavailable and maintenance that is running,
// and no longer show them afterwards.
func TestStatusShowsMaintenance(t *testing.T) {
	is := is.New(t)
	s := newServer(t)
	var answer operator.Answer
	s.call(t, operatorKey, "POST", "/v1/maintenance", `{"operation-id": "start", "pool": "issue"}`, &answer)
	s.apply(t, grant("w-callao-1"))
	s.call(t, operatorKey, "POST", "/v1/hosts/w-callao-6/move", `{"operation-id": "move", "revision": 1, "pool": "redeem"}`, &answer)
	status := s.status(t)
	is.Equal(len(status.UnavailableHosts), 2)
	granted, moving := status.UnavailableHosts[0], status.UnavailableHosts[1]
	is.Equal(granted.Name, "w-callao-1")
	is.Equal(granted.Wave, uint64(1))
	is.True(granted.GrantedAt.Equal(startTime))
	is.Equal(moving.MovingTo, "redeem")
	is.Equal(moving.Wave, uint64(0))
	is.Equal(status.Maintenance[0].HostsDown, 1)
	is.Equal(status.Maintenance[0].HostsWaiting, 8)

	for _, h := range s.control.View().State.Hosts() {
		if h.GetPool() == "issue" {
			s.maintain(t, h.GetName())
		}
	}
	status = s.status(t)
	is.Equal(len(status.UnavailableHosts), 1) // the move goes on
	is.Equal(len(status.Maintenance), 0)
}

// The status must show the allotments with the right team and the limits of the
// contract.
func TestStatusShowsTeamLimits(t *testing.T) {
	is := is.New(t)
	s := newServer(t)
	team := s.control.View().State.Teams()[1]
	amount := controller.Amount{
		MilliCores: 1500,
	}
	s.apply(t, &wire.Command{
		OperationId: "allot",
		Change: &wire.Command_SetAllotments{
			SetAllotments: &wire.SetAllotments{
				Allotments: []*wire.Allotment{
					{
						Team:       team.Team.GetName(),
						DataCentre: "callao",
						Amount:     amount.Wire(),
						Target:     &wire.Resources{},
					},
				},
			},
		},
	})
	var withoutTeams operator.Status
	s.call(t, operatorKey, "GET", "/v1/status", "", &withoutTeams)
	is.Equal(len(withoutTeams.TeamLimits), 0)
	limits := s.status(t).TeamLimits
	is.Equal(len(limits), 6)
	is.Equal(len(limits[0].Allotments), 0)
	is.Equal(limits[1].Team, team.Team.GetName())
	is.Equal(limits[1].Customer, team.Customer)
	is.Equal(limits[1].Share, team.Team.GetShare())
	is.Equal(int64(limits[1].Limit.Processors), team.Team.GetLimit().GetMilliCores())
	is.Equal(int64(limits[1].Allotments[0].Amount.Processors), int64(1500))
	is.Equal(int64(limits[1].Allotments[0].Target.Processors), int64(0))
}

// leaderStatus is a StatusProvider that returns the given followers as a leader
// does; nil makes the entry host no leader.
type leaderStatus []operator.Follower

func (l leaderStatus) Status(context.Context) operator.LocalStatus {
	return operator.LocalStatus{
		EntryHost:  "q-1",
		Leader:     "q-1",
		FleetKnown: l != nil,
		Followers:  l,
	}
}

// The status must not show the revision and lease of a former process as those of
// the current one. What the answering host does not know must be omitted.
func TestStatusOfEntryHosts(t *testing.T) {
	follower := operator.Follower{
		Name:        "q-2",
		Incarnation: "new",
		Revision:    1,
		LeaseLeft:   -time.Second,
	}
	former := follower
	former.Incarnation = "old"
	tests := map[string]struct {
		followers leaderStatus
		known     bool
	}{
		"not the leader": {},
		"leader": {
			followers: leaderStatus{former, follower},
			known:     true,
		},
		"former process": {
			followers: leaderStatus{former},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newServerWith(t, tt.followers)
			s.apply(t, &wire.Command{
				OperationId: "view",
				Change: &wire.Command_SetView{
					SetView: &wire.SetView{
						View: &wire.View{
							Epoch: s.control.View().State.View().GetEpoch() + 1,
							Members: []*wire.Member{
								{
									Name:        "q-1",
									Incarnation: "a",
								},
								{
									Name:        "q-2",
									Incarnation: "new",
								},
							},
						},
					},
				},
			})
			status := s.status(t)
			is.Equal(status.FleetKnown, tt.followers != nil)
			self, other := status.EntryHosts[0], status.EntryHosts[1]
			is.True(self.Leader && !other.Leader)
			is.Equal(*self.Revision, uint64(2)) // each entry host knows its own
			is.Equal(self.LeaseLeft, "1s")
			is.Equal(other.Revision != nil, tt.known)
			is.Equal(other.LeaseLeft == "0s", tt.known)
			is.Equal(other.LeaseLeft == "", !tt.known)
		})
	}
}

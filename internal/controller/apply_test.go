package controller_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/wire"
)

func mustApply(t *testing.T, s controller.State, cmd *wire.Command) controller.State {
	t.Helper()
	next, result := controller.Apply(s, cmd)
	if result.GetOutcome() != wire.Outcome_OUTCOME_ACCEPTED {
		t.Fatalf("command %s was not accepted: %s", cmd.GetOperationId(), result.GetReason())
	}
	return next
}

// newTestState returns a state with two data centres, two pools and one host in
// each data centre, both in the pool tokens.
func newTestState(t *testing.T) controller.State {
	t.Helper()
	snap := &wire.Snapshot{
		DataCentres: []*wire.DataCentre{
			{
				Name: "dc-a",
			},
			{
				Name: "dc-b",
			},
		},
		Pools: []*wire.Pool{
			{
				Name:               "tokens",
				AvailabilityBudget: 1,
				MaxHosts:           10,
			},
			{
				Name:               "spare",
				AvailabilityBudget: 10,
				MaxHosts:           10,
				Spare:              true,
			},
		},
		Queues: []*wire.Queue{
			{
				Name: "redeem",
				Kind: wire.QueueKind_QUEUE_KIND_REQUESTS,
				Pool: "tokens",
			},
		},
		Contracts: []*wire.Contract{
			{
				Customer: "qhapaq",
				Teams: []*wire.Team{
					{
						Name:  "markets",
						Share: 1,
						Limit: &wire.Resources{
							MilliCores: 1000,
						},
						Queues: []string{"redeem"},
					},
				},
			},
		},
		Hosts: []*wire.Host{
			{
				Name:       "h-1",
				DataCentre: "dc-a",
				Pool:       "tokens",
			},
			{
				Name:       "h-2",
				DataCentre: "dc-b",
				Pool:       "tokens",
			},
		},
	}
	return mustApply(t, controller.State{}, &wire.Command{
		OperationId: "boot",
		Change: &wire.Command_Bootstrap{
			Bootstrap: &wire.Bootstrap{
				Snapshot: snap,
			},
		},
	})
}

func setDataCentreStateCommand(operation string, revision uint64, state wire.ServiceState) *wire.Command {
	return &wire.Command{
		OperationId:      operation,
		ExpectedRevision: revision,
		Actor:            operation + "-actor",
		Change: &wire.Command_SetDataCentreState{
			SetDataCentreState: &wire.SetDataCentreState{
				Name:  "dc-a",
				State: state,
			},
		},
	}
}

// Two commands made from the same revision must not both succeed.
func TestEqualRevisionsConflict(t *testing.T) {
	is := is.New(t)
	s := newTestState(t)
	d, _ := s.DataCentre("dc-a")
	s = mustApply(t, s, setDataCentreStateCommand("first", d.GetRevision(), wire.ServiceState_SERVICE_STATE_OUT))
	next, result := controller.Apply(s, setDataCentreStateCommand("second", d.GetRevision(), wire.ServiceState_SERVICE_STATE_IN))
	is.Equal(result.GetOutcome(), wire.Outcome_OUTCOME_CONFLICT)
	is.Equal(result.GetWinner(), "first")
	is.Equal(next.Revision(), s.Revision())
}

// A retry after a lost response must get the first result, also when the state
// was saved to a snapshot and restored in between.
func TestResendGetsFirstResult(t *testing.T) {
	is := is.New(t)
	s := newTestState(t)
	d, _ := s.DataCentre("dc-a")
	cmd := setDataCentreStateCommand("out", d.GetRevision(), wire.ServiceState_SERVICE_STATE_OUT)
	s, first := controller.Apply(s, cmd)
	data, err := s.Encode()
	is.NoErr(err)
	restored, err := controller.Decode(data)
	is.NoErr(err)
	after, second := controller.Apply(restored, cmd)
	is.Equal(second.GetOutcome(), first.GetOutcome())
	is.Equal(second.GetRevision(), first.GetRevision())
	is.Equal(after.Revision(), restored.Revision())
	again, err := after.Encode()
	is.NoErr(err)
	is.Equal(again, data)
}

// Invariants one-pool and availability-budget: a host changes its pool only after
// it is confirmed empty, and planned unavailability never exceeds the budget.
func TestMoveKeepsOnePoolAndBudget(t *testing.T) {
	is := is.New(t)
	s := newTestState(t)
	h, _ := s.Host("h-1")
	other, _ := s.Host("h-2")
	s = mustApply(t, s, &wire.Command{
		OperationId:      "move",
		ExpectedRevision: h.GetRevision(),
		Change: &wire.Command_MoveHost{
			MoveHost: &wire.MoveHost{
				Host: "h-1",
				Pool: "spare",
			},
		},
	})
	moving, _ := s.Host("h-1")
	is.Equal(moving.GetPool(), "tokens")
	_, result := controller.Apply(s, &wire.Command{
		OperationId:      "drain",
		ExpectedRevision: other.GetRevision(),
		Change: &wire.Command_DrainHost{
			DrainHost: &wire.DrainHost{
				Host: "h-2",
			},
		},
	})
	is.Equal(result.GetOutcome(), wire.Outcome_OUTCOME_REJECTED)
	confirm := func(operation string, epoch uint64) *wire.Command {
		return &wire.Command{
			OperationId: operation,
			Change: &wire.Command_ConfirmEmpty{
				ConfirmEmpty: &wire.ConfirmEmpty{
					Host:      "h-1",
					PoolEpoch: epoch,
				},
			},
		}
	}
	_, result = controller.Apply(s, confirm("stale", moving.GetPoolEpoch()+1))
	is.Equal(result.GetOutcome(), wire.Outcome_OUTCOME_REJECTED)
	s = mustApply(t, s, confirm("empty", moving.GetPoolEpoch()))
	moved, _ := s.Host("h-1")
	is.Equal(moved.GetPool(), "spare")
	is.True(moved.GetPoolEpoch() > moving.GetPoolEpoch())
	is.Equal(s.Unavailable("tokens"), int64(0))
}

// Invariant upper-limit: the allotments of a team never add up to more than its limit.
func TestAllotmentsStayWithinLimit(t *testing.T) {
	is := is.New(t)
	s := newTestState(t)
	setAllotment := func(operation, dataCentre string, milliCores int64) *wire.Command {
		return &wire.Command{
			OperationId: operation,
			Change: &wire.Command_SetAllotments{
				SetAllotments: &wire.SetAllotments{
					Allotments: []*wire.Allotment{
						{
							Team:       "markets",
							DataCentre: dataCentre,
							Amount: &wire.Resources{
								MilliCores: milliCores,
							},
							Target: &wire.Resources{
								MilliCores: milliCores,
							},
						},
					},
				},
			},
		}
	}
	s = mustApply(t, s, setAllotment("a", "dc-a", 600))
	_, result := controller.Apply(s, setAllotment("b-too-much", "dc-b", 401))
	is.Equal(result.GetOutcome(), wire.Outcome_OUTCOME_REJECTED)
	s = mustApply(t, s, setAllotment("b", "dc-b", 400))
	is.Equal(s.Allotted("markets").MilliCores, int64(1000))
}

// A late or repeated grant must not make a withdrawn key valid again.
func TestWithdrawnKeyStaysWithdrawn(t *testing.T) {
	is := is.New(t)
	s := newTestState(t)
	grant := &wire.GrantKey{
		Key: &wire.KeyRecord{
			Id:   "k-1",
			Team: "markets",
			Hash: make([]byte, 32),
			Role: wire.Role_ROLE_SUBMITTER,
		},
	}
	s = mustApply(t, s, &wire.Command{
		OperationId: "grant",
		Change: &wire.Command_GrantKey{
			GrantKey: grant,
		},
	})
	k, ok := s.KeyByHash(make([]byte, 32))
	is.True(ok)
	s = mustApply(t, s, &wire.Command{
		OperationId:      "withdraw",
		ExpectedRevision: k.GetRevision(),
		Change: &wire.Command_WithdrawKey{
			WithdrawKey: &wire.WithdrawKey{
				Id: "k-1",
			},
		},
	})
	_, ok = s.KeyByHash(make([]byte, 32))
	is.True(!ok)
	_, result := controller.Apply(s, &wire.Command{
		OperationId: "grant-late",
		Change: &wire.Command_GrantKey{
			GrantKey: grant,
		},
	})
	is.Equal(result.GetOutcome(), wire.Outcome_OUTCOME_REJECTED)
}

package controller_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/wire"
)

// drawCommand draws a random command, which the state may accept or reject.
func drawCommand(t *rapid.T, s controller.State, n int) *wire.Command {
	host := rapid.SampledFrom([]string{"h-1", "h-2", "h-3"}).Draw(t, "host")
	pool := rapid.SampledFrom([]string{"tokens", "spare"}).Draw(t, "pool")
	h, _ := s.Host(host)
	cmd := &wire.Command{
		OperationId:      fmt.Sprint(rapid.IntRange(0, n).Draw(t, "operation")),
		ExpectedRevision: h.GetRevision(),
	}
	switch rapid.IntRange(0, 7).Draw(t, "kind") {
	case 0:
		cmd.Change = &wire.Command_MoveHost{
			MoveHost: &wire.MoveHost{
				Host: host,
				Pool: pool,
			},
		}
	case 1:
		cmd.Change = &wire.Command_ConfirmEmpty{
			ConfirmEmpty: &wire.ConfirmEmpty{
				Host:      host,
				PoolEpoch: h.GetPoolEpoch(),
			},
		}
	case 2:
		cmd.Change = &wire.Command_ReturnHost{
			ReturnHost: &wire.ReturnHost{
				Host: host,
			},
		}
	case 3:
		cmd.Change = &wire.Command_StartMaintenance{
			StartMaintenance: &wire.StartMaintenance{
				Pool: pool,
			},
		}
	case 4:
		cmd.Change = &wire.Command_GrantMaintenance{
			GrantMaintenance: &wire.GrantMaintenance{
				Hosts: []string{host},
			},
		}
	case 5:
		amount := rapid.Int64Range(0, 1200).Draw(t, "amount")
		cmd.Change = &wire.Command_SetAllotments{
			SetAllotments: &wire.SetAllotments{
				Allotments: []*wire.Allotment{
					{
						Team:       "markets",
						DataCentre: rapid.SampledFrom([]string{"dc-a", "dc-b"}).Draw(t, "data centre"),
						Amount: &wire.Resources{
							MilliCores: amount,
						},
						Target: &wire.Resources{
							MilliCores: amount,
						},
					},
				},
			},
		}
	case 6:
		cmd.Change = &wire.Command_RemoveHost{
			RemoveHost: &wire.RemoveHost{
				Host: host,
			},
		}
	default:
		cmd.Change = &wire.Command_AddHosts{
			AddHosts: &wire.AddHosts{
				Hosts: []*wire.Host{
					{
						Name:       host,
						Pool:       pool,
						DataCentre: "dc-a",
					},
				},
			},
		}
	}
	return cmd
}

// checkInvariants fails the test if the state breaks an invariant that must hold
// at every revision.
func checkInvariants(t *rapid.T, s controller.State) {
	unavailable := make(map[string]int64)
	for _, h := range s.Hosts() {
		if h.GetState() != wire.HostState_HOST_STATE_ACTIVE {
			unavailable[h.GetPool()]++
		}
	}
	for _, p := range s.Pools() {
		if unavailable[p.GetName()] != s.Unavailable(p.GetName()) {
			t.Fatalf("pool %s: %d hosts unavailable, %d counted", p.GetName(), unavailable[p.GetName()], s.Unavailable(p.GetName()))
		}
		if unavailable[p.GetName()] > p.GetAvailabilityBudget() {
			t.Fatalf("pool %s: %d hosts unavailable", p.GetName(), unavailable[p.GetName()])
		}
	}
	sum := int64(0)
	for _, a := range s.Allotments() {
		sum += a.GetAmount().GetMilliCores()
	}
	if sum > 1000 || sum != s.Allotted("markets").MilliCores {
		t.Fatalf("allotments add up to %d, %d counted", sum, s.Allotted("markets").MilliCores)
	}
	for _, g := range s.Grants() {
		if h, ok := s.Host(g.GetHost()); !ok || h.GetState() == wire.HostState_HOST_STATE_ACTIVE {
			t.Fatalf("host %s has a grant and is in service", g.GetHost())
		}
	}
}

// No sequence of commands may break the invariants availability-budget,
// one-pool, upper-limit and in-force. A retry changes nothing, and a replica that
// is restored from a snapshot before each command must reach the same results
// and states as one that is not.
func TestAnySequenceOfCommands(t *testing.T) {
	start := newTestState(t)
	rapid.Check(t, func(t *rapid.T) {
		s, replica := start, start
		for n := range rapid.IntRange(1, 60).Draw(t, "commands") {
			cmd := drawCommand(t, s, n)
			before := s.Revision()
			_, seen := s.Operation(cmd.GetOperationId())
			var first, second *wire.Result
			s, first = controller.Apply(s, cmd)
			replica, second = controller.Apply(controller.FromSnapshot(replica.Snapshot()), cmd)
			if !proto.Equal(first, second) {
				t.Fatalf("replica restored from a snapshot returned another result: %v and %v", first, second)
			}
			if !proto.Equal(s.Snapshot(), replica.Snapshot()) {
				t.Fatal("replica restored from a snapshot reached another state")
			}
			if seen && s.Revision() != before {
				t.Fatal("a retry of a recorded operation changed the state")
			}
			checkInvariants(t, s)
		}
	})
}

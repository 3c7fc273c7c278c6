package controller

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/wire"
)

// transition is the outcome of one command, before Apply records its revision
// and operation. The state is set only if the command was accepted.
type transition struct {
	state State
	// object names the changed object, such as "host/h-1".
	object string
	result *wire.Result
}

func rejected(format string, args ...any) transition {
	return transition{
		result: &wire.Result{
			Outcome: wire.Outcome_OUTCOME_REJECTED,
			Reason:  fmt.Sprintf(format, args...),
		},
	}
}

func accepted(s State, object string) transition {
	return transition{
		state:  s,
		object: object,
		result: &wire.Result{
			Outcome: wire.Outcome_OUTCOME_ACCEPTED,
		},
	}
}

// Apply returns the state after cmd and the result of cmd. A command whose
// operation ID is already recorded changes nothing and gets the recorded result.
// Only an accepted command increments the revision. Conflicts and rejections are
// recorded too, so that a retry never turns one into an accepted change.
func Apply(s State, cmd *wire.Command) (State, *wire.Result) {
	if cmd.GetOperationId() == "" {
		return s, &wire.Result{
			Outcome:  wire.Outcome_OUTCOME_REJECTED,
			Revision: s.revision,
			Reason:   "operation-id is missing",
		}
	}
	if first, ok := s.Operation(cmd.GetOperationId()); ok {
		return s, first
	}
	// The handlers see the new revision and set it on the objects they change.
	next := s
	next.revision++
	t := next.change(cmd)
	if t.result.GetOutcome() != wire.Outcome_OUTCOME_ACCEPTED {
		t.result.Revision = s.revision
		return s.WithOperation(cmd.GetOperationId(), t.result), t.result
	}
	t.result.Revision = t.state.revision
	t.state = t.state.withLastChange(t.object, cmd)
	return t.state.WithOperation(cmd.GetOperationId(), t.result), t.result
}

func (s State) change(cmd *wire.Command) transition {
	switch c := cmd.GetChange().(type) {
	case *wire.Command_ApplyContract:
		return s.applyContract(cmd, c.ApplyContract.GetContract())
	case *wire.Command_GrantKey:
		return s.grantKey(c.GrantKey.GetKey())
	case *wire.Command_WithdrawKey:
		return s.withdrawKey(cmd, c.WithdrawKey.GetId())
	case *wire.Command_DefineQueue:
		return s.defineQueue(cmd, c.DefineQueue.GetQueue())
	case *wire.Command_DefineDataCentre:
		return s.defineDataCentre(cmd, c.DefineDataCentre.GetDataCentre())
	case *wire.Command_SetDataCentreState:
		return s.setDataCentreState(cmd, c.SetDataCentreState)
	case *wire.Command_DefinePool:
		return s.definePool(cmd, c.DefinePool.GetPool())
	case *wire.Command_SetPoolState:
		return s.setPoolState(cmd, c.SetPoolState)
	case *wire.Command_AddHosts:
		return s.addHosts(c.AddHosts.GetHosts())
	case *wire.Command_MoveHost:
		return s.moveHost(cmd, c.MoveHost)
	case *wire.Command_DrainHost:
		return s.drainHost(cmd, c.DrainHost.GetHost())
	case *wire.Command_ConfirmEmpty:
		return s.confirmEmpty(c.ConfirmEmpty)
	case *wire.Command_ReturnHost:
		return s.returnHost(cmd, c.ReturnHost.GetHost())
	case *wire.Command_RemoveHost:
		return s.removeHost(cmd, c.RemoveHost.GetHost())
	case *wire.Command_StartMaintenance:
		return s.startMaintenance(cmd, c.StartMaintenance.GetPool())
	case *wire.Command_GrantMaintenance:
		return s.grantMaintenance(cmd, c.GrantMaintenance.GetHosts())
	case *wire.Command_SetAllotments:
		return s.setAllotments(c.SetAllotments.GetAllotments())
	case *wire.Command_AssignScheduler:
		return s.assignScheduler(c.AssignScheduler)
	case *wire.Command_SetView:
		return s.setView(c.SetView.GetView())
	case *wire.Command_Bootstrap:
		return s.bootstrap(c.Bootstrap.GetSnapshot())
	default:
		return rejected("the command names no change")
	}
}

// checkRevision reports whether the object still has the revision that the
// command expects; if not, it returns a conflict. An object that does not exist
// yet has revision 0.
func (s State) checkRevision(cmd *wire.Command, object string, revision uint64) (transition, bool) {
	if cmd.GetExpectedRevision() == revision {
		return transition{}, true
	}
	winner, _ := s.lastChanges.Get(object)
	return transition{
		result: &wire.Result{
			Outcome: wire.Outcome_OUTCOME_CONFLICT,
			Reason: fmt.Sprintf("%s is at revision %d, the command was made from revision %d; operation %q by %q won",
				object, revision, cmd.GetExpectedRevision(), winner.GetOperationId(), winner.GetActor()),
			Winner: winner.GetOperationId(),
		},
	}, false
}

// clone returns a deep copy of a message, which may be changed until it is
// stored in a state.
func clone[M proto.Message](m M) M {
	return proto.CloneOf(m)
}

package controller

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/wire"
)

// verdict is what one command leads to, before revision and operation are recorded.
type verdict struct {
	state State
	// object is the changed object, such as "host/h-1".
	object string
	result *wire.Result
}

func rejected(format string, args ...any) verdict {
	return verdict{
		result: &wire.Result{
			Outcome: wire.Outcome_OUTCOME_REJECTED,
			Reason:  fmt.Sprintf(format, args...),
		},
	}
}

func accepted(s State, object string) verdict {
	return verdict{
		state:  s,
		object: object,
		result: &wire.Result{
			Outcome: wire.Outcome_OUTCOME_ACCEPTED,
		},
	}
}

// Apply returns the state after cmd and the result of cmd. A command whose
// operation ID is remembered changes nothing and gets the first result. Only
// an accepted command raises the revision; conflicts and rejections are
// remembered too, so that a resend never turns one into an accepted change.
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
	// The new revision is visible to the handlers, which stamp it on objects.
	next := s
	next.revision++
	v := next.change(cmd)
	if v.result.GetOutcome() != wire.Outcome_OUTCOME_ACCEPTED {
		v.result.Revision = s.revision
		return s.WithOperation(cmd.GetOperationId(), v.result), v.result
	}
	v.result.Revision = v.state.revision
	v.state = v.state.withLastChange(v.object, cmd)
	return v.state.WithOperation(cmd.GetOperationId(), v.result), v.result
}

func (s State) change(cmd *wire.Command) verdict {
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

// checkRevision returns a conflict when the object has changed since the
// revision that the command was made from. A new object has revision 0.
func (s State) checkRevision(cmd *wire.Command, object string, revision uint64) (verdict, bool) {
	if cmd.GetExpectedRevision() == revision {
		return verdict{}, true
	}
	winner, _ := s.lastChanges.Get(object)
	return verdict{
		result: &wire.Result{
			Outcome: wire.Outcome_OUTCOME_CONFLICT,
			Reason: fmt.Sprintf("%s is at revision %d, the command was made from revision %d; operation %q by %q won",
				object, revision, cmd.GetExpectedRevision(), winner.GetOperationId(), winner.GetActor()),
			Winner: winner.GetOperationId(),
		},
	}, false
}

// clone copies a message so that it can be changed before it enters a state.
func clone[M proto.Message](m M) M {
	return proto.CloneOf(m)
}

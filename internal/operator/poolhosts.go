package operator

import (
	"net/http"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/wire"
)

// hostStep makes the command of one host within a change of its pool. The
// operation ID is derived from that of the pool's change, so that a resend
// repeats no step.
func hostStep(change Change, actor string, h *wire.Host) *wire.Command {
	revision := h.GetRevision()
	step := change
	step.OperationID = change.OperationID + "/" + h.GetName()
	step.Revision = &revision
	return step.command(actor)
}

// drainHosts drains active hosts of the pool in the order of their names until
// the availability budget refuses one.
func (a *api) drainHosts(r *http.Request, change Change, actor string, answer *Answer) (*Answer, *Problem) {
	state := a.Control.View().State
	pool, _ := state.Pool(r.PathValue("name"))
	left := pool.GetAvailabilityBudget() - state.Unavailable(pool.GetName())
	for _, h := range state.Hosts() {
		if h.GetPool() != pool.GetName() {
			continue
		}
		if h.GetState() != wire.HostState_HOST_STATE_ACTIVE {
			answer.addEarlier(state, change, h)
			continue
		}
		if left < 1 {
			answer.HostsLeft++
			continue
		}
		left--
		cmd := hostStep(change, actor, h)
		cmd.Change = &wire.Command_DrainHost{
			DrainHost: &wire.DrainHost{
				Host: h.GetName(),
			},
		}
		if problem := a.stepHost(r, cmd, h, answer); problem != nil {
			return nil, problem
		}
	}
	return answer, nil
}

// addEarlier adds a host that an earlier attempt of the same operation drained.
func (answer *Answer) addEarlier(state controller.State, change Change, h *wire.Host) {
	first, ok := state.Operation(hostStep(change, "", h).GetOperationId())
	if ok && first.GetOutcome() == wire.Outcome_OUTCOME_ACCEPTED {
		answer.Hosts = append(answer.Hosts, h.GetName())
		answer.Revision = max(answer.Revision, first.GetRevision())
	}
}

// returnHosts returns the hosts of the pool that an operator drained. Hosts
// under a maintenance grant or a move are left to the planner.
func (a *api) returnHosts(r *http.Request, change Change, actor string, answer *Answer) (*Answer, *Problem) {
	state := a.Control.View().State
	for _, h := range state.Hosts() {
		_, granted := state.Grant(h.GetName())
		busy := granted || h.GetMovingTo() != "" || h.GetState() == wire.HostState_HOST_STATE_ACTIVE
		if h.GetPool() != r.PathValue("name") || busy {
			continue
		}
		cmd := hostStep(change, actor, h)
		cmd.Change = &wire.Command_ReturnHost{
			ReturnHost: &wire.ReturnHost{
				Host: h.GetName(),
			},
		}
		if problem := a.stepHost(r, cmd, h, answer); problem != nil {
			return nil, problem
		}
	}
	return answer, nil
}

// stepHost proposes the step of one host. A host that another change reached
// first is counted as left; a lost leader ends the change with a problem.
func (a *api) stepHost(r *http.Request, cmd *wire.Command, h *wire.Host, answer *Answer) *Problem {
	step, problem := a.propose(r.Context(), cmd)
	switch {
	case problem == nil:
		answer.Hosts = append(answer.Hosts, h.GetName())
		answer.Revision = max(answer.Revision, step.Revision)
		if step.InForceAt.After(answer.InForceAt) {
			answer.InForceAt = step.InForceAt
		}
		return nil
	case problem.Status == http.StatusConflict || problem.Status == http.StatusUnprocessableEntity:
		answer.HostsLeft++
		return nil
	default:
		problem.OperationID = answer.OperationID
		problem.ThisAttempt = Unknown
		problem.Detail = "the pool was changed, some of its hosts were not: " + problem.Detail
		return problem
	}
}

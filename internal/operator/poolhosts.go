package operator

import (
	"net/http"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/wire"
)

// hostCommand returns the command for one host within a change of its pool. Its
// operation ID is derived from that of the pool's change, so that a resent change
// is not applied twice to the same host.
func hostCommand(change Change, actor string, h *wire.Host) *wire.Command {
	revision := h.GetRevision()
	hostChange := change
	hostChange.OperationID = change.OperationID + "/" + h.GetName()
	hostChange.Revision = &revision
	return hostChange.command(actor)
}

// drainHosts starts to drain active hosts of the pool, in the order of their
// names, as far as the availability budget allows. The other ones are counted in
// HostsLeft.
func (a *api) drainHosts(r *http.Request, change Change, actor string, answer *Answer) (*Answer, *Problem) {
	state := a.Control.View().State
	pool, _ := state.Pool(r.PathValue("name"))
	budgetLeft := pool.GetAvailabilityBudget() - state.Unavailable(pool.GetName())
	for _, h := range state.Hosts() {
		if h.GetPool() != pool.GetName() {
			continue
		}
		if h.GetState() != wire.HostState_HOST_STATE_ACTIVE {
			answer.addDrainedEarlier(state, change, h)
			continue
		}
		if budgetLeft < 1 {
			answer.HostsLeft++
			continue
		}
		budgetLeft--
		cmd := hostCommand(change, actor, h)
		cmd.Change = &wire.Command_DrainHost{
			DrainHost: &wire.DrainHost{
				Host: h.GetName(),
			},
		}
		if problem := a.proposeForHost(r, cmd, h, answer); problem != nil {
			return nil, problem
		}
	}
	return answer, nil
}

// addDrainedEarlier adds the host to the answer if an earlier attempt of the same
// operation started to drain it.
func (answer *Answer) addDrainedEarlier(state controller.State, change Change, h *wire.Host) {
	result, ok := state.Operation(hostCommand(change, "", h).GetOperationId())
	if ok && result.GetOutcome() == wire.Outcome_OUTCOME_ACCEPTED {
		answer.Hosts = append(answer.Hosts, h.GetName())
		answer.Revision = max(answer.Revision, result.GetRevision())
	}
}

// returnHosts returns those hosts of the pool to service that an operator drained.
// Hosts with a maintenance grant or in a move are left to the planner.
func (a *api) returnHosts(r *http.Request, change Change, actor string, answer *Answer) (*Answer, *Problem) {
	state := a.Control.View().State
	for _, h := range state.Hosts() {
		_, granted := state.Grant(h.GetName())
		busy := granted || h.GetMovingTo() != "" || h.GetState() == wire.HostState_HOST_STATE_ACTIVE
		if h.GetPool() != r.PathValue("name") || busy {
			continue
		}
		cmd := hostCommand(change, actor, h)
		cmd.Change = &wire.Command_ReturnHost{
			ReturnHost: &wire.ReturnHost{
				Host: h.GetName(),
			},
		}
		if problem := a.proposeForHost(r, cmd, h, answer); problem != nil {
			return nil, problem
		}
	}
	return answer, nil
}

// proposeForHost proposes the command for one host and adds the result to the
// answer. A host whose command is refused, such as after a concurrent change, is
// counted in HostsLeft. Any other failure ends the change with a problem.
func (a *api) proposeForHost(r *http.Request, cmd *wire.Command, h *wire.Host, answer *Answer) *Problem {
	hostAnswer, problem := a.propose(r.Context(), cmd)
	switch {
	case problem == nil:
		answer.Hosts = append(answer.Hosts, h.GetName())
		answer.Revision = max(answer.Revision, hostAnswer.Revision)
		if hostAnswer.InForceAt.After(answer.InForceAt) {
			answer.InForceAt = hostAnswer.InForceAt
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

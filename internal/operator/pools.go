package operator

import (
	"net/http"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/wire"
)

// Pool is the state of a pool as the API returns it.
type Pool struct {
	Name string `json:"name"`
	// State is "in" or "out".
	State string `json:"state"`
	// Hosts is the number of hosts in the pool. Unavailable is the number of those
	// that are draining or under maintenance.
	Hosts       int64 `json:"hosts"`
	Unavailable int64 `json:"unavailable"`
	// AvailabilityBudget is the number of hosts that may be unavailable at once.
	AvailabilityBudget int64 `json:"availability-budget"`
	MinHosts           int64 `json:"min-hosts"`
	MaxHosts           int64 `json:"max-hosts"`
	Spare              bool  `json:"spare"`
	// Favour is "shares" or "cost".
	Favour   string `json:"favour"`
	Revision uint64 `json:"revision"`
}

// PoolList is the response to GET /v1/pools.
type PoolList struct {
	Revision uint64 `json:"revision"`
	Pools    []Pool `json:"pools"`
}

// PoolReturn is the request body of POST /v1/pools/{name}/in.
type PoolReturn struct {
	Change
	// ReturnHosts is set to also return the hosts that an operator drained.
	ReturnHosts bool `json:"return-hosts,omitempty"`
}

func poolsOf(state controller.State) []Pool {
	hostCounts := make(map[string]int64)
	for _, h := range state.Hosts() {
		hostCounts[h.GetPool()]++
	}
	pools := make([]Pool, 0)
	for _, p := range state.Pools() {
		favour := "shares"
		if p.GetPolicy() == wire.PlanPolicy_PLAN_POLICY_FAVOUR_COST {
			favour = "cost"
		}
		pools = append(pools, Pool{
			Name:               p.GetName(),
			State:              stateName(p.GetState()),
			Hosts:              hostCounts[p.GetName()],
			Unavailable:        state.Unavailable(p.GetName()),
			AvailabilityBudget: p.GetAvailabilityBudget(),
			MinHosts:           p.GetMinHosts(),
			MaxHosts:           p.GetMaxHosts(),
			Spare:              p.GetSpare(),
			Favour:             favour,
			Revision:           p.GetRevision(),
		})
	}
	return pools
}

func (a *api) listPools(*http.Request, string) (any, *Problem) {
	state := a.Control.View().State
	return PoolList{
		Revision: state.Revision(),
		Pools:    poolsOf(state),
	}, nil
}

func (a *api) setPoolState(r *http.Request, change Change, actor string, state wire.ServiceState) (*Answer, *Problem) {
	cmd := change.command(actor)
	cmd.Change = &wire.Command_SetPoolState{
		SetPoolState: &wire.SetPoolState{
			Name:  r.PathValue("name"),
			State: state,
		},
	}
	return a.propose(r.Context(), cmd)
}

func (a *api) takePoolOut(r *http.Request, actor string) (any, *Problem) {
	var body Change
	if problem := decode(r, &body, &body, true); problem != nil {
		return nil, problem
	}
	return handlerResult(a.setPoolState(r, body, actor, wire.ServiceState_SERVICE_STATE_OUT))
}

func (a *api) takePoolIn(r *http.Request, actor string) (any, *Problem) {
	var body PoolReturn
	if problem := decode(r, &body, &body.Change, true); problem != nil {
		return nil, problem
	}
	answer, problem := a.setPoolState(r, body.Change, actor, wire.ServiceState_SERVICE_STATE_IN)
	if problem != nil || !body.ReturnHosts {
		return handlerResult(answer, problem)
	}
	return handlerResult(a.returnHosts(r, body.Change, actor, answer))
}

// drainPool takes the pool out of service and starts to drain as many of its hosts
// as its availability budget allows.
func (a *api) drainPool(r *http.Request, actor string) (any, *Problem) {
	var body Change
	if problem := decode(r, &body, &body, true); problem != nil {
		return nil, problem
	}
	answer, problem := a.setPoolState(r, body, actor, wire.ServiceState_SERVICE_STATE_OUT)
	if problem != nil {
		return nil, problem
	}
	return handlerResult(a.drainHosts(r, body, actor, answer))
}

package operator

import (
	"net/http"

	"github.com/heathermux/heathermux/internal/loader"
	"github.com/heathermux/heathermux/internal/wire"
)

// ContractList is the response to GET /v1/contracts.
type ContractList struct {
	Revision  uint64                `json:"revision"`
	Contracts []loader.ContractFile `json:"contracts"`
}

// ContractChange is the request body of POST /v1/contracts.
type ContractChange struct {
	Change
	Contract loader.Contract `json:"contract"`
}

func contractOf(c *wire.Contract) loader.ContractFile {
	return loader.ContractFile{
		Revision: int64(c.GetRevision()),
		Contract: loader.ContractOf(c),
	}
}

func (a *api) listContracts(*http.Request, string) (any, *Problem) {
	state := a.Control.View().State
	list := ContractList{
		Revision:  state.Revision(),
		Contracts: make([]loader.ContractFile, 0),
	}
	for _, c := range state.Contracts() {
		list.Contracts = append(list.Contracts, contractOf(c))
	}
	return list, nil
}

func (a *api) getContract(r *http.Request, _ string) (any, *Problem) {
	customer := r.PathValue("customer")
	c, ok := a.Control.View().State.Contract(customer)
	if !ok {
		return nil, newProblem(http.StatusNotFound, "not-found", "there is no contract of "+customer)
	}
	return contractOf(c), nil
}

func (a *api) applyContract(r *http.Request, actor string) (any, *Problem) {
	var body ContractChange
	if problem := decode(r, &body, &body.Change, true); problem != nil {
		return nil, problem
	}
	if err := loader.CheckContract(body.Contract); err != nil {
		return nil, newProblem(http.StatusUnprocessableEntity, "rejected", err.Error())
	}
	cmd := body.command(actor)
	cmd.Change = &wire.Command_ApplyContract{
		ApplyContract: &wire.ApplyContract{
			Contract: body.Contract.Wire(),
		},
	}
	return handlerResult(a.propose(r.Context(), cmd))
}

// handlerResult converts the result of propose to that of a handler. It avoids a
// nil *Answer in the interface value, which would not equal nil.
func handlerResult(answer *Answer, problem *Problem) (any, *Problem) {
	if problem != nil {
		return nil, problem
	}
	return answer, nil
}

package operator

import (
	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/loader"
)

// TeamLimit is what the contract of a team allows and how its limit is split.
type TeamLimit struct {
	Team     string `json:"team"`
	Customer string `json:"customer"`
	// Share is the weight of the team when the fleet is full.
	Share int64 `json:"share"`
	// Limit is the most that the team may run at once, fleet-wide.
	Limit loader.Capacity `json:"limit"`
	// Allotments are by data centre; one without an allotment is left out.
	Allotments []TeamAllotment `json:"allotments"`
}

// TeamAllotment is the part of a team's limit that one data centre may run.
type TeamAllotment struct {
	DataCentre string          `json:"data-centre"`
	Amount     loader.Capacity `json:"amount"`
	// Target is below Amount while the data centre is asked to shrink.
	Target loader.Capacity `json:"target"`
}

func teamLimitsOf(state controller.State) []TeamLimit {
	allotments := make(map[string][]TeamAllotment)
	for _, a := range state.Allotments() {
		allotments[a.GetTeam()] = append(allotments[a.GetTeam()], TeamAllotment{
			DataCentre: a.GetDataCentre(),
			Amount:     loader.CapacityOf(a.GetAmount()),
			Target:     loader.CapacityOf(a.GetTarget()),
		})
	}
	limits := make([]TeamLimit, 0)
	for _, ref := range state.Teams() {
		name := ref.Team.GetName()
		limits = append(limits, TeamLimit{
			Team:       name,
			Customer:   ref.Customer,
			Share:      ref.Team.GetShare(),
			Limit:      loader.CapacityOf(ref.Team.GetLimit()),
			Allotments: append(make([]TeamAllotment, 0), allotments[name]...),
		})
	}
	return limits
}

package operator

import (
	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/loader"
)

// TeamLimit is the limit of a team's contract and its distribution over the data
// centres.
type TeamLimit struct {
	Team     string `json:"team"`
	Customer string `json:"customer"`
	// Share is the relative weight of the team when the fleet is full.
	Share int64 `json:"share"`
	// Limit is the capacity that the team may use at the same time, fleet-wide.
	Limit loader.Capacity `json:"limit"`
	// Allotments holds the allotment of each data centre that has one.
	Allotments []TeamAllotment `json:"allotments"`
}

// TeamAllotment is the part of a team's limit that is assigned to one data centre.
type TeamAllotment struct {
	DataCentre string          `json:"data-centre"`
	Amount     loader.Capacity `json:"amount"`
	// Target is the amount to which the data centre is asked to reduce; it is then
	// below Amount.
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

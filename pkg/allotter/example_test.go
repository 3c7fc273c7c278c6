package allotter_test

import (
	"fmt"

	"github.com/heathermux/heathermux/pkg/allotter"
)

// Divides a limit of ten cores between two data centres, one of which has most
// of the demand.
func Example() {
	holders := []allotter.Holder{
		{
			Name: "lima",
			Demand: allotter.Vector{
				MilliCores: 9000,
			},
			MayGrow: true,
		},
		{
			Name: "callao",
			Demand: allotter.Vector{
				MilliCores: 1000,
			},
			MayGrow: true,
		},
	}
	limit := allotter.Vector{
		MilliCores: 10_000,
	}
	for _, change := range allotter.Allot(limit, holders, allotter.ByDemand{}) {
		fmt.Println(change.Name, change.Amount.MilliCores)
	}
	// Output:
	// lima 8999
	// callao 998
}

package allotter_test

import (
	"fmt"

	"github.com/heathermux/heathermux/pkg/allotter"
)

// A limit of ten cores is divided between two data centres, one of which has
// most of the work.
func Example() {
	holders := []allotter.Holder{
		{
			Name: "lima",
			Demand: allotter.Vector{
				MilliCores: 9000,
			},
			Open: true,
		},
		{
			Name: "callao",
			Demand: allotter.Vector{
				MilliCores: 1000,
			},
			Open: true,
		},
	}
	limit := allotter.Vector{
		MilliCores: 10_000,
	}
	for _, m := range allotter.Allot(limit, holders, allotter.ByDemand{}) {
		fmt.Println(m.Name, m.Amount.MilliCores)
	}
	// Output:
	// lima 8999
	// callao 998
}

package jobscheduler

import "github.com/heathermux/heathermux/internal/controller"

// withinLimits reports whether no resource of the amount exceeds its limit; a
// limit of 0 means none.
func withinLimits(amount, limits controller.Amount) bool {
	return (limits.MilliCores == 0 || amount.MilliCores <= limits.MilliCores) &&
		(limits.MemoryBytes == 0 || amount.MemoryBytes <= limits.MemoryBytes) &&
		(limits.Accelerators == 0 || amount.Accelerators <= limits.Accelerators)
}

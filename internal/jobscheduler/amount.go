package jobscheduler

import "github.com/heathermux/heathermux/internal/controller"

// under reports whether a is no more than the limits of b; 0 is no limit.
func under(a, b controller.Amount) bool {
	return (b.MilliCores == 0 || a.MilliCores <= b.MilliCores) &&
		(b.MemoryBytes == 0 || a.MemoryBytes <= b.MemoryBytes) &&
		(b.Accelerators == 0 || a.Accelerators <= b.Accelerators)
}

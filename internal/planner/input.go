// Package planner makes capacity and maintenance decisions: which hosts are
// drained, moved between pools, put into maintenance and returned to service.
//
// It runs on the leader of the control state. Its decisions are commands. The
// control state machine checks each of them against the availability budget
// again, so a wrong or outdated decision cannot exceed the budget.
package planner

import (
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/wire"
)

// Input is the information for one call of Plan.
type Input struct {
	// Now is read from the leader's monotonic clock.
	Now time.Time
	// State is the latest control state.
	State controller.State
	// Reports holds the latest report of each data centre's current scheduler, by
	// data centre.
	Reports map[string]Report
}

// Report is a scheduler's report with the time and the control revision that it
// is based on.
type Report struct {
	// At is the time at which the report arrived.
	At time.Time
	// AppliedRevision is the latest control revision that the scheduler had applied.
	AppliedRevision uint64
	// Use is the report itself.
	Use *wire.SchedulerReport
}

// Package planner decides on capacity and maintenance: which hosts drain,
// move between pools, go into maintenance and come back.
//
// It runs on the leader of the control state. Its decisions are commands; the
// control state machine checks each against the availability budget again, so
// a planner that is wrong or late can't break it.
package planner

import (
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/wire"
)

// Input is what the planner knows at one moment.
type Input struct {
	// Now is read from the leader's monotonic clock.
	Now time.Time
	// State is the newest control state.
	State controller.State
	// Reports are the newest reports by data centre, from the present scheduler only.
	Reports map[string]Report
}

// Report is one scheduler's report and how far it can be relied on.
type Report struct {
	// At is when the report arrived.
	At time.Time
	// Confirmed is the control revision that the scheduler had applied.
	Confirmed uint64
	// Use is the report itself.
	Use *wire.SchedulerReport
}

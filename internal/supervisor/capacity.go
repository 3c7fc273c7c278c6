package supervisor

import (
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/planner"
	"github.com/heathermux/heathermux/internal/voter"
	"github.com/heathermux/heathermux/internal/wire"
)

// planInterval is the minimum time between two plans. Drains and moves take
// several seconds, and computing a plan for a fleet of the target size takes some
// tens of milliseconds.
const planInterval = 2 * time.Second

// CapacityDecider is a Decider that uses the planner to decide on hosts, pools and
// maintenance. It is created by NewCapacity.
type CapacityDecider struct {
	planner  *planner.Planner
	lastPlan time.Time
}

// NewCapacityDecider returns a decider that applies the policies of the pools.
func NewCapacityDecider() *CapacityDecider {
	return &CapacityDecider{
		planner: planner.New(planner.Options{}),
	}
}

// Reset resets the planner. It is called at the start of a term.
func (c *CapacityDecider) Reset() { c.planner.Reset() }

// Decide returns the planner's commands, at most once every planInterval.
func (c *CapacityDecider) Decide(now time.Time, s controller.State, followers []voter.FollowerStatus) []*wire.Command {
	if now.Sub(c.lastPlan) < planInterval {
		return nil
	}
	c.lastPlan = now
	return c.planner.Plan(planner.Input{
		Now:     now,
		State:   s,
		Reports: CurrentReports(s, followers),
	})
}

package supervisor

import (
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/planner"
	"github.com/heathermux/heathermux/internal/voter"
	"github.com/heathermux/heathermux/internal/wire"
)

// planInterval is the time between two plans. Drains and moves take several
// seconds, and a plan at the target size takes some tens of milliseconds.
const planInterval = 2 * time.Second

// Capacity lets the planner decide on hosts, pools and maintenance. Make one
// with NewCapacity.
type Capacity struct {
	planner *planner.Planner
	last    time.Time
}

// NewCapacity returns a decider that uses the policies of the pools.
func NewCapacity() *Capacity {
	return &Capacity{
		planner: planner.New(planner.Options{}),
	}
}

// Reset forgets what was learned; it is called at the start of a term.
func (c *Capacity) Reset() { c.planner.Reset() }

// Decide returns the planner's commands, at most once every planInterval.
func (c *Capacity) Decide(now time.Time, s controller.State, followers []voter.FollowerStatus) []*wire.Command {
	if now.Sub(c.last) < planInterval {
		return nil
	}
	c.last = now
	return c.planner.Plan(planner.Input{
		Now:     now,
		State:   s,
		Reports: PresentReports(s, followers),
	})
}

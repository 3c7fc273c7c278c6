package scheduler

import (
	"slices"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/wire"
)

// controlState is the control state as seen from one data centre.
type controlState struct {
	state      controller.State
	dataCentre *wire.DataCentre
	// taskHosts are the hosts of the data centre whose pool serves a task queue.
	taskHosts []*wire.Host
	// Invariant: the distinct capacities of the data centre's hosts, by pool.
	hostSizes map[string][]controller.Amount
}

func (c *controlState) set(state controller.State, dataCentre string) {
	c.state = state
	c.dataCentre, _ = state.DataCentre(dataCentre)
	c.hostSizes = make(map[string][]controller.Amount)
	c.taskHosts = nil
	pools := taskPools(state)
	for _, h := range state.Hosts() {
		if h.GetDataCentre() != dataCentre {
			continue
		}
		if pools[h.GetPool()] {
			c.taskHosts = append(c.taskHosts, h)
		}
		size := controller.AmountOf(h.GetCapacity())
		if !slices.Contains(c.hostSizes[h.GetPool()], size) {
			c.hostSizes[h.GetPool()] = append(c.hostSizes[h.GetPool()], size)
		}
	}
}

// taskPools returns the names of the pools that serve at least one task queue.
func taskPools(state controller.State) map[string]bool {
	pools := make(map[string]bool)
	for _, q := range state.Queues() {
		if q.GetKind() == wire.QueueKind_QUEUE_KIND_TASKS {
			pools[q.GetPool()] = true
		}
	}
	return pools
}

// inService reports whether the data centre is in service, so that tasks may
// start in it.
func (c *controlState) inService() bool {
	return c.dataCentre.GetState() == wire.ServiceState_SERVICE_STATE_IN
}

// poolInService reports whether the pool is known and in service, so that tasks
// may start in it.
func (c *controlState) poolInService(pool string) bool {
	p, ok := c.state.Pool(pool)
	return ok && p.GetState() == wire.ServiceState_SERVICE_STATE_IN
}

// fitsSomeHost reports whether at least one host of the pool has the capacity for
// the size when it is empty.
func (c *controlState) fitsSomeHost(pool string, size controller.Amount) bool {
	for _, capacity := range c.hostSizes[pool] {
		if size.FitsIn(capacity) {
			return true
		}
	}
	return false
}

// startLimit returns the limit that applies when tasks of a team are started. It
// is the target of the allotment, not its present amount, because the difference
// is being transferred to another data centre.
func (c *controlState) startLimit(team string) controller.Amount {
	a, _ := c.state.Allotment(team, c.dataCentre.GetName())
	return controller.AmountOf(a.GetTarget())
}

// weight returns the share weight of a team, at least 1, and whether the team is
// known.
func (c *controlState) weight(team string) (float64, bool) {
	ref, ok := c.state.Team(team)
	if !ok {
		return 1, false
	}
	return float64(max(ref.Team.GetShare(), 1)), true
}

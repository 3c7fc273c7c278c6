package planner

import "github.com/heathermux/heathermux/internal/wire"

// budgets counts for each pool how many more hosts may become unavailable.
// Planned and unplanned unavailability count together.
type budgets map[string]int64

func newBudgets(f fleet) budgets {
	b := make(budgets)
	for _, p := range f.in.State.Pools() {
		b[p.GetName()] = p.GetAvailabilityBudget() - f.in.State.Unavailable(p.GetName())
	}
	for _, h := range f.hosts {
		unplanned := h.GetState() == wire.HostState_HOST_STATE_ACTIVE && (h.dead() || h.use.GetQuarantined())
		if unplanned {
			b[h.GetPool()]--
		}
	}
	return b
}

// take uses one place of a pool's budget and reports whether there was one.
func (b budgets) take(pool string) bool {
	if b[pool] < 1 {
		return false
	}
	b[pool]--
	return true
}

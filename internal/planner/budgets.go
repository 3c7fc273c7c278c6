package planner

import "github.com/heathermux/heathermux/internal/wire"

// budgets counts for each pool how many more hosts may become unavailable, and
// holds the hosts that one plan has chosen already.
type budgets struct {
	// all counts planned and unplanned unavailability together, hosts of data
	// centres that are out of service included.
	all map[string]int64
	// planned counts drains and maintenance only, as the control state does.
	planned map[string]int64
	chosen  map[string]bool
}

func newBudgets(f fleet) budgets {
	b := budgets{
		all:     make(map[string]int64),
		planned: make(map[string]int64),
		chosen:  make(map[string]bool),
	}
	for _, p := range f.in.State.Pools() {
		left := p.GetAvailabilityBudget() - f.in.State.Unavailable(p.GetName())
		b.all[p.GetName()] = left
		b.planned[p.GetName()] = left
	}
	for _, h := range f.hosts {
		if h.GetState() == wire.HostState_HOST_STATE_ACTIVE && !(h.usable() && inService(f, h)) {
			b.all[h.GetPool()]--
		}
	}
	return b
}

// allows reports whether the host may become unavailable. A host of a data
// centre that is out of service is unavailable already, so only planned
// unavailability limits it.
func (b budgets) allows(f fleet, h host) bool {
	if b.chosen[h.GetName()] || b.planned[h.GetPool()] < 1 {
		return false
	}
	return !inService(f, h) || b.all[h.GetPool()] >= 1
}

// take chooses the host and reports whether it was allowed.
func (b budgets) take(f fleet, h host) bool {
	if !b.allows(f, h) {
		return false
	}
	b.chosen[h.GetName()] = true
	b.planned[h.GetPool()]--
	if inService(f, h) {
		b.all[h.GetPool()]--
	}
	return true
}

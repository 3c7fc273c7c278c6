package planner

import "github.com/heathermux/heathermux/internal/wire"

// budgets holds, for one call of Plan, how many more hosts of each pool may become
// unavailable and which hosts are already selected.
type budgets struct {
	// combined is the budget left by pool after planned and unplanned
	// unavailability, including hosts of data centres that are out of service.
	combined map[string]int64
	// planned is the budget left by pool after drains and maintenance only, as
	// the control state counts it.
	planned map[string]int64
	// selected holds the hosts that the current plan already uses.
	selected map[string]bool
}

func newBudgets(f fleet) budgets {
	b := budgets{
		combined: make(map[string]int64),
		planned:  make(map[string]int64),
		selected: make(map[string]bool),
	}
	for _, p := range f.in.State.Pools() {
		remaining := p.GetAvailabilityBudget() - f.in.State.Unavailable(p.GetName())
		b.combined[p.GetName()] = remaining
		b.planned[p.GetName()] = remaining
	}
	for _, h := range f.hosts {
		if h.GetState() == wire.HostState_HOST_STATE_ACTIVE && !(h.usable() && inService(f, h)) {
			b.combined[h.GetPool()]--
		}
	}
	return b
}

// allows reports whether the host may become unavailable. A host of a data centre
// that is out of service is already unavailable, so only the planned budget
// applies to it.
func (b budgets) allows(f fleet, h host) bool {
	if b.selected[h.GetName()] || b.planned[h.GetPool()] < 1 {
		return false
	}
	return !inService(f, h) || b.combined[h.GetPool()] >= 1
}

// reserve selects the host and deducts it from the budgets, if allowed. It
// reports whether it did.
func (b budgets) reserve(f fleet, h host) bool {
	if !b.allows(f, h) {
		return false
	}
	b.selected[h.GetName()] = true
	b.planned[h.GetPool()]--
	if inService(f, h) {
		b.combined[h.GetPool()]--
	}
	return true
}

package scheduler

import (
	"slices"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/wire"
)

// facts is the part of the control state that concerns one data centre.
type facts struct {
	state      controller.State
	dataCentre *wire.DataCentre
	// taskHosts are the hosts here whose pool has a queue of tasks.
	taskHosts []*wire.Host
	// Invariant: the distinct capacities of the data centre's hosts, by pool.
	sizes map[string][]controller.Amount
}

func (f *facts) set(state controller.State, dataCentre string) {
	f.state = state
	f.dataCentre, _ = state.DataCentre(dataCentre)
	f.sizes = make(map[string][]controller.Amount)
	f.taskHosts = nil
	pools := taskPools(state)
	for _, h := range state.Hosts() {
		if h.GetDataCentre() != dataCentre {
			continue
		}
		if pools[h.GetPool()] {
			f.taskHosts = append(f.taskHosts, h)
		}
		size := controller.AmountOf(h.GetCapacity())
		if !slices.Contains(f.sizes[h.GetPool()], size) {
			f.sizes[h.GetPool()] = append(f.sizes[h.GetPool()], size)
		}
	}
}

// taskPools returns the pools that have a queue of tasks.
func taskPools(state controller.State) map[string]bool {
	pools := make(map[string]bool)
	for _, q := range state.Queues() {
		if q.GetKind() == wire.QueueKind_QUEUE_KIND_TASKS {
			pools[q.GetPool()] = true
		}
	}
	return pools
}

// inService reports whether the operators let tasks start in the data centre.
func (f *facts) inService() bool {
	return f.dataCentre.GetState() == wire.ServiceState_SERVICE_STATE_IN
}

// poolInService reports whether the operators let tasks start in the pool.
func (f *facts) poolInService(pool string) bool {
	p, ok := f.state.Pool(pool)
	return ok && p.GetState() == wire.ServiceState_SERVICE_STATE_IN
}

// runnable reports whether some host of the pool is large enough for the size.
func (f *facts) runnable(pool string, size controller.Amount) bool {
	for _, capacity := range f.sizes[pool] {
		if size.FitsIn(capacity) {
			return true
		}
	}
	return false
}

// startLimit returns what a team may run here if more is to be started: the
// target, as the difference to the amount is on its way to another data centre.
func (f *facts) startLimit(team string) controller.Amount {
	a, _ := f.state.Allotment(team, f.dataCentre.GetName())
	return controller.AmountOf(a.GetTarget())
}

// share returns the weight of a team and whether the team is known.
func (f *facts) share(team string) (float64, bool) {
	ref, ok := f.state.Team(team)
	if !ok {
		return 1, false
	}
	return float64(max(ref.Team.GetShare(), 1)), true
}

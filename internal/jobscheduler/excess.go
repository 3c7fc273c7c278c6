package jobscheduler

import (
	"cmp"
	"slices"

	"github.com/heathermux/heathermux/internal/controller"
)

// The capacity of a worker may shrink while it runs tasks. What no longer fits is
// stopped: batch tasks first, since a long-running task serves users, and of these the
// newest, which has the least work to lose. Runs that are being stopped count until they
// are gone.

// stopExcess stops runs on a worker whose capacity is below what they reserve.
func (s *Scheduler) stopExcess(w *worker) {
	if w.capacity == (controller.Amount{}) || w.used.FitsIn(w.capacity) || w.unresponsive || !w.reconciled {
		return
	}
	remaining := w.used
	var candidates []*run
	for _, r := range w.runs {
		if r.state == stopping {
			remaining = remaining.Minus(r.reservation)
			continue
		}
		candidates = append(candidates, r)
	}
	slices.SortFunc(candidates, func(a, b *run) int {
		return cmp.Or(cmp.Compare(lastingOrder(a), lastingOrder(b)), b.orderedAt.Compare(a.orderedAt),
			cmp.Compare(a.key.Job, b.key.Job), cmp.Compare(a.key.Step, b.key.Step), cmp.Compare(a.key.index, b.key.index))
	})
	for _, r := range candidates {
		if remaining.FitsIn(w.capacity) {
			return
		}
		if !relieves(r, remaining, w.capacity) || !s.mayStopOne(r) {
			continue
		}
		s.logger.Info("scheduler: worker has become too small for its runs; one is stopped", "worker", w.info.GetId(), "task", taskName(r.key.taskKey),
			"run", r.key.number, "reserved", remaining.MilliCores, "capacity", w.capacity.MilliCores)
		remaining = remaining.Minus(r.reservation)
		s.stop(r)
	}
}

// lastingOrder returns 0 for a run of a batch task and 1 for that of a long-running one.
func lastingOrder(r *run) int {
	if r.step != nil && r.step.spec.GetLasting() {
		return 1
	}
	return 0
}

// relieves reports whether a run reserves some of a resource that is exceeded.
func relieves(r *run, used, capacity controller.Amount) bool {
	return used.MilliCores > capacity.MilliCores && r.reservation.MilliCores > 0 ||
		used.MemoryBytes > capacity.MemoryBytes && r.reservation.MemoryBytes > 0 ||
		used.Accelerators > capacity.Accelerators && r.reservation.Accelerators > 0
}

// mayStopOne reports whether a run may be stopped without more tasks of its step being
// unavailable than it may miss. A task that has just started does not count as available,
// but it may serve already.
func (s *Scheduler) mayStopOne(r *run) bool {
	if r.step == nil || !r.step.spec.GetLasting() || r.step.spec.GetMayMiss() == 0 {
		return true
	}
	others := s.unavailableTasks(r.step, nil)
	if r.step.runs[r.key.index] == r && !s.isHealthy(r) {
		others--
	}
	return others < int(r.step.spec.GetMayMiss()) && !s.maintenanceOrdered(r.step)
}

// guarded reports whether the workers of a pool refuse what does not fit.
func (s *Scheduler) guarded(pool string) bool {
	for _, p := range s.state.Configuration.GetPools() {
		if p.GetName() == pool {
			return p.GetGuards()
		}
	}
	return false
}

package jobscheduler

import (
	"slices"
)

// fits reports whether a task of the step may run on the worker with extra
// tasks of the same step already chosen for it.
func (s *Scheduler) fits(st *step, w *worker, extra int) bool {
	room := roomOf(st)
	used := w.used
	for range extra {
		used = used.Plus(room)
	}
	if !used.Plus(room).FitsIn(w.capacity) {
		return false
	}
	if most := int(st.spec.GetMostPerWorker()); most > 0 && st.perWorker[w.info.GetId()]+extra >= most {
		return false
	}
	label := st.spec.GetLabel()
	return label == "" || slices.Contains(w.info.GetLabels(), label)
}

// choose returns the worker on which a task starts: near its data, not where
// it failed last, and where least is free.
func (s *Scheduler) choose(st *step, index int32, workers []*worker, extra map[*worker]int) *worker {
	var best *worker
	var bestCost float64
	for _, w := range workers {
		if !s.usable(w) || !s.fits(st, w, extra[w]) || !s.allowed(st, w) {
			continue
		}
		cost := s.cost(st, index, w)
		if best == nil || cost < bestCost {
			best, bestCost = w, cost
		}
	}
	return best
}

// Costs of a placement, in shares of a worker's capacity.
const (
	costRemote = 4.0
	costAvoid  = 8.0
	costTrial  = 1.0
	costDue    = 2.0
	// costSpread keeps the loss of one host within what a step may miss.
	costSpread = 4.0
)

func (s *Scheduler) cost(st *step, index int32, w *worker) float64 {
	// Full hosts come first, so that the others become idle and can move.
	cost := -hostShare(w.used, w.capacity)
	if rack := st.spec.GetDataRack(); rack != "" && rack != w.info.GetRack() {
		cost += costRemote
	}
	if st.avoid[index] == w.info.GetId() {
		cost += costAvoid
	}
	if miss := int(st.spec.GetMayMiss()); miss > 0 && st.perWorker[w.info.GetId()] >= miss {
		cost += costSpread
	}
	if st.spec.GetLasting() && s.dueForUpkeep(w) {
		cost += costDue
	}
	return cost + costTrial*float64(w.streak)
}

// chooseGang returns a worker for each waiting task of a gang, on one rack if
// the step asks for it; nil when not all fit.
func (s *Scheduler) chooseGang(st *step, workers []*worker) []*worker {
	if !st.spec.GetSameRack() {
		return s.chooseAll(st, workers)
	}
	racks := make(map[string][]*worker)
	for _, w := range workers {
		racks[w.info.GetRack()] = append(racks[w.info.GetRack()], w)
	}
	names := make([]string, 0, len(racks))
	for name := range racks {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if chosen := s.chooseAll(st, racks[name]); chosen != nil {
			return chosen
		}
	}
	return s.chooseAll(st, workers)
}

func (s *Scheduler) chooseAll(st *step, workers []*worker) []*worker {
	extra := make(map[*worker]int)
	chosen := make([]*worker, 0, len(st.pending))
	for _, index := range st.pending {
		w := s.choose(st, index, workers, extra)
		if w == nil {
			return nil
		}
		extra[w]++
		chosen = append(chosen, w)
	}
	return chosen
}

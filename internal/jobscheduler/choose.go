package jobscheduler

import (
	"slices"
)

// fits reports whether the capacity, the labels and the limit of tasks per worker
// allow a task of the step on the worker, with a number of tasks of the same step
// already chosen for it.
func (s *Scheduler) fits(st *step, w *worker, chosen int) bool {
	reservation := reservationOf(st)
	used := w.used
	for range chosen {
		used = used.Plus(reservation)
	}
	if !used.Plus(reservation).FitsIn(w.capacity) {
		return false
	}
	if limit := int(st.spec.GetMostPerWorker()); limit > 0 && st.runsPerWorker[w.info.GetId()]+chosen >= limit {
		return false
	}
	return w.hasLabel(st.spec.GetLabel())
}

// mayRun reports whether a task may run on a worker, with a number of tasks of the same
// step already chosen for it.
func (s *Scheduler) mayRun(st *step, index int32, w *worker, chosen int) bool {
	// In a full pool most workers have no room, so that is checked first.
	return s.fits(st, w, chosen) && w.reservation.covers(st.key(index)) && s.adviserAllows(st, w) && s.schedulable(w)
}

// chooseWorker returns the worker with the lowest cost for a task: near its data,
// not where it failed last, and the fullest one that has room; nil when none
// fits.
//
// A task for which no worker near its data has room waits for one if that pays.
func (s *Scheduler) chooseWorker(st *step, index int32, workers []*worker, chosen map[*worker]int) *worker {
	best := s.cheapestWorker(st, index, workers, chosen)
	if best != nil && best.info.GetRack() != st.spec.GetDataRack() && s.waitsForRack(st, workers) {
		return nil
	}
	return best
}

// cheapestWorker returns the worker with the lowest cost that has room for a task now; nil
// when there is none. A silent worker would keep a long-running task from running for as long as
// it may still execute the start. So the task goes to one that was heard lately, unless that
// costs a penalty more; if there is none, workers are asked first.
func (s *Scheduler) cheapestWorker(st *step, index int32, workers []*worker, chosen map[*worker]int) *worker {
	var best, answering candidate
	var quiet []*worker
	for _, w := range workers {
		if !s.mayRun(st, index, w, chosen[w]) || !s.mayStartBesideSuspects(st, w) {
			continue
		}
		c := candidate{
			worker: w,
			cost:   s.placementCost(st, index, w),
		}
		best = best.orCheaper(c)
		if s.heardLately(w) {
			answering = answering.orCheaper(c)
		} else if len(quiet) < maxAskedWorkers {
			quiet = append(quiet, w)
		}
	}
	st.asksWorkers = false
	switch {
	case best.worker == nil || !st.spec.GetLasting():
		return best.worker
	case answering.worker != nil && answering.cost < best.cost+minPenalty:
		return answering.worker
	case st.spec.GetGang():
		// While it waited for answers, other tasks would take its places one by one.
		return best.worker
	}
	st.asksWorkers = true
	s.askForStart(append(quiet, best.worker))
	return nil
}

// candidate is a worker that has room for a task; its worker is nil when there is none.
type candidate struct {
	worker *worker
	cost   float64
}

func (c candidate) orCheaper(other candidate) candidate {
	if c.worker == nil || other.cost < c.cost {
		return other
	}
	return c
}

// askForStart polls workers for which a long-running task has room, but that have not answered
// lately; an answer brings the start. They are polled together: one after another, silent ones would
// hold the task up for a failed poll each.
func (s *Scheduler) askForStart(workers []*worker) {
	for _, w := range workers {
		w.askedForStart = true
		s.pollNow(w)
	}
}

// maxAskedWorkers bounds the workers that are polled at once for a long-running task.
const maxAskedWorkers = 32

// Penalties of a placement, in shares of a worker's capacity.
const (
	costOtherRack    = 4.0
	costFailedBefore = 8.0
	// costWantedRack keeps tasks off a rack for whose places others wait.
	costWantedRack     = 2.0
	costPerFailure     = 1.0
	costMaintenanceDue = 2.0
	// costOverMayMiss keeps the loss of one host within the number of tasks that
	// a step may miss.
	costOverMayMiss = 4.0
	// minPenalty is the smallest of these.
	minPenalty = 1.0
)

// placementCost returns the cost of a task on a worker; the lowest wins.
func (s *Scheduler) placementCost(st *step, index int32, w *worker) float64 {
	// Fuller hosts come first, so that the others become idle and can move to another pool.
	cost := -dominantShare(w.used, w.capacity)
	if rack := st.spec.GetDataRack(); rack != "" && rack != w.info.GetRack() {
		cost += costOtherRack
	} else if rack == "" && s.waitingForRack[w.info.GetRack()] > 0 {
		cost += costWantedRack
	}
	if st.lastFailedOn[index] == w.info.GetId() {
		cost += costFailedBefore
	}
	if mayMiss := int(st.spec.GetMayMiss()); mayMiss > 0 && st.runsPerWorker[w.info.GetId()] >= mayMiss {
		cost += costOverMayMiss
	}
	if st.spec.GetLasting() && s.dueForMaintenance(w) {
		cost += costMaintenanceDue
	}
	return cost + costPerFailure*float64(w.consecutiveFailures)
}

// chooseGang returns a worker for each pending task of a gang; nil when not all
// fit. If the step asks for one rack, racks that can hold the whole gang are
// preferred.
func (s *Scheduler) chooseGang(st *step, workers []*worker) []*worker {
	if !st.spec.GetSameRack() {
		return s.chooseForAll(st, workers)
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
		if chosen := s.chooseForAll(st, racks[name]); chosen != nil {
			return chosen
		}
	}
	if s.groupWaitsForRack(st, racks) {
		return nil
	}
	return s.chooseForAll(st, workers)
}

// chooseForAll returns a worker for each pending task of a step; nil when not all
// fit.
func (s *Scheduler) chooseForAll(st *step, workers []*worker) []*worker {
	chosenOn := make(map[*worker]int)
	chosen := make([]*worker, 0, len(st.pending))
	for _, index := range st.pending {
		w := s.chooseWorker(st, index, workers, chosenOn)
		if w == nil {
			return nil
		}
		chosenOn[w]++
		chosen = append(chosen, w)
	}
	return chosen
}

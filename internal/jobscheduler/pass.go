package jobscheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/heathermux/heathermux/internal/controller"
)

const (
	// noRoomStartDelay is the time without starts on a worker that refused one
	// for lack of room or because the order was late.
	noRoomStartDelay = 200 * time.Millisecond
	// maxStartsPerSender bounds the tasks that one pass starts for each host that
	// sends orders; a gang may exceed it. A larger burst would make the host miss
	// its heartbeats.
	maxStartsPerSender = 48
)

// Pass returns the actions to take now. Contact is the latest time at which a
// majority confirmed the leadership; leases count from it. OrderSenders is the
// number of hosts that send orders to workers.
func (s *Scheduler) Pass(contact time.Time, orderSenders int) []Action {
	s.orderSenders = max(orderSenders, 1)
	clear(s.unreconciledUses)
	clear(s.waitingForRack)
	s.dropIdlePlacements()
	s.expireHeldStarts()
	for _, j := range s.jobs {
		s.openDueOccurrences(j)
	}
	s.updateWorkers(contact)
	s.probeLateOrders()
	s.updateRuns()
	if s.now.Sub(s.allMarkedAt) >= s.passInterval() {
		// No event tells when start delays, quarantines and tickets end.
		s.allMarkedAt = s.now
		s.markAllPoolsDirty()
	}
	s.updateHosts()
	workers := s.schedulableWorkers()
	s.startsLeft = maxStartsPerSender * s.orderSenders
	for _, p := range s.pools {
		if list, wasDirty := workers[p.name]; wasDirty && s.startsLeft > 0 {
			p.dirty = false
			s.placePool(p, list, contact)
			p.dirty = p.dirty || s.startsLeft <= 0
		}
	}
	s.recordBegunRuns()
	s.logLongWaits()
	return s.takeActions()
}

// updateRuns repeats unconfirmed orders to stop, also of starts that were given
// up, and stops long-running tasks on workers that drain. These wait while another
// host of their step is on its way into maintenance, so that not both are away.
func (s *Scheduler) updateRuns() {
	for _, w := range s.workers {
		s.stopAbandonedStarts(w)
		s.updateReservation(w)
		s.stopExcess(w)
		for _, r := range w.runs {
			s.noteBegun(r)
			if r.step != nil && r.step.spec.GetLasting() {
				s.updateLastingRun(w, r)
			}
			if r.state == starting && !r.unansweredAt.IsZero() && w.answeredSince(r.unansweredAt) {
				// The worker does not list the run, but may still begin it.
				s.stop(r)
			}
			if r.state == stopping && r.confirmedAt.IsZero() && s.now.Sub(r.stopSent) > stopRetryInterval {
				s.stop(r)
			}
		}
	}
}

// updateLastingRun records that a long-running task has survived for long, and stops it on
// a worker that drains.
func (s *Scheduler) updateLastingRun(w *worker, r *run) {
	s.recordSurvival(r)
	if w.info.GetDraining() && r.state == running && !s.maintenanceOrdered(r.step) {
		s.stop(r)
	}
}

// placePool starts waiting tasks of a pool in the order of their rank.
func (s *Scheduler) placePool(p *pool, workers []*worker, contact time.Time) {
	search := newPlaceSearch(workers)
	s.reserveWorkers(p, search)
	list := s.waitingSteps(p, len(workers))
	for _, st := range list {
		if s.startsLeft <= 0 {
			return
		}
		j := st.occurrence.job
		if s.mayRunOnUnreconciled(j) || j.relocating() {
			continue
		}
		if s.placeSuspects(st, search, contact) || search.unplaceable(st, everywhere) {
			continue
		}
		if st.spec.GetGang() {
			s.placeGang(st, workers, contact)
			continue
		}
		area := areaOf(j)
		if !search.unplaceable(st, area) {
			if s.placeTasks(st, search.workersIn(area, j), contact) {
				continue
			}
			if s.unconstrained(st) {
				search.markUnplaceable(st, area)
			}
		}
		if area != everywhere {
			s.widen(st, search)
		}
	}
	s.startCopies(p, list, workers, contact)
}

// schedulableWorkers returns, for each dirty pool, the workers on which tasks may start,
// sorted by id.
func (s *Scheduler) schedulableWorkers() map[string][]*worker {
	workers := make(map[string][]*worker, len(s.pools))
	for _, p := range s.pools {
		if p.dirty {
			workers[p.name] = nil
		}
	}
	for _, w := range s.workers {
		pool := w.info.GetPool()
		if _, dirty := workers[pool]; dirty && s.schedulable(w) && !w.clockAt.IsZero() {
			workers[pool] = append(workers[pool], w)
		}
	}
	for _, list := range workers {
		slices.SortFunc(list, func(a, b *worker) int { return cmp.Compare(a.info.GetId(), b.info.GetId()) })
	}
	return workers
}

// atLeastAny reports whether an amount is at least as large as one that found no
// place. In a full pool this avoids the search for most waiting steps.
func atLeastAny(a controller.Amount, unplaceable []controller.Amount) bool {
	for _, b := range unplaceable {
		if b.FitsIn(a) {
			return true
		}
	}
	return false
}

// unconstrained reports whether only free capacity decides where the tasks of a
// step may run.
func (s *Scheduler) unconstrained(st *step) bool {
	return st.spec.GetLabel() == "" && st.spec.GetDataRack() == "" && st.spec.GetMostPerWorker() == 0 && !s.queueOf(st).GetAdvised()
}

// placeTasks starts the tasks of a step that fit. It returns false when one found
// no place.
func (s *Scheduler) placeTasks(st *step, workers []*worker, contact time.Time) bool {
	for _, index := range slices.Clone(st.pending) {
		if s.startsLeft <= 0 || !s.withinAccountCeiling(st, 1) {
			return true
		}
		if s.needsCare(st, index) {
			continue
		}
		w := s.chooseWorker(st, index, workers, nil)
		if w == nil && st.asksWorkers {
			return true
		}
		if w == nil {
			s.requestAdvice(st, workers)
			return false
		}
		s.start(st, index, s.nextRunNumber(st, index), w, contact)
	}
	return true
}

// placeGang starts all tasks of a step or none, with one run number.
func (s *Scheduler) placeGang(st *step, workers []*worker, contact time.Time) {
	if len(st.pending) < int(st.spec.GetTasks()) || !s.withinAccountCeiling(st, len(st.pending)) {
		return
	}
	alone, wait := s.gangNeedsCare(st)
	if wait {
		return
	}
	candidates := workers
	if alone {
		candidates = s.idleWorkers(st, workers)
	}
	chosen := s.chooseGang(st, candidates)
	if chosen == nil {
		s.requestAdvice(st, candidates)
		if alone && mayReserveMore(workers) {
			s.reserveWorker(st, st.pending[0], workers)
		}
		return
	}
	number := uint64(0)
	for _, index := range st.pending {
		number = max(number, s.nextRunNumber(st, index))
	}
	for i, index := range slices.Clone(st.pending) {
		st.lastRunNumber[index] = number
		if alone {
			s.reserve(chosen[i], st.key(index), true)
		}
		s.start(st, index, number, chosen[i], contact)
	}
}

// withinAccountCeiling reports whether the account of a step may have n more of
// its tasks running. A single task that is larger than the ceiling may run alone.
func (s *Scheduler) withinAccountCeiling(st *step, n int) bool {
	account := st.occurrence.job.saved.Spec.GetAccount()
	ceiling := s.accountCeiling(account)
	used := s.usedByAccount[account]
	if ceiling != (controller.Amount{}) {
		used = used.Plus(s.unreconciledUse(account))
	}
	if used == (controller.Amount{}) && n == 1 {
		return true
	}
	for range n {
		used = used.Plus(st.request)
	}
	return withinLimits(used, ceiling)
}

// accountCeiling returns the resource ceiling of an account; zero means no limit.
func (s *Scheduler) accountCeiling(account string) controller.Amount {
	for _, a := range s.state.Configuration.GetAccounts() {
		if a.GetName() == account {
			return controller.AmountOf(a.GetCeiling())
		}
	}
	return controller.Amount{}
}

// start adds a run and orders the worker to start it.
func (s *Scheduler) start(st *step, index int32, number uint64, w *worker, contact time.Time) {
	deadline := w.leaseDeadline(contact, s.settings.Lease)
	w.extendLease(deadline)
	key := runKey{
		taskKey: st.key(index),
		number:  number,
	}
	s.noteLocality(st, w)
	s.addRun(w, st, key, starting)
	st.occurrence.job.pool.startRate.add(s.now, st.hostShare*st.runTime.Seconds())
	s.logger.Info("scheduler: task starts", "task", taskName(key.taskKey), "run", number, "worker", w.info.GetId(), "born", w.info.GetBorn(),
		"slack", st.occurrence.targetEnd.Sub(s.wall)-st.occurrence.job.criticalPathFrom[st.number], "used", w.used.MilliCores)
	s.counters.Starts++
	s.startsLeft--
	s.emit(Start{
		Target:     w.target(),
		Task:       key.task(),
		Run:        number,
		Payload:    st.occurrence.job.saved.Spec.GetPayload(),
		Checkpoint: s.checkpoint(st, index),
		Ticket:     st.advice.ticket(w.info.GetId(), s.now),
		Deadline:   deadline,

		// Users miss a long-running task from the moment it is away, so its starts are not risked
		// on a connection that may be silent. They are rare.
		NewConnection: st.spec.GetLasting() || !w.answersAt(s.now),
		ToRecord:      st.spec.GetLasting() || s.settings.RecordBatchStarts,
	})
	if w.nextPollAt.After(s.now.Add(maxPollWait)) {
		w.nextPollAt = s.now.Add(s.minPollInterval())
	}
}

// checkpoint returns the checkpoint that a task resumes from. All members of a
// gang resume from the same one.
func (s *Scheduler) checkpoint(st *step, index int32) string {
	record := st.occurrence.job.saved
	if !st.spec.GetGang() {
		return record.Task(st.key(index).task()).Checkpoint
	}
	for i := range st.spec.GetTasks() {
		if c := record.Task(st.key(i).task()).Checkpoint; c != "" {
			return c
		}
	}
	return ""
}

// Next returns the time by which Pass has to be called again if no event occurs
// before.
func (s *Scheduler) Next() time.Time {
	next := s.now.Add(s.passInterval())
	if s.startsLeft <= 0 {
		return s.now
	}
	for _, w := range s.workers {
		if w.mayBePolled() && w.nextPollAt.Before(next) {
			next = w.nextPollAt
		}
	}
	if at, ok := s.lateOrders.Next(); ok && at.Before(next) {
		next = at
	}
	return next
}

// passInterval returns the time until the next pass if no event occurs before.
func (s *Scheduler) passInterval() time.Duration {
	for _, until := range s.crashingUntil {
		if s.now.Before(until) {
			// The next start on a worker may follow so soon.
			return suspectStartInterval
		}
	}
	return maxPassInterval
}

// maxPassInterval is the longest time between two passes.
const maxPassInterval = 100 * time.Millisecond

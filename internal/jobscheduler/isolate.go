package jobscheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/isolator"
	"github.com/heathermux/heathermux/internal/jobwire"
)

// Tasks under which workers have crashed are started one by one on a worker, after the
// log has named it. An isolated task waits for a worker without other runs. If there is
// none, the one with the fewest runs is reserved: it gets no others and becomes idle.

const (
	// reservationTime is how long a worker is reserved for a task that has not started.
	reservationTime = 6 * time.Second
	// maxReservedShare bounds the reserved workers to that part of a pool's; one may
	// always be.
	maxReservedShare = 2.0 / 3
	// placementTime is how long a task waits for the log write of its placement and for
	// an answer of the worker.
	placementTime = 2 * time.Second
	// costPerWatchedTask keeps the tasks of a crashed worker apart, so that a second
	// crash tells them apart.
	costPerWatchedTask = 2.0
)

// RecordPlacement requests a log write that names the worker of a run; the outcome goes
// to PlacementRecorded.
type RecordPlacement struct {
	Target Target
	Task   *jobwire.Task
	Run    uint64
	// Circumstances are those of isolator.Crash, should the worker have crashed.
	isolator.Circumstances
}

// reservation keeps a worker free for an isolated task, or for the tasks of a gang.
type reservation struct {
	key  taskKey
	gang bool
	// until is when the reservation ends unless the task has a run on the worker.
	until time.Time
}

// covers reports whether a worker with the reservation is free for a task.
func (r *reservation) covers(key taskKey) bool {
	return r == nil || r.key == key || r.gang && r.key.StepKey == key.StepKey
}

// pendingPlacement is the placement of a run whose start has not been ordered.
type pendingPlacement struct {
	run    uint64
	worker *worker
	// treatment is how the task is started on the worker, and reservation what is kept
	// free for it there meanwhile.
	treatment   isolator.Treatment
	reservation controller.Amount
	decidedAt   time.Time
	// recorded is true once the placement is in the log.
	recorded bool
	// until is when the start is decided anew unless the placement is recorded.
	until time.Time
}

// treatment returns how a task has to be started.
func (s *Scheduler) treatment(st *step, index int32) isolator.Treatment {
	j := st.occurrence.job.saved
	if !j.HasCrashRecords() {
		return isolator.Normal
	}
	return j.Task(st.key(index).task()).Crashes.Treatment()
}

// needsCare reports whether a task may not simply be started: workers have crashed
// under it, or it waits for news of one.
func (s *Scheduler) needsCare(st *step, index int32) bool {
	return s.treatment(st, index) != isolator.Normal || len(s.unknownFates)+len(s.heldStarts) > 0 && s.fateUnknown(st.key(index))
}

// placeSuspects places the tasks of a step that need care, also in a full pool, where a
// worker is kept free for them. It returns true when no other task of the step waits.
func (s *Scheduler) placeSuspects(st *step, search *placeSearch, contact time.Time) bool {
	j := st.occurrence.job
	if !j.saved.HasCrashRecords() && len(s.unknownFates) == 0 {
		return false
	}
	if st.spec.GetGang() {
		if alone, _ := s.gangNeedsCare(st); alone {
			s.placeGang(st, search.workers, contact)
			return true
		}
		return false
	}
	area := areaOf(j)
	workers := search.workersIn(area, j)
	suspects := 0
	for _, index := range slices.Clone(st.pending) {
		if !s.needsCare(st, index) {
			continue
		}
		suspects++
		if s.startsLeft > 0 && s.withinAccountCeiling(st, 1) && s.placeWithCare(st, index, workers, contact) {
			suspects--
		}
	}
	if suspects < len(st.pending) {
		return false
	}
	if suspects > 0 && len(workers) == 0 && area != everywhere {
		s.widen(st, search)
	}
	return true
}

// placeWithCare starts a task under which workers have crashed once its placement is in
// the log. It returns true when the start is ordered.
func (s *Scheduler) placeWithCare(st *step, index int32, workers []*worker, contact time.Time) bool {
	key := st.key(index)
	treatment := s.treatment(st, index)
	if s.fateUnknown(key) || treatment == isolator.GivenUp {
		return false
	}
	if a, ok := s.pendingPlacements[key]; ok {
		ready := a.recorded && (len(a.worker.runs) > 0 || a.worker.answeredSince(a.decidedAt))
		// An answer of a worker that has just not answered a poll is not waited for.
		silent := a.recorded && a.worker.unresponsive
		if !ready && !silent && s.now.Before(a.until) {
			s.pollNow(a.worker)
			return false
		}
		s.dropPlacement(key)
		// Between the decision and now lies a log write, in which another crash may have
		// been counted.
		if ready && treatment == a.treatment && slices.Contains(workers, a.worker) && s.mayStartWithCare(st, index, a.worker, treatment) {
			s.start(st, index, a.run, a.worker, contact)
			return true
		}
	}
	s.decidePlacement(st, index, workers, treatment)
	return false
}

// decidePlacement chooses a worker for a task and requests the log write of its
// placement.
func (s *Scheduler) decidePlacement(st *step, index int32, workers []*worker, treatment isolator.Treatment) {
	w := s.chooseWithCare(st, index, workers, treatment)
	if w == nil {
		s.requestAdvice(st, workers)
		return
	}
	s.requestPlacement(st, index, w, treatment)
}

// requestPlacement requests the log write that places a task on a worker.
func (s *Scheduler) requestPlacement(st *step, index int32, w *worker, treatment isolator.Treatment) {
	key := st.key(index)
	if treatment == isolator.Isolated {
		s.reserve(w, key, false)
	}
	p := &pendingPlacement{
		run:         s.nextRunNumber(st, index),
		worker:      w,
		treatment:   treatment,
		reservation: reservationOf(st),
		decidedAt:   s.now,
		until:       s.now.Add(placementTime),
	}
	s.pendingPlacements[key] = p
	w.pendingPlacements++
	w.used = w.used.Plus(p.reservation)
	s.pollNow(w)
	s.logger.Info("scheduler: task is placed on a worker; it starts once the log says so", "task", taskName(key), "run", p.run,
		"worker", w.info.GetId(), "alone", treatment == isolator.Isolated)
	s.emit(RecordPlacement{
		Target: w.target(),
		Task:   key.task(),
		Run:    p.run,
		Circumstances: isolator.Circumstances{
			Alone: treatment == isolator.Isolated,
		},
	})
}

// dropPlacement forgets a placement whose start has been ordered or is decided anew.
func (s *Scheduler) dropPlacement(key taskKey) {
	if p, ok := s.pendingPlacements[key]; ok {
		p.worker.pendingPlacements--
		p.worker.used = p.worker.used.Minus(p.reservation)
		delete(s.pendingPlacements, key)
	}
}

// dropIdlePlacements forgets the placements of tasks that no longer wait to be started,
// as when a task has ended or was given up meanwhile.
func (s *Scheduler) dropIdlePlacements() {
	for key, p := range s.pendingPlacements {
		if st := s.findTaskStep(key); st == nil || !slices.Contains(st.pending, key.index) || s.treatment(st, key.index) == isolator.GivenUp {
			s.dropPlacement(key)
			s.markPoolDirty(p.worker.info.GetPool())
		}
	}
}

// answeredSince reports whether the worker has answered a poll that was sent later than
// the given time. An idle worker, which is not polled otherwise, may have crashed before
// the start.
func (w *worker) answeredSince(t time.Time) bool { return w.answeredPollSentAt.After(t) }

// pollNow brings the next poll of a worker forward.
func (s *Scheduler) pollNow(w *worker) {
	if !w.unresponsive && w.nextPollAt.After(s.now) {
		w.nextPollAt = s.now
	}
}

// PlacementRecorded handles the outcome of a RecordPlacement: it is in the log.
func (s *Scheduler) PlacementRecorded(a RecordPlacement) {
	if known, ok := s.pendingPlacements[keyOf(a.Task)]; ok && known.run == a.Run {
		known.recorded = true
		s.markPoolDirty(known.worker.info.GetPool())
	}
}

// mayStartWithCare reports whether a task may start on a worker now.
func (s *Scheduler) mayStartWithCare(st *step, index int32, w *worker, treatment isolator.Treatment) bool {
	return s.workers[w.info.GetId()] == w && s.mayRun(st, index, w, 0) &&
		(treatment != isolator.Isolated || len(w.runs) == 0)
}

// chooseWithCare returns a worker for a task; nil when there is none. An isolated task
// takes the one that has run the longest: one that has just come back may crash again
// by itself.
func (s *Scheduler) chooseWithCare(st *step, index int32, workers []*worker, treatment isolator.Treatment) *worker {
	var best *worker
	var bestCost float64
	for _, w := range workers {
		if !s.mayStartWithCare(st, index, w, treatment) || s.startsSuspect(w) {
			continue
		}
		cost := s.placementCost(st, index, w) + costPerWatchedTask*float64(s.watchedTasks(w)+w.pendingPlacements)
		if treatment == isolator.Isolated {
			cost = float64(w.info.GetBorn())
		}
		if best == nil || cost < bestCost {
			best, bestCost = w, cost
		}
	}
	return best
}

// startsSuspect reports whether a task under which workers have crashed is being started
// on a worker, or was just now. Meanwhile no other one is, so that a crash just after a
// start tells which it was.
func (s *Scheduler) startsSuspect(w *worker) bool {
	return w.pendingPlacements > 0 || s.suspectStarts(w) > 0
}

// suspectStarts returns how many tasks that may crash the worker are being started on it,
// or were just now.
func (s *Scheduler) suspectStarts(w *worker) int {
	n := 0
	for key, r := range w.runs {
		justStarted := r.state == starting && !r.begun || r.state == running && s.now.Sub(r.confirmedAt) <= suspectStartInterval
		if justStarted && r.step != nil && (s.treatment(r.step, key.index) != isolator.Normal || s.crashing(r.step)) {
			n++
		}
	}
	return n
}

// watchedTasks returns the number of runs on a worker under whose tasks another one has
// crashed.
func (s *Scheduler) watchedTasks(w *worker) int {
	n := 0
	for key, r := range w.runs {
		if r.step != nil && s.treatment(r.step, key.index) != isolator.Normal {
			n++
		}
	}
	return n
}

func (s *Scheduler) reserve(w *worker, key taskKey, gang bool) {
	w.reservation = &reservation{
		key:   key,
		gang:  gang,
		until: s.now.Add(reservationTime),
	}
}

// reserveWorkers reserves workers of a pool for the isolated tasks that have waited the
// longest: idle ones first, then those with the fewest runs. In the order of rank, tasks
// that come later would go first again and again.
func (s *Scheduler) reserveWorkers(p *pool, search *placeSearch) {
	for _, t := range s.waitingIsolatedTasks(p) {
		if !mayReserveMore(search.workers) {
			return
		}
		j := t.step.occurrence.job
		s.reserveWorker(t.step, t.index, search.workersIn(areaOf(j), j))
	}
}

// reserveWorker reserves the worker with the fewest runs for an isolated task, unless one
// is reserved already.
func (s *Scheduler) reserveWorker(st *step, index int32, workers []*worker) {
	key := st.key(index)
	if slices.ContainsFunc(workers, func(w *worker) bool { return w.reservation != nil && w.reservation.key == key }) {
		return
	}
	candidates := s.reservableWorkers(st, workers)
	if len(candidates) == 0 {
		return
	}
	first := slices.MinFunc(candidates, func(a, b *worker) int { return cmp.Compare(len(a.runs), len(b.runs)) })
	s.reserve(first, key, st.spec.GetGang())
}

// mayReserveMore reports whether one more of the workers of a pool may be reserved.
func mayReserveMore(workers []*worker) bool {
	reserved := 0
	for _, w := range workers {
		if w.reservation != nil {
			reserved++
		}
	}
	return reserved < max(1, int(maxReservedShare*float64(len(workers))))
}

// reservableWorkers returns the workers that can become idle for a task and may run it
// then.
func (s *Scheduler) reservableWorkers(st *step, workers []*worker) []*worker {
	var list []*worker
	for _, w := range workers {
		if w.reservation == nil && s.schedulable(w) && !w.hasLastingRuns() && reservationOf(st).FitsIn(w.capacity) &&
			w.hasLabel(st.spec.GetLabel()) && s.adviserAllows(st, w) {
			list = append(list, w)
		}
	}
	return list
}

// stepTask is a task of a step.
type stepTask struct {
	step  *step
	index int32
}

// waitingIsolatedTasks returns the isolated tasks of a pool that can be placed now, by
// the time when their jobs were due; those of gangs are left out.
func (s *Scheduler) waitingIsolatedTasks(p *pool) []stepTask {
	var list []stepTask
	for _, j := range p.jobs {
		if !j.saved.HasCrashRecords() || s.mayRunOnUnreconciled(j) || j.relocating() {
			continue
		}
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				list = append(list, s.isolatedTasks(st)...)
			}
		}
	}
	slices.SortFunc(list, func(a, b stepTask) int {
		return cmp.Or(a.step.occurrence.dueAt.Compare(b.step.occurrence.dueAt),
			cmp.Compare(a.step.occurrence.job.id, b.step.occurrence.job.id),
			cmp.Compare(a.step.number, b.step.number), cmp.Compare(a.index, b.index))
	})
	return list
}

// isolatedTasks returns the isolated tasks of a step that can be placed now.
func (s *Scheduler) isolatedTasks(st *step) []stepTask {
	if !st.ready || st.spec.GetGang() {
		return nil
	}
	var list []stepTask
	for _, index := range st.pending {
		key := st.key(index)
		if _, placed := s.pendingPlacements[key]; !placed && s.treatment(st, index) == isolator.Isolated &&
			!s.fateUnknown(key) && s.withinAccountCeiling(st, 1) {
			list = append(list, stepTask{
				step:  st,
				index: index,
			})
		}
	}
	return list
}

// hasLastingRuns reports whether a long-running task is on the worker, which therefore
// does not become idle.
func (w *worker) hasLastingRuns() bool {
	for _, r := range w.runs {
		if r.step == nil || r.step.spec.GetLasting() {
			return true
		}
	}
	return false
}

func (w *worker) hasLabel(label string) bool {
	return label == "" || slices.Contains(w.info.GetLabels(), label)
}

// updateReservation releases a worker whose reservation has no use any more.
func (s *Scheduler) updateReservation(w *worker) {
	if w.reservation == nil {
		return
	}
	key := w.reservation.key
	st := s.findTaskStep(key)
	isolated := st != nil && s.treatment(st, key.index) == isolator.Isolated
	for running := range w.runs {
		if isolated && w.reservation.covers(running.taskKey) {
			return
		}
	}
	waiting := isolated && s.now.Before(w.reservation.until) && !st.occurrence.job.saved.Task(key.task()).Done && st.runs[key.index] == nil
	if !waiting {
		w.reservation = nil
		s.markPoolDirty(w.info.GetPool())
	}
}

// gangNeedsCare reports whether a gang has to run alone, and whether it has to wait for
// news of a worker, or for good because one of its tasks is given up.
func (s *Scheduler) gangNeedsCare(st *step) (alone, wait bool) {
	for _, index := range st.pending {
		alone = alone || s.treatment(st, index) == isolator.Isolated
		wait = wait || s.fateUnknown(st.key(index)) || s.treatment(st, index) == isolator.GivenUp
	}
	return alone, wait
}

// idleWorkers returns the workers without runs that are free for a gang.
func (s *Scheduler) idleWorkers(st *step, workers []*worker) []*worker {
	return slices.DeleteFunc(slices.Clone(workers), func(w *worker) bool {
		return len(w.runs) > 0 || !w.reservation.covers(st.key(0))
	})
}

// isolatedHosts returns how many hosts without other tasks the waiting isolated tasks
// of a job need.
func (s *Scheduler) isolatedHosts(j *job) int {
	if !j.saved.HasCrashRecords() {
		return 0
	}
	n := 0
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			for _, index := range st.pending {
				if st.ready && s.treatment(st, index) == isolator.Isolated {
					n++
				}
			}
		}
	}
	return n
}

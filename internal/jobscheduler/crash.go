package jobscheduler

import (
	"slices"
	"time"

	"github.com/heathermux/heathermux/internal/isolator"
	"github.com/heathermux/heathermux/internal/jobwire"
)

// A worker has crashed when its incarnation has ended without notice: another worker
// or a later incarnation answers at its address, it had not announced its end, and no
// order for its host explains it. Until that is known, a worker that doesn't answer may
// also be cut off or suspended.

const (
	// plannedEndMargin is how long after an order for its host a worker may still be
	// heard of.
	plannedEndMargin = 2 * time.Second
	// disconnectedFateTime is how long the tasks of a worker that has broken or refused
	// the connection wait, after the end of its lease, for news of a crash.
	disconnectedFateTime = 500 * time.Millisecond
	// batchFateTime and lastingFateTime are that time for tasks under which a worker
	// has crashed before, whatever the worker answers.
	batchFateTime   = 6 * time.Second
	lastingFateTime = 2 * time.Second
	// crashNewsTime is how long after the end of its lease a worker may be back under
	// another id for that to count as a crash under its runs: a worker that was silent
	// for longer may have been cut off first and have ended later.
	crashNewsTime = 10 * time.Second
	// disconnectedNewsTime is that time for a worker that has broken or refused the
	// connection, so that its process had ended: as long as it is known.
	disconnectedNewsTime = lapsedWorkerRetention
	// restoredNewsTime is that time after a change of leader, for runs whose start the
	// former leader may not have ordered.
	restoredNewsTime = 5 * time.Second
	// survivalTime is how long a long-running task runs after a crash before the
	// crash counts as one with another cause.
	survivalTime = 8 * time.Second
	// maxLoggedRuns bounds the runs that one log line names.
	maxLoggedRuns = 32
)

// RecordCrashes requests a log write of crashes of workers during runs of tasks; the
// outcome goes to CrashesRecorded.
type RecordCrashes struct {
	Crashes []*jobwire.TaskCrash
}

// RecordSurvival requests a log write that clears the crashes of a task before a run.
type RecordSurvival struct {
	Task *jobwire.Task
	Run  uint64
}

// noteLapsedRuns notes the given runs, which are given up because the lease of their
// worker has ended. Tasks that may have crashed it wait for news of the worker.
func (s *Scheduler) noteLapsedRuns(w *worker, runs []*run) {
	alone := w.runsAlone()
	for _, r := range runs {
		if r.step == nil || r.unsent {
			continue
		}
		w.lapsedRuns = append(w.lapsedRuns, s.lapse(w, r, alone))
		if wait := s.fateTime(r.step, r.key.index, w.disconnected()); wait > 0 {
			s.unknownFates[r.key.taskKey] = s.now.Add(wait)
		}
	}
}

// fateTime returns how long a task waits for news of a worker that it may have crashed,
// from the end of the lease there.
func (s *Scheduler) fateTime(st *step, index int32, disconnected bool) time.Duration {
	switch {
	case s.treatment(st, index) != isolator.Normal && st.spec.GetLasting():
		return lastingFateTime
	case s.treatment(st, index) != isolator.Normal:
		return batchFateTime
	case disconnected:
		return disconnectedFateTime
	}
	return 0
}

// lapsedRunsSettled forgets the lapsed runs of a worker whose fate is known.
func (s *Scheduler) lapsedRunsSettled(w *worker) {
	for _, r := range w.lapsedRuns {
		delete(s.unknownFates, r.key.taskKey)
		s.markPoolDirty(w.info.GetPool())
	}
	w.lapsedRuns = nil
}

// fateUnknown reports whether the task waits for news of a worker that it may have
// crashed, or that may still begin a run of it.
func (s *Scheduler) fateUnknown(key taskKey) bool {
	if s.startHeld(key) {
		return true
	}
	until, ok := s.unknownFates[key]
	if ok && !s.now.Before(until) {
		delete(s.unknownFates, key)
		return false
	}
	return ok
}

// workerEnded handles evidence that an incarnation of a worker has ended. If it has
// crashed, the crash counts for each task that it had. While a poll is in flight this
// waits for its answer, which may list the ends of runs.
func (s *Scheduler) workerEnded(w *worker, evidence endKind) {
	if w.endEvidence != endNone {
		return
	}
	w.endEvidence = evidence
	w.aloneAtEnd = w.runsAlone()
	if !w.pollInFlight {
		s.settleEndedWorker(w)
	}
}

// settleEndedWorker counts the crash of an incarnation that has ended.
func (s *Scheduler) settleEndedWorker(w *worker) {
	if w.endEvidence == endNone || w.endSettled {
		return
	}
	w.endSettled = true
	planned := s.plannedEnd(w)
	runs := w.lapsedRuns
	for _, r := range w.runs {
		if !r.unsent {
			runs = append(runs, s.lapse(w, r, w.aloneAtEnd))
		}
	}
	// A run that was given up long before is not what the worker has crashed under.
	runs = slices.DeleteFunc(runs, func(r lapsedRun) bool { return s.now.After(r.countsUntil) })
	s.lapsedRunsSettled(w)
	if planned != "" && len(runs) == 0 {
		return
	}
	suspects := markSuspects(runs)
	if w.endedWithAnother() {
		withoutCertainty(runs)
	}
	names := make([]string, 0, len(runs))
	for _, r := range runs[:min(len(runs), maxLoggedRuns)] {
		names = append(names, taskName(r.key.taskKey))
	}
	s.logger.Info("scheduler: incarnation of a worker has ended", "worker", w.info.GetId(), "born", w.info.GetBorn(),
		"evidence", w.endEvidence.String(), "planned", planned, "silent", s.now.Sub(w.heardAt), "runs", len(runs),
		"suspects", suspects, "others", len(w.endedWith), "tasks", names)
	if planned != "" {
		return
	}
	s.counters.WorkerCrashes++
	s.recordCrashes(runs)
}

// recordCrashes requests a log write of crashes. The tasks wait for it, so that none
// starts without its crash being counted.
func (s *Scheduler) recordCrashes(runs []lapsedRun) {
	var record RecordCrashes
	for _, r := range runs {
		st := s.findTaskStep(r.key.taskKey)
		if st == nil || st.occurrence.job.saved.Task(r.key.task()).Done {
			continue
		}
		s.unrecordedEnds[r.key.taskKey]++
		st.dequeue(r.key.index)
		record.Crashes = append(record.Crashes, &jobwire.TaskCrash{
			Task:      r.key.task(),
			Run:       r.key.number,
			Alone:     r.circumstances.Alone,
			Prompt:    r.circumstances.Prompt,
			Bystander: r.circumstances.Bystander,
			Suspects:  r.circumstances.Suspects,
			Begun:     r.circumstances.Begun,
			Others:    r.circumstances.Others,
			LivedMs:   r.circumstances.Lived.Milliseconds(),
		})
		s.logCrash(st, r)
	}
	if len(record.Crashes) > 0 {
		s.emit(record)
	}
}

// logCrash logs that a task is isolated or given up because of a crash.
func (s *Scheduler) logCrash(st *step, r lapsedRun) {
	crashes := st.occurrence.job.saved.Task(r.key.task()).Crashes.WithCrash(isolator.Crash{
		Run:           r.key.number,
		Circumstances: r.circumstances,
	})
	if crashes.Conclusive() {
		s.noteCrashingQueue(st.occurrence.job.saved.Spec.GetQueue())
	}
	switch crashes.Treatment() {
	case isolator.GivenUp:
		s.counters.GivenUp++
		s.logger.Info("scheduler: task is given up, because workers crash when they run it alone; its job fails unless long-running tasks of it are left",
			"task", taskName(r.key.taskKey), "run", r.key.number, "crashes", len(crashes.Crashes()))
	case isolator.Isolated:
		s.logger.Info("scheduler: task runs alone from now on, because workers have crashed that ran it",
			"task", taskName(r.key.taskKey), "run", r.key.number, "crashes", len(crashes.Crashes()),
			"alone", r.circumstances.Alone, "prompt", r.circumstances.Prompt, "suspects", r.circumstances.Suspects,
			"begun", r.circumstances.Begun)
	}
}

// CrashesRecorded handles the outcome of a RecordCrashes: they are in the log.
func (s *Scheduler) CrashesRecorded(a RecordCrashes) {
	for _, c := range a.Crashes {
		key := keyOf(c.GetTask())
		if s.unrecordedEnds[key]--; s.unrecordedEnds[key] <= 0 {
			delete(s.unrecordedEnds, key)
		}
		s.requeueIfNotRunning(key)
	}
}

// plannedEnd returns why the end of a worker is not a crash; empty if it is one.
func (s *Scheduler) plannedEnd(w *worker) string {
	switch {
	case w.shuttingDown:
		return "the worker has announced its end"
	case w.info.GetDraining():
		return "the worker was draining"
	}
	for name, m := range s.hosts.moves {
		if m.worker == w {
			return "its host " + name + " moves"
		}
	}
	for name, m := range s.hosts.maintenances {
		if m.worker == w && (m.orderInFlight || m.orderUnknown || m.orderAccepted) {
			return "its host " + name + " is in maintenance"
		}
	}
	for name, h := range s.hosts.known {
		order, ok := s.state.HostOrders[name]
		if ok && h.Worker == w.info.GetId() && order.At.Add(plannedEndMargin).After(w.heardAt) {
			return "an order for its host " + name + " was announced"
		}
	}
	return ""
}

// recordSurvival clears the crashes of the task of a long-running step that has run for long
// without another one.
func (s *Scheduler) recordSurvival(r *run) {
	if r.state != running || s.treatment(r.step, r.key.index) == isolator.Normal ||
		s.now.Sub(r.confirmedAt) <= survivalTime || s.now.Sub(r.survivalSentAt) <= survivalTime {
		return
	}
	r.survivalSentAt = s.now
	s.emit(RecordSurvival{
		Task: r.key.task(),
		Run:  r.key.number,
	})
}

// recordPlacements requests a log write that names the worker of each of its runs. A
// new leader would not know of them if the worker has crashed. Those on a worker that
// ends by plan are cleared in the replicated state.
func (s *Scheduler) recordPlacements(w *worker) {
	alone := w.runsAlone()
	var runs []lapsedRun
	for _, r := range w.runs {
		if r.step != nil && !r.unsent {
			runs = append(runs, s.lapse(w, r, alone))
		}
	}
	markSuspects(runs)
	if w.endedWithAnother() {
		withoutCertainty(runs)
	}
	for _, lapsed := range runs {
		r := w.runs[lapsed.key]
		if r.placementRecorded && !r.recorded.weakenedBy(lapsed.circumstances) {
			continue
		}
		r.placementRecorded, r.recorded = true, recordedEvidence(lapsed.circumstances)
		s.emit(RecordPlacement{
			Target:        w.target(),
			Task:          lapsed.key.task(),
			Run:           lapsed.key.number,
			Circumstances: lapsed.circumstances,
		})
	}
}

// restorePlacements takes over the runs whose placements a former leader has recorded
// and whose ends are not known. Such a run may be in progress, or may have crashed its
// worker while nobody led.
func (s *Scheduler) restorePlacements(j *job) {
	if !j.saved.HasCrashRecords() {
		return
	}
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			for i := range st.spec.GetTasks() {
				s.restorePlacement(st, i)
			}
		}
	}
}

func (s *Scheduler) restorePlacement(st *step, index int32) {
	key := st.key(index)
	progress := st.occurrence.job.saved.Task(key.task())
	s.restoreCrashingQueue(st.occurrence.job, progress.Crashes)
	placement := progress.Crashes.Placement()
	if progress.Done || placement.Run <= progress.Run {
		return
	}
	r := lapsedRun{
		key: runKey{
			taskKey: key,
			number:  placement.Run,
		},
		circumstances: placement.Circumstances,
		restored:      true,
		countsUntil:   s.now.Add(restoredNewsTime),
	}
	if w, ok := s.workers[placement.Worker]; ok && w.info.GetBorn() == placement.Born {
		w.lapsedRuns = append(w.lapsedRuns, r)
		s.unknownFates[key] = s.now.Add(s.formerLeaseBound() + s.fateTime(st, index, true))
		return
	}
	s.logger.Info("scheduler: worker of a run has ended while no host led; it counts as crashed",
		"task", taskName(key), "run", placement.Run, "worker", placement.Worker)
	s.recordCrashes([]lapsedRun{r})
}

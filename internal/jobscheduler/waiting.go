package jobscheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/heathermux/heathermux/internal/isolator"
)

// waitCause tells why a task that has a place is not at work.
type waitCause int

const (
	// waitNone means that no cause is known but a lack of room.
	waitNone waitCause = iota
	waitStartUnanswered
	waitStopUnconfirmed
	waitSilentWorker
	waitFormerStart
	waitEndUnrecorded
	waitCrashNews
	waitPlacement
	waitIsolation
	waitUnreconciled
	waitRelocation
	waitGang
	waitCeiling
	waitAdvice
)

// String returns the cause as log lines name it.
func (c waitCause) String() string {
	switch c {
	case waitNone:
		return "none"
	case waitStartUnanswered:
		return "start is not answered"
	case waitStopUnconfirmed:
		return "stop is not confirmed"
	case waitSilentWorker:
		return "worker does not answer"
	case waitFormerStart:
		return "start of a former leader may still be executed"
	case waitEndUnrecorded:
		return "end of a run is being written to the log"
	case waitCrashNews:
		return "no news of a worker that may have crashed"
	case waitPlacement:
		return "placement is not confirmed by log and worker"
	case waitIsolation:
		return "no worker without other tasks"
	case waitUnreconciled:
		return "worker has not reported to the new leader"
	case waitRelocation:
		return "job is being confined to another data centre"
	case waitGang:
		return "not all tasks of its gang can start"
	case waitCeiling:
		return "ceiling of its account"
	case waitAdvice:
		return "placement adviser"
	}
	return "unknown"
}

// wait is what a task waits for at one moment.
type wait struct {
	cause waitCause
	// worker is nil, and run is 0, where the cause has none.
	worker *worker
	run    uint64
	// ordered is true when the start of the run has been ordered.
	ordered bool
	// since is when the cause began, and until when it ends at the latest; zero if that is
	// not known.
	since time.Time
	until time.Time
	// lasting is true for a task of a long-running step.
	lasting bool
}

// waitScan finds the tasks that are not at work although they have a place. It looks at
// each task of the long-running steps, which serve users. Of the batch tasks, of which
// thousands may wait for room, it looks only at those that start, stop, have to run alone or
// wait for a log write, and at one for each step of a job that is being relocated.
type waitScan struct {
	scheduler *Scheduler
	waits     map[taskKey]wait
	// reserved holds the workers that are reserved, by task.
	reserved map[taskKey]*worker
	// unreconciled holds the results of unreconciledFor by pool, which is empty for jobs that wait
	// for all pools, and data centres.
	unreconciled map[[2]string]*worker
	// severalRuns is true when a task in waits has another run.
	severalRuns bool
}

// currentWaits returns what tasks wait for, by task.
func (s *Scheduler) currentWaits() map[taskKey]wait {
	c := &waitScan{
		scheduler:    s,
		waits:        make(map[taskKey]wait),
		reserved:     make(map[taskKey]*worker),
		unreconciled: make(map[[2]string]*worker),
	}
	for _, w := range s.workers {
		if w.reservation != nil {
			c.reserved[w.reservation.key] = w
		}
		c.addRuns(w)
	}
	for _, w := range s.removedWhilePolled {
		c.addRuns(w)
	}
	c.dropTasksAtWork()
	for key := range s.unrecordedEnds {
		c.addTask(key)
	}
	for key := range s.unknownFates {
		c.addTask(key)
	}
	for key := range s.pendingPlacements {
		c.addTask(key)
	}
	for key := range s.heldStarts {
		c.addTask(key)
	}
	for _, j := range s.jobs {
		c.addJob(j)
	}
	return c.waits
}

// addRuns adds the tasks of the runs on a worker that are not at work. Of several runs of a
// task the one with the highest number counts.
func (c *waitScan) addRuns(w *worker) {
	for key, r := range w.runs {
		if r.state == running && !w.unresponsive {
			continue
		}
		found := c.scheduler.waitOfRun(r)
		if found.cause == waitNone || !c.needsRun(key.taskKey, r.step) || c.waits[key.taskKey].run > key.number {
			continue
		}
		c.waits[key.taskKey] = found
		c.severalRuns = c.severalRuns || c.scheduler.liveRuns[key.taskKey] > 1
	}
}

// dropTasksAtWork removes the tasks of which another run is at work, as a copy or one that
// was started by a late order.
func (c *waitScan) dropTasksAtWork() {
	if !c.severalRuns {
		return
	}
	for _, w := range c.scheduler.workers {
		for key, r := range w.runs {
			if r.state == running && !w.unresponsive {
				delete(c.waits, key.taskKey)
			}
		}
	}
}

// addTask adds a task without a run.
func (c *waitScan) addTask(key taskKey) {
	if st := c.scheduler.findTaskStep(key); c.needsRun(key, st) {
		c.addTasks(st, []int32{key.index})
	}
}

func (c *waitScan) addJob(j *job) {
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			switch {
			case !st.ready || len(st.pending) == 0:
			case st.spec.GetLasting():
				c.addTasks(st, st.pending)
			case j.relocating():
				c.addTasks(st, st.pending[:1])
			case j.saved.HasCrashRecords():
				c.addTasks(st, slices.DeleteFunc(slices.Clone(st.pending), func(index int32) bool {
					return c.scheduler.treatment(st, index) != isolator.Isolated
				}))
			}
		}
	}
}

// needsRun reports whether a task of the step can start and is not done.
func (c *waitScan) needsRun(key taskKey, st *step) bool {
	return st != nil && st.ready && c.scheduler.findTaskStep(key) == st && !st.occurrence.job.saved.Task(key.task()).Done
}

// addTasks adds those of the given tasks of a step that have no run and a known cause.
func (c *waitScan) addTasks(st *step, indexes []int32) {
	if len(indexes) == 0 {
		return
	}
	ofStep := c.waitOfStep(st)
	for _, index := range indexes {
		key := st.key(index)
		if c.scheduler.liveRuns[key] > 0 {
			continue
		}
		found := c.waitOfTask(st, index, ofStep)
		if found.cause != waitNone {
			found.lasting = st.spec.GetLasting()
			c.waits[key] = found
		}
	}
}

// waitOfTask returns what a task without a run waits for, given what all tasks of its step
// wait for. A task that is given up waits for nothing: it does not start again.
func (c *waitScan) waitOfTask(st *step, index int32, ofStep wait) wait {
	s := c.scheduler
	key := st.key(index)
	treatment := s.treatment(st, index)
	if s.unrecordedEnds[key] > 0 {
		return wait{
			cause: waitEndUnrecorded,
		}
	}
	if treatment == isolator.GivenUp {
		return wait{}
	}
	if h, ok := s.heldStarts[key]; ok {
		return wait{
			cause:  waitFormerStart,
			worker: s.workers[h.worker],
			run:    h.run,
			since:  s.termStart,
			until:  h.until,
		}
	}
	if until, ok := s.unknownFates[key]; ok && s.now.Before(until) {
		return wait{
			cause: waitCrashNews,
			until: until,
		}
	}
	if p, ok := s.pendingPlacements[key]; ok && (ofStep.cause == waitNone || ofStep.cause == waitAdvice) {
		return wait{
			cause:  waitPlacement,
			worker: p.worker,
			run:    p.run,
			until:  p.until,
		}
	}
	if treatment == isolator.Isolated && ofStep.cause == waitNone {
		isolated := wait{
			cause: waitIsolation,
		}
		if w := c.reserved[key]; w != nil {
			isolated.worker, isolated.until = w, w.reservation.until
		}
		return isolated
	}
	return ofStep
}

// waitOfStep returns what all tasks of a step without runs wait for, in the order in which
// placePool checks it.
func (c *waitScan) waitOfStep(st *step) wait {
	s := c.scheduler
	j := st.occurrence.job
	if w := c.unreconciledFor(j); w != nil {
		found := wait{
			cause:  waitUnreconciled,
			worker: w,
			since:  s.termStart,
		}
		if !w.reconciled {
			found.until = w.reconcileBy
		}
		return found
	}
	cause := waitNone
	switch {
	case j.relocating():
		cause = waitRelocation
	case st.spec.GetGang() && len(st.pending) < int(st.spec.GetTasks()):
		cause = waitGang
	case !s.withinAccountCeiling(st, 1):
		cause = waitCeiling
	case s.queueOf(st).GetAdvised() && (s.adviceCalls.InFlight(st.key(0).StepKey) || s.adviceCalls.Waits(st.key(0).StepKey) || s.now.Before(st.advice.retryAt)):
		cause = waitAdvice
	}
	return wait{
		cause: cause,
	}
}

// unreconciledFor returns the unreconciled worker that may run tasks of the job for longest;
// nil if there is none.
func (c *waitScan) unreconciledFor(j *job) *worker {
	s := c.scheduler
	if !j.acceptedBeforeTerm || len(s.unreconciled) == 0 {
		return nil
	}
	inAllPools := s.mayHaveMoved(j)
	key := [2]string{j.pool.name, areaOf(j)}
	if inAllPools {
		key[0] = ""
	}
	if found, ok := c.unreconciled[key]; ok {
		return found
	}
	var last *worker
	for _, w := range s.unreconciled {
		if !inAllPools && w.info.GetPool() != j.pool.name || !j.mayRunIn(w.info.GetDataCentre()) {
			continue
		}
		if last == nil || cmp.Or(w.reconcileBy.Compare(last.reconcileBy), cmp.Compare(last.info.GetId(), w.info.GetId())) > 0 {
			last = w
		}
	}
	c.unreconciled[key] = last
	return last
}

// waitOfRun returns what the task of a run waits for if this run is not at work. Runs of
// batch tasks that are in progress as far as is known are left out: the failed poll of their
// worker has a line of its own.
func (s *Scheduler) waitOfRun(r *run) wait {
	lasting := r.step != nil && r.step.spec.GetLasting()
	cause, since := waitNone, time.Time{}
	switch {
	case r.state == starting, r.state == stopping && r.unanswered && !r.begun && s.mayBeAtWork(r):
		cause, since = waitStartUnanswered, r.orderedAt
	case r.worker.unresponsive && (lasting || r.state == stopping):
		cause, since = waitSilentWorker, latest(r.worker.heardAt, r.orderedAt)
	case r.state == stopping:
		cause = waitStopUnconfirmed
	default:
		return wait{}
	}
	return wait{
		cause:   cause,
		worker:  r.worker,
		run:     r.key.number,
		ordered: true,
		since:   since,
		until:   s.lostBy(r),
		lasting: lasting,
	}
}

// lostBy returns when expireLease counts a run as lost if its worker stays silent; zero if
// the worker answers.
func (s *Scheduler) lostBy(r *run) time.Time {
	w := r.worker
	if !w.unresponsive {
		return time.Time{}
	}
	by := w.leaseEnd
	switch {
	case r.unanswered:
		by = latest(by, r.copySentAt.Add(lateOrderTime))
	case r.begun && !r.begunHere:
		by = latest(by, r.confirmedAt.Add(s.leaseBound(s.settings.MaxLease)))
	}
	if s.unreconciled[w.info.GetId()] == w {
		by = latest(by, w.reconcileBy)
	}
	return by
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

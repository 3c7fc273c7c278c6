package jobscheduler

import (
	"slices"
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/jobkeeper"
	"github.com/heathermux/heathermux/internal/jobwire"
)

// The caller writes starts of long-running tasks to the log before it sends the orders, so that
// the next leader knows which starts may have been sent without an answer. Those of batch tasks
// follow only where the settings ask for it: they are many, and wait for the write. A later incarnation of a worker,
// whose fence begins anew, may execute them seconds later.

const (
	// lastCopyTime bounds the time from the log entry of a start to its last copy: the write
	// of the entry and maxStartAttempts copies, each sent when the one before has had no
	// answer.
	lastCopyTime = 5 * time.Second
	// begunRecordDelay is how long runs that have begun may wait for a log write that
	// records starts as well.
	begunRecordDelay = 200 * time.Millisecond
)

// heldStart is a start that a former leader has recorded and that its worker may still
// execute. The task doesn't start elsewhere before the given time.
type heldStart struct {
	run    uint64
	worker string
	until  time.Time
}

// holdRecordedStarts holds the tasks of an open job whose newest start may not have been
// executed yet. A run that has begun ends with the lease of its worker.
func (s *Scheduler) holdRecordedStarts(j *jobkeeper.Job) {
	for task, start := range j.RecordedStarts() {
		until := s.termStart.Add(lateOrderTime)
		if executed := s.state.StartRecordedBy(start).Add(lastCopyTime + lateOrderTime); executed.Before(until) {
			until = executed
		}
		if start.Begun || !s.now.Before(until) {
			continue
		}
		key := keyOf(task)
		s.heldStarts[key] = heldStart{
			run:    start.Run,
			worker: start.Worker,
			until:  until,
		}
		s.heldOn[start.Worker] = append(s.heldOn[start.Worker], key)
	}
}

// startHeld reports whether a start of the task by a former leader may still be executed.
func (s *Scheduler) startHeld(key taskKey) bool {
	_, ok := s.heldStarts[key]
	return ok
}

// expireHeldStarts ends the wait for starts of former leaders that can no longer be executed.
func (s *Scheduler) expireHeldStarts() {
	for key, h := range s.heldStarts {
		if s.now.Before(h.until) {
			continue
		}
		s.logger.Info("scheduler: start of a former leader can no longer be executed; its task may start again unless it is done",
			"task", taskName(key), "run", h.run, "worker", h.worker, "waited", s.now.Sub(s.termStart))
		delete(s.heldStarts, key)
		s.markAllPoolsDirty()
	}
}

// heldUse returns what an account has running once all held starts are executed.
func (s *Scheduler) heldUse(account string) controller.Amount {
	var use controller.Amount
	for key := range s.heldStarts {
		if st := s.findTaskStep(key); st != nil && st.occurrence.job.saved.Spec.GetAccount() == account {
			use = use.Plus(st.request)
		}
	}
	return use
}

// startHeldFor reports whether the task waits for this run on the worker.
func (s *Scheduler) startHeldFor(key runKey, w *worker) bool {
	h, ok := s.heldStarts[key.taskKey]
	return ok && h.run == key.number && h.worker == w.info.GetId()
}

// dropHeldStarts ends the wait for starts of former leaders on a worker: it has answered this
// leader, so it refuses them from now on, or another worker has its address. A later
// incarnation of it doesn't refuse them and has to be told to.
func (s *Scheduler) dropHeldStarts(w *worker) {
	id := w.info.GetId()
	if len(s.heldOn[id]) == 0 {
		return
	}
	for _, key := range s.heldOn[id] {
		if h, ok := s.heldStarts[key]; ok && h.worker == id {
			w.noteLateStart(runKey{
				taskKey: key,
				number:  h.run,
			}, s.termStart)
			delete(s.heldStarts, key)
		}
	}
	delete(s.heldOn, id)
	s.markAllPoolsDirty()
}

// HoldStarts notes that the caller writes the starts among the given actions to the log
// before it sends them; StartRecorded follows, or StartAnswered with StartNotSent. The
// worker can't crash under them meanwhile.
func (s *Scheduler) HoldStarts(actions []Action) {
	for _, action := range actions {
		a, ok := action.(Start)
		if !ok || !a.ToRecord {
			continue
		}
		if _, r := s.findRun(a.Target, a.Task, a.Run); r != nil {
			r.unsent = true
		}
	}
}

// StartRecorded handles the news that the log names the worker of a run, and reports
// whether its start is to be sent now. If not, the run is over: the caller reports
// StartNotSent.
func (s *Scheduler) StartRecorded(a Start) bool {
	w, r := s.findRun(a.Target, a.Task, a.Run)
	if r == nil || r.state != starting || w.unresponsive {
		return false
	}
	r.unsent = false
	r.sentAt, r.copySentAt = s.now, s.now
	return true
}

// noteBegun notes a run that this incarnation of its worker has begun, of a start that this
// leader has recorded. If the order had copies, one of them may still be executed; the next
// leader then learns from the age of the entry when it no longer may.
func (s *Scheduler) noteBegun(r *run) {
	if r.begunNoted || !r.begunHere || r.step == nil {
		return
	}
	r.begunNoted = true
	if r.mayBeginAfterRestart() || r.sentAt.IsZero() {
		return
	}
	start := r.step.occurrence.job.saved.Task(r.key.task()).Start
	if start == nil || start.Run != r.key.number || start.Begun {
		return
	}
	if len(s.begunRuns) == 0 {
		s.begunSince = s.now
	}
	s.begunRuns = append(s.begunRuns, r)
}

// recordBegunRuns requests the log write of begun runs, with the starts of this pass if there
// are any. Runs that have ended meanwhile are left out.
func (s *Scheduler) recordBegunRuns() {
	if len(s.begunRuns) == 0 || !s.startsEmitted() && s.now.Sub(s.begunSince) < begunRecordDelay {
		return
	}
	var record RecordBegun
	for _, r := range s.begunRuns {
		if r.worker.runs[r.key] != r {
			continue
		}
		record.Runs = append(record.Runs, &jobwire.BegunRun{
			Task: r.key.task(),
			Run:  r.key.number,
		})
	}
	s.begunRuns = nil
	if len(record.Runs) > 0 {
		s.emit(record)
	}
}

func (s *Scheduler) startsEmitted() bool {
	return slices.ContainsFunc(s.actions, func(a Action) bool {
		start, ok := a.(Start)
		return ok && start.ToRecord
	})
}

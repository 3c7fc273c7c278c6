package runner

import (
	"maps"
	"slices"
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/wire"
)

// accept records a task that was ordered to start. It ignores a task that the
// polls report as running or ended. A task that this incarnation has started
// before is refused, so that an idempotent one is tried on another worker.
func (r *Runner) accept(task *wire.Task, epoch uint64, startBy time.Time) {
	id := task.GetId()
	if _, ended := r.ended[id]; ended || r.running[id] != nil {
		return
	}
	if r.started.has(id) {
		r.ended[id] = endedTask{
			report: repeatRefusal(task),
		}
		return
	}
	r.running[id] = &activeTask{
		task:    task,
		epoch:   epoch,
		startBy: startBy,
	}
}

func repeatRefusal(task *wire.Task) *wire.EndedTask {
	e := &wire.EndedTask{
		Task:   task.GetId(),
		State:  wire.TaskState_TASK_STATE_UNKNOWN,
		Reason: "its worker has run it before",
	}
	if task.GetIdempotent() {
		e.State = wire.TaskState_TASK_STATE_FAILED
	}
	return e
}

// startWaiting starts the accepted tasks for which memory and accelerators are
// free, and returns those that have waited too long to the scheduler. It reads
// the clock before each start, because the process may have been suspended.
func (r *Runner) startWaiting(time.Time) {
	for _, id := range slices.Sorted(maps.Keys(r.running)) {
		run := r.running[id]
		if !run.startedAt.IsZero() {
			continue
		}
		now := r.opts.Clock.Now()
		if !now.Before(run.startBy) || !now.Before(r.leaseUntil) {
			r.recordEnd(id, &wire.EndedTask{
				Task:   id,
				State:  wire.TaskState_TASK_STATE_QUEUED,
				Reason: "it was not started in time",
			})
			continue
		}
		if r.hasCapacity(run) {
			r.start(now, id, run)
		}
	}
}

// hasCapacity reports whether there are enough free memory and accelerators for the
// task. Processors may be over-committed for a moment, while throttled tasks end.
func (r *Runner) hasCapacity(next *activeTask) bool {
	free := r.capacity().Minus(controller.AmountOf(next.task.GetSize()))
	for _, run := range r.running {
		if !run.startedAt.IsZero() {
			free = free.Minus(controller.AmountOf(run.task.GetSize()))
		}
	}
	return free.MemoryBytes >= 0 && free.Accelerators >= 0
}

func (r *Runner) start(now time.Time, id string, run *activeTask) {
	run.startedAt = now
	r.started.add(now, id)
	if err := r.opts.Executor.Start(run.task); err != nil {
		r.recordEnd(id, &wire.EndedTask{
			Task:   id,
			State:  wire.TaskState_TASK_STATE_FAILED,
			Reason: err.Error(),
		})
	}
}

// collectEnded records the tasks that have ended by themselves.
func (r *Runner) collectEnded(now time.Time) {
	for _, e := range r.opts.Executor.Ended() {
		run := r.running[e.GetTask()]
		if run == nil {
			continue
		}
		if e.GetRunNanos() == 0 {
			e.RunNanos = int64(now.Sub(run.startedAt))
		}
		r.recordEnd(e.GetTask(), e)
	}
}

func (r *Runner) recordEnd(id string, e *wire.EndedTask) {
	run := r.running[id]
	endedByItself := e.GetState() == wire.TaskState_TASK_STATE_SUCCEEDED || e.GetState() == wire.TaskState_TASK_STATE_FAILED
	delete(r.running, id)
	r.ended[id] = endedTask{
		report:     e,
		mayRestart: run.startedAt.IsZero() || (run.task.GetIdempotent() && !endedByItself),
	}
}

// stop ends a task and keeps its report until it is acknowledged. A task that was
// not started yet is returned to the scheduler.
func (r *Runner) stop(id, reason string) {
	run := r.running[id]
	if run == nil {
		return
	}
	e := &wire.EndedTask{
		Task:   id,
		State:  wire.TaskState_TASK_STATE_QUEUED,
		Reason: reason,
	}
	if !run.startedAt.IsZero() {
		r.opts.Executor.Stop(id)
		e.State = wire.TaskState_TASK_STATE_STOPPED
	}
	r.recordEnd(id, e)
}

func (r *Runner) stopAll(reason string) {
	for _, id := range slices.Sorted(maps.Keys(r.running)) {
		r.stop(id, reason)
	}
}

// acknowledge removes the report of an ended task that the scheduler has recorded.
// A task that may be restarted is accepted by this worker again; any other one is
// refused for restartBarPeriod.
func (r *Runner) acknowledge(now time.Time, id string) {
	e, ok := r.ended[id]
	if !ok {
		return
	}
	delete(r.ended, id)
	if e.mayRestart {
		r.started.allowRestart(id)
	} else {
		r.started.barRestart(now, id)
	}
}

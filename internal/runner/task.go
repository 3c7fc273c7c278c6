package runner

import (
	"maps"
	"slices"
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/wire"
)

// accept takes a start order. A task that is in the reports is passed over.
// One that this incarnation has run before is handed back, so that it is tried
// elsewhere if it may run twice.
func (r *Runner) accept(task *wire.Task, epoch uint64, startBy time.Time) {
	id := task.GetId()
	if _, ended := r.ended[id]; ended || r.running[id] != nil {
		return
	}
	if r.seen.has(id) {
		r.ended[id] = ending{
			report: refusedRepeat(task),
		}
		return
	}
	r.running[id] = &run{
		task:    task,
		epoch:   epoch,
		startBy: startBy,
	}
}

func refusedRepeat(task *wire.Task) *wire.EndedTask {
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

// startWaiting starts accepted tasks for which there is memory and
// accelerators, and hands back those that waited too long. The clock is read
// before each start, because the process may have been frozen.
func (r *Runner) startWaiting(time.Time) {
	for _, id := range slices.Sorted(maps.Keys(r.running)) {
		run := r.running[id]
		if !run.startedAt.IsZero() {
			continue
		}
		now := r.opts.Clock.Now()
		if !now.Before(run.startBy) || !now.Before(r.leaseUntil) {
			r.end(id, &wire.EndedTask{
				Task:   id,
				State:  wire.TaskState_TASK_STATE_QUEUED,
				Reason: "it was not started in time",
			})
			continue
		}
		if r.hasRoom(run) {
			r.start(now, id, run)
		}
	}
}

// hasRoom reports whether memory and accelerators are free. Processors may be
// over-committed for a moment, while throttled tasks end.
func (r *Runner) hasRoom(next *run) bool {
	free := r.capacity().Minus(controller.AmountOf(next.task.GetSize()))
	for _, run := range r.running {
		if !run.startedAt.IsZero() {
			free = free.Minus(controller.AmountOf(run.task.GetSize()))
		}
	}
	return free.MemoryBytes >= 0 && free.Accelerators >= 0
}

func (r *Runner) start(now time.Time, id string, run *run) {
	run.startedAt = now
	r.seen.add(now, id)
	if err := r.opts.Executor.Start(run.task); err != nil {
		r.end(id, &wire.EndedTask{
			Task:   id,
			State:  wire.TaskState_TASK_STATE_FAILED,
			Reason: err.Error(),
		})
	}
}

// collect takes in the tasks that ended by themselves.
func (r *Runner) collect(now time.Time) {
	for _, e := range r.opts.Executor.Ended() {
		run := r.running[e.GetTask()]
		if run == nil {
			continue
		}
		if e.GetRunNanos() == 0 {
			e.RunNanos = int64(now.Sub(run.startedAt))
		}
		r.end(e.GetTask(), e)
	}
}

func (r *Runner) end(id string, e *wire.EndedTask) {
	run := r.running[id]
	own := e.GetState() == wire.TaskState_TASK_STATE_SUCCEEDED || e.GetState() == wire.TaskState_TASK_STATE_FAILED
	delete(r.running, id)
	r.ended[id] = ending{
		report:    e,
		mayReturn: run.startedAt.IsZero() || (run.task.GetIdempotent() && !own),
	}
}

// stop ends a task and keeps its report.
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
	r.end(id, e)
}

func (r *Runner) stopAll(reason string) {
	for _, id := range slices.Sorted(maps.Keys(r.running)) {
		r.stop(id, reason)
	}
}

// acknowledge drops the report of an ended task that the scheduler has
// recorded. An idempotent task that was put off, or never started, may come
// back to this worker; any other stays barred.
func (r *Runner) acknowledge(now time.Time, id string) {
	e, ok := r.ended[id]
	if !ok {
		return
	}
	delete(r.ended, id)
	if e.mayReturn {
		r.seen.release(id)
	} else {
		r.seen.bar(now, id)
	}
}

package scheduler

import (
	"slices"
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/wire"
)

// A worker may report less capacity than its host has, for example while another program
// uses a part of it. Tasks that no longer fit leave it: those that were not started are
// assigned anew, idempotent ones are checkpointed and start elsewhere, and others, which
// may not start again, are throttled.

// shrunk reports whether the worker has less capacity than its host, and too little for
// its tasks.
func (w *worker) shrunk() bool {
	return !controller.AmountOf(w.host.GetCapacity()).FitsIn(w.capacity) && w.free().Negative()
}

// relieve makes the newest tasks of a worker leave until the others fit, urgent ones
// last. Tasks that are about to leave already count as gone.
func (s *Scheduler) relieve(now time.Time, w *worker) []Action {
	if !w.shrunk() {
		return nil
	}
	leaving := controller.Amount{}
	for _, t := range w.tasks {
		if t.preempted || t.cancelled {
			leaving = leaving.Plus(t.preemptible())
		}
	}
	var actions []Action
	for _, t := range w.tasksToRelieve() {
		if !w.free().Plus(leaving).Negative() {
			break
		}
		if !t.startSent {
			actions = append(actions, s.requeue(now, t, "worker "+w.name+" has become smaller"))
			continue
		}
		t.preempted = true
		leaving = leaving.Plus(t.preemptible())
	}
	return actions
}

// tasksToRelieve returns the tasks that may leave the worker, in the order in which they
// do.
func (w *worker) tasksToRelieve() []*task {
	var normal, urgent []*task
	for _, t := range w.tasksByAcceptance() {
		switch {
		case t.preempted || t.cancelled || t.state != wire.TaskState_TASK_STATE_RUNNING:
		case t.spec.GetUrgent():
			urgent = append(urgent, t)
		default:
			normal = append(normal, t)
		}
	}
	slices.Reverse(normal)
	slices.Reverse(urgent)
	return append(normal, urgent...)
}

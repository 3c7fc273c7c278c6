package scheduler

import (
	"container/heap"
	"fmt"
	"slices"
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/wire"
)

func (s *Scheduler) submit(now time.Time, spec *wire.Task, moved bool) []Action {
	if !s.rebuilt {
		return refused(retryAfter, "the scheduler of %s is being rebuilt", s.opts.DataCentre)
	}
	if t, ok := s.tasks[spec.GetId()]; ok {
		if t.movingTo != "" && moved {
			return refused(retryAfter, "the task was handed over by %s before", s.opts.DataCentre)
		}
		return s.answered(now, t)
	}
	if moved && !s.control.inService() {
		return refused(retryAfter, "%s is out of service", s.opts.DataCentre)
	}
	if refusal := s.checkAdmission(spec); refusal != nil {
		return refusal
	}
	t := s.newTask(spec, now)
	s.enqueue(t, false)
	return s.answered(now, t)
}

func (s *Scheduler) answered(now time.Time, t *task) []Action {
	return []Action{
		Answered{
			Status: s.status(now, t),
		},
	}
}

func refused(after time.Duration, format string, args ...any) []Action {
	return []Action{
		Refused{
			Reason:     fmt.Sprintf(format, args...),
			RetryAfter: after,
		},
	}
}

// checkAdmission returns the refusal of a task that must not be accepted, or nil.
func (s *Scheduler) checkAdmission(spec *wire.Task) []Action {
	queue, ok := s.control.state.Queue(spec.GetQueue())
	if !ok || queue.GetKind() != wire.QueueKind_QUEUE_KIND_TASKS {
		return refused(0, "queue %q takes no tasks", spec.GetQueue())
	}
	ref, ok := s.control.state.Team(spec.GetTeam())
	if !ok {
		return refused(0, "team %q is not known", spec.GetTeam())
	}
	if !queue.GetOpen() && !slices.Contains(ref.Team.GetQueues(), spec.GetQueue()) {
		return refused(0, "team %q may not use queue %q", spec.GetTeam(), spec.GetQueue())
	}
	if maxTasks := s.opts.MaxTasks; maxTasks > 0 && len(s.tasks) >= maxTasks {
		return refused(retryAfter, "%s holds %d tasks, as many as it may", s.opts.DataCentre, maxTasks)
	}
	if a := s.accounts[spec.GetTeam()]; a != nil && a.queuedTasks >= MaxQueuedPerTeam {
		return refused(retryAfter, "team %q has %d tasks queued", spec.GetTeam(), MaxQueuedPerTeam)
	}
	return s.checkSize(spec, queue.GetPool(), controller.AmountOf(ref.Team.GetLimit()))
}

// checkSize returns the refusal of a task that could never run, or nil. It checks
// the estimate learned from earlier tasks if that fits a host of the pool, because
// declared sizes are often far too large, and else the declared size.
func (s *Scheduler) checkSize(spec *wire.Task, pool string, limit controller.Amount) []Action {
	declared := controller.AmountOf(spec.GetSize())
	if declared.Negative() || spec.GetDeadlineNanos() < 0 {
		return refused(0, "the size or deadline is negative")
	}
	if declared == (controller.Amount{}) {
		return refused(0, "the size is missing")
	}
	size := s.estimates.Estimate(estimatorKey(spec), declared, 0).Size
	if !s.control.fitsSomeHost(pool, size) {
		size = declared
	}
	if !size.FitsIn(limit) {
		return refused(0, "the size is above the limit of team %q", spec.GetTeam())
	}
	if len(s.control.hostSizes[pool]) == 0 {
		return refused(retryAfter, "pool %q has no host in %s", pool, s.opts.DataCentre)
	}
	if !s.control.fitsSomeHost(pool, size) {
		return refused(0, "no host of pool %q in %s is large enough", pool, s.opts.DataCentre)
	}
	return nil
}

// cancel ends at once a task whose start has not been sent, and marks a started one
// to be stopped by its worker. For a task that is being or was transferred it only
// returns the status, which names the other data centre.
func (s *Scheduler) cancel(now time.Time, e Cancel) []Action {
	t, ok := s.tasks[e.ID]
	if !ok || t.spec.GetTeam() != e.Team {
		return nil
	}
	if t.movingTo != "" {
		return s.answered(now, t)
	}
	var actions []Action
	switch t.state {
	case wire.TaskState_TASK_STATE_QUEUED:
		actions = append(actions, s.finish(now, t, wire.TaskState_TASK_STATE_CANCELLED, ""))
	case wire.TaskState_TASK_STATE_RUNNING:
		if t.startSent {
			t.cancelled = true
			s.recordChange(t)
		} else {
			actions = append(actions, s.finish(now, t, wire.TaskState_TASK_STATE_CANCELLED, ""))
		}
	}
	return append(actions, s.answered(now, t)...)
}

// trackDeadline schedules the check of the task's deadline, if it has one.
func (s *Scheduler) trackDeadline(t *task) {
	if t.spec.GetDeadlineNanos() > 0 {
		heap.Push(&s.deadlines, deadline{
			task: t,
			at:   t.acceptedAt.Add(time.Duration(t.spec.GetDeadlineNanos())),
		})
	}
}

// stopOverdue stops the queued tasks whose deadline has passed. Running tasks
// continue, because stopping one half-way would waste the work done and leave its
// side effects.
func (s *Scheduler) stopOverdue(now time.Time) []Action {
	var actions []Action
	for len(s.deadlines) > 0 && !s.deadlines[0].at.After(now) {
		t := heap.Pop(&s.deadlines).(deadline).task
		if t.state == wire.TaskState_TASK_STATE_QUEUED && t.movingTo == "" {
			actions = append(actions, s.finish(now, t, wire.TaskState_TASK_STATE_STOPPED, "it was not started before its deadline"))
		}
	}
	return actions
}

type deadline struct {
	task *task
	at   time.Time
}

type deadlineHeap []deadline

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h deadlineHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) { *h = append(*h, x.(deadline)) }

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	last := len(*h) - 1
	d := (*h)[last]
	(*h)[last] = deadline{}
	*h = (*h)[:last]
	return d
}

package scheduler

import (
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/isolator"
	"github.com/heathermux/heathermux/internal/wire"
)

// task is a task that the scheduler knows, from its acceptance until it is purged.
type task struct {
	spec    *wire.Task
	account *account
	kind    *taskKind
	state   wire.TaskState
	// Invariant: set if and only if the state is running.
	worker *worker
	// lastWorker and incarnation identify the worker process that the task was
	// last assigned to.
	lastWorker  string
	incarnation string
	reason      string
	attempts    int64
	// pool is the pool that its queue had when the task was queued.
	pool string
	// grant is the estimated size while the task is queued, and the size that it
	// was assigned with while it runs.
	grant controller.Amount
	used  controller.Amount
	// movingTo is the data centre that the task is transferred to. The task stays
	// in the state queued, outside the class queues, until it is purged.
	movingTo string
	// number orders tasks by acceptance; see Scheduler.lastNumber.
	number     uint64
	acceptedAt time.Time
	endedAt    time.Time
	// lastChange is the number of the task's last change; see changeLog.
	lastChange uint64
	// startSequence is the sequence of the poll whose response carried the start.
	startSequence uint64
	// failedOn lists the workers on which it failed, each once.
	failedOn []string
	// crashes holds the crashes of workers that ran it; nil without any.
	crashes *isolator.Record

	flags
}

// flags are the conditions of a task. All but dirty, queued and uncertain matter
// only while it runs.
type flags struct {
	// dirty: the last change has not been taken by TakeChanges.
	dirty bool
	// queued: the task is in a class queue and counted in its account.
	queued bool
	// startSent: a response with the start may have reached the worker.
	startSent bool
	// confirmed: the worker has reported the task as running.
	confirmed bool
	// uncertain: only a former scheduler may have recorded the end of the task,
	// and only the worker knows whether it ran. For a task that is being
	// transferred: the other data centre may hold it.
	uncertain bool
	// measured: used is from a report made UsageLag or more after the start.
	measured bool
	// cancelled: the worker is to stop the task.
	cancelled bool
	// evacuating: the worker is to checkpoint the task if it is idempotent,
	// because no task may start on its host any more.
	evacuating bool
	// preempted: the worker is to throttle the task in favour of an urgent one,
	// and to checkpoint it if it is idempotent.
	preempted bool
}

// final reports whether a state is final, so that the task does not run again.
func final(state wire.TaskState) bool {
	switch state {
	case wire.TaskState_TASK_STATE_UNSPECIFIED, wire.TaskState_TASK_STATE_QUEUED, wire.TaskState_TASK_STATE_RUNNING:
		return false
	default:
		return true
	}
}

// cost is what the task is charged to its worker and its team's allotment: for
// each resource the larger of its grant and its usage.
func (t *task) cost() controller.Amount {
	return controller.Amount{
		MilliCores:   max(t.grant.MilliCores, t.used.MilliCores),
		MemoryBytes:  max(t.grant.MemoryBytes, t.used.MemoryBytes),
		Accelerators: max(t.grant.Accelerators, t.used.Accelerators),
	}
}

// preemptible is what becomes free when the task is preempted. Throttling frees only
// cores. A checkpoint frees memory and accelerators too, but is used only on idempotent
// tasks, because they may be started again.
func (t *task) preemptible() controller.Amount {
	freed := t.cost()
	if t.spec.GetIdempotent() {
		return freed
	}
	return controller.Amount{
		MilliCores: freed.MilliCores,
	}
}

// usage is what counts towards its team's share: the grant until a report made
// UsageLag after the start is in, then the reported usage.
func (t *task) usage() controller.Amount {
	if t.measured {
		return t.used
	}
	return t.grant
}

func (t *task) failedOnWorker(name string) bool {
	for _, failed := range t.failedOn {
		if failed == name {
			return true
		}
	}
	return false
}

func (s *Scheduler) status(now time.Time, t *task) *wire.TaskStatus {
	dataCentre := s.opts.DataCentre
	if t.movingTo != "" {
		dataCentre = t.movingTo
	}
	status := &wire.TaskStatus{
		Task:        t.spec,
		State:       t.state,
		Worker:      t.lastWorker,
		Reason:      t.reason,
		Attempts:    t.attempts,
		DataCentre:  dataCentre,
		Incarnation: t.incarnation,
		AgeNanos:    int64(now.Sub(t.acceptedAt)),
		Crashes:     wireCrashes(t.crashes),
	}
	if t.state == wire.TaskState_TASK_STATE_RUNNING {
		status.Granted = t.grant.Wire()
		status.Cancelled = t.cancelled
	}
	return status
}

// withoutPayload returns a copy of the task without its payload, to save memory.
func withoutPayload(spec *wire.Task) *wire.Task {
	return &wire.Task{
		Id:             spec.GetId(),
		Team:           spec.GetTeam(),
		Queue:          spec.GetQueue(),
		Size:           spec.GetSize(),
		DeadlineNanos:  spec.GetDeadlineNanos(),
		Idempotent:     spec.GetIdempotent(),
		Urgent:         spec.GetUrgent(),
		IdempotencyKey: spec.GetIdempotencyKey(),
		RunTimeNanos:   spec.GetRunTimeNanos(),
	}
}

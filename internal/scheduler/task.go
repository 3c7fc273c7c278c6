package scheduler

import (
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/wire"
)

// task is one accepted task.
type task struct {
	spec    *wire.Task
	account *account
	kind    *kind
	state   wire.TaskState
	// worker is set exactly while the state is running.
	worker *worker
	// ranOn and incarnation name the worker that it was last assigned to.
	ranOn       string
	incarnation string
	reason      string
	attempts    int64
	// pool is that of its queue when it was queued.
	pool string
	// grant is the estimated size while it is queued, and the size that it was
	// assigned with while it runs.
	grant controller.Amount
	used  controller.Amount
	// movingTo is the data centre that the task is handed to; it stays queued
	// here, outside the class queues, until it is forgotten.
	movingTo string
	// number orders tasks by acceptance.
	number     uint64
	acceptedAt time.Time
	endedAt    time.Time
	// change is the number of the last change; see changeLog.
	change uint64
	// sequence is that of the poll whose response carried the start.
	sequence uint64
	// failedOn lists the different workers on which it failed.
	failedOn []string

	flags
}

// flags are the conditions of a task; all but dirty and queued matter only
// while it runs.
type flags struct {
	// dirty: the last change has not been handed to the copy holder.
	dirty bool
	// queued: an entry of a class queue refers to the task and it is counted.
	queued bool
	// handedOut: a response with the start may have reached the worker.
	handedOut bool
	// confirmed: the worker has reported it as running.
	confirmed bool
	// doubtful: its end may be recorded by a former scheduler only, and the
	// worker knows whether it ran. Of a task that is being handed over: the
	// other data centre may hold it.
	doubtful bool
	// measured: used is from a report younger than the start.
	measured bool
	// cancelled: the worker is to stop it.
	cancelled bool
	// leaving: the worker is to checkpoint it, as its host or zone leaves.
	leaving bool
	// yielding: the worker is to throttle it in favour of urgent work.
	yielding bool
}

// final reports whether a state is one that a task keeps.
func final(state wire.TaskState) bool {
	switch state {
	case wire.TaskState_TASK_STATE_UNSPECIFIED, wire.TaskState_TASK_STATE_QUEUED, wire.TaskState_TASK_STATE_RUNNING:
		return false
	default:
		return true
	}
}

// cost is what the task holds of its worker and its team's allotment: its
// grant, or its use where that is larger.
func (t *task) cost() controller.Amount {
	return controller.Amount{
		MilliCores:   max(t.grant.MilliCores, t.used.MilliCores),
		MemoryBytes:  max(t.grant.MemoryBytes, t.used.MemoryBytes),
		Accelerators: max(t.grant.Accelerators, t.used.Accelerators),
	}
}

// usage is what counts for its team's share: the estimated size until a
// report younger than the start is in, then what it really uses.
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
		Worker:      t.ranOn,
		Reason:      t.reason,
		Attempts:    t.attempts,
		DataCentre:  dataCentre,
		Incarnation: t.incarnation,
		AgeNanos:    int64(now.Sub(t.acceptedAt)),
	}
	if t.state == wire.TaskState_TASK_STATE_RUNNING {
		status.Granted = t.grant.Wire()
		status.Cancelled = t.cancelled
	}
	return status
}

// withoutPayload returns a copy of the task that is cheap to keep.
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

package scheduler

import (
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/wire"
)

// Event is an input of Scheduler.Step.
type Event interface{ event() }

// ControlStateUpdate replaces the control state by a newer revision.
type ControlStateUpdate struct{ State controller.State }

// Submit asks to accept a task. Its ID must be set; if a task with this ID is
// known, the status of that task is returned.
type Submit struct {
	Task *wire.Task
	// Moved is true when another data centre transfers the task to this one.
	Moved bool
}

// Cancel asks to cancel a task of the team.
type Cancel struct {
	ID   string
	Team string
}

// Poll is the periodic report of one worker; the response carries its orders.
type Poll struct {
	Poll *wire.WorkerPoll
	// MayStart is false while the scheduler holds no authority lease and so must
	// not start tasks.
	MayStart bool
}

// Adopt restores the tasks of a former scheduler from one replica.
type Adopt struct {
	Tasks []*wire.TaskStatus
	// Stale is true when a newer replica existed and is lost. A non-idempotent
	// task from a stale replica may have run since.
	Stale bool
	// Partial is true when the former scheduler may have recorded ends of
	// tasks that none of the fetched replicas contains.
	Partial bool
	// UnpolledLeaseUntil is when every lease has ended that a former scheduler may
	// have given to a worker which has not polled since. The tasks of such a
	// worker count as running until then.
	UnpolledLeaseUntil time.Time
}

// Rebuilt reports that every reachable replica has been adopted. From then on
// the scheduler accepts and starts tasks.
type Rebuilt struct{}

// Move marks queued tasks for transfer to another data centre while this one is
// out of service. Marked tasks are not started here.
type Move struct {
	To string
	// Max bounds the number of unanswered transfers.
	Max int
	// Fits reports whether the other data centre may run the task.
	Fits func(*wire.Task) bool
}

// Moved reports that the other data centre has accepted the task.
type Moved struct{ ID string }

// MoveRefused reports that the other data centre did not accept the task when it
// was offered. The task returns to its queue, unless the outcome of an earlier
// offer is unknown.
type MoveRefused struct{ ID string }

// MoveUnknown reports that the outcome of an offer is unknown: the other data
// centre may hold the task.
type MoveUnknown struct{ ID string }

// Pass runs the periodic work: expiry of leases, deadlines and ended tasks, and
// placement of queued tasks.
type Pass struct {
	// MayStart is false while the scheduler holds no authority lease and so must
	// not place tasks.
	MayStart bool
}

func (ControlStateUpdate) event() {}
func (Submit) event()             {}
func (Cancel) event()             {}
func (Poll) event()               {}
func (Adopt) event()              {}
func (Rebuilt) event()            {}
func (Pass) event()               {}
func (Move) event()               {}
func (Moved) event()              {}
func (MoveRefused) event()        {}
func (MoveUnknown) event()        {}

// Action is an output of Scheduler.Step.
type Action interface{ action() }

// Answered is the response to a Submit or Cancel: the status of the task.
type Answered struct{ Status *wire.TaskStatus }

// Refused reports that a submitted task was not accepted.
type Refused struct {
	Reason string
	// RetryAfter is 0 when a retry would be refused too.
	RetryAfter time.Duration
}

// Ordered is the response to a worker's poll.
type Ordered struct {
	Worker string
	Orders *wire.WorkerOrders
}

// Assigned reports that a task was placed on a worker.
type Assigned struct {
	Task   string
	Worker string
	Size   controller.Amount
}

// Requeued reports that a task went back to its queue.
type Requeued struct {
	Task   string
	Reason string
}

// Ended reports that a task reached a final state.
type Ended struct {
	Task   string
	State  wire.TaskState
	Reason string
}

// Quarantined reports that a worker gets no tasks for the given time, because of
// repeated failures.
type Quarantined struct {
	Worker string
	For    time.Duration
}

func (Answered) action()    {}
func (Refused) action()     {}
func (Ordered) action()     {}
func (Assigned) action()    {}
func (Requeued) action()    {}
func (Ended) action()       {}
func (Quarantined) action() {}

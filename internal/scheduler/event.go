package scheduler

import (
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/wire"
)

// Event is something that a Scheduler takes in by Step.
type Event interface{ event() }

// Facts carries a newer control state.
type Facts struct{ State controller.State }

// Submit asks to accept a task. The ID is set; a known ID returns the status
// of the first task.
type Submit struct {
	Task *wire.Task
	// Moved is true when another data centre hands the task over.
	Moved bool
}

// Cancel asks to end a task of the team.
type Cancel struct {
	ID   string
	Team string
}

// Poll is the report of one worker.
type Poll struct {
	Poll *wire.WorkerPoll
	// Starts is false while no authority lease allows to start tasks.
	Starts bool
}

// Adopt takes over the tasks of a former scheduler from one copy.
type Adopt struct {
	Tasks []*wire.TaskStatus
	// Stale is true when a newer copy existed and is lost. A non-idempotent
	// task from a stale copy may have run since.
	Stale bool
	// Partial is true when the former scheduler may have recorded ends of
	// tasks that no fetched copy shows.
	Partial bool
	// UnheardUntil is when the lease that a former scheduler may have given to
	// a worker which has not polled yet has ended. Its tasks count until then.
	UnheardUntil time.Time
}

// Rebuilt states that all copies that can be reached were adopted.
type Rebuilt struct{}

// Move marks queued tasks for a hand-over to another data centre, while this
// one is out of service. They do not start here any more.
type Move struct {
	To string
	// Max bounds the hand-overs that are under way.
	Max int
	// Fits reports whether the other data centre may run the task.
	Fits func(*wire.Task) bool
}

// Moved states that the other data centre holds the task.
type Moved struct{ ID string }

// MoveRefused states that the other data centre did not take the task from
// this offer. The task returns to its queue unless an earlier offer is unknown.
type MoveRefused struct{ ID string }

// MoveUnknown states that the other data centre may hold the task.
type MoveUnknown struct{ ID string }

// Pass runs the periodic work: expiry, withdrawal and placement.
type Pass struct {
	// Starts is false while no authority lease allows to start tasks.
	Starts bool
}

func (Facts) event()       {}
func (Submit) event()      {}
func (Cancel) event()      {}
func (Poll) event()        {}
func (Adopt) event()       {}
func (Rebuilt) event()     {}
func (Pass) event()        {}
func (Move) event()        {}
func (Moved) event()       {}
func (MoveRefused) event() {}
func (MoveUnknown) event() {}

// Action is something that follows from a Step.
type Action interface{ action() }

// Answered carries the status of the task that was submitted or cancelled.
type Answered struct{ Status *wire.TaskStatus }

// Refused states that a submitted task is not held.
type Refused struct {
	Reason string
	// RetryAfter is 0 when the task would be refused at any time.
	RetryAfter time.Duration
}

// Ordered carries the response to a worker's poll.
type Ordered struct {
	Worker string
	Orders *wire.WorkerOrders
}

// Assigned states that a task was placed on a worker.
type Assigned struct {
	Task   string
	Worker string
	Size   controller.Amount
}

// Requeued states that a task went back to its queue.
type Requeued struct {
	Task   string
	Reason string
}

// Ended states that a task reached its final state.
type Ended struct {
	Task   string
	State  wire.TaskState
	Reason string
}

// Quarantined states that a worker gets no task for a while.
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

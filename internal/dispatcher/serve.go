package dispatcher

import (
	"context"
	"time"

	"github.com/heathermux/heathermux/internal/wire"
)

// ServeSubmit answers a submission on the host that schedules.
func (d *Dispatcher) ServeSubmit(context.Context, *wire.SubmitRequest) *wire.SubmitResponse {
	return refusal("this entry host schedules no data centre")
}

// ServeGet answers with the scheduler's status of a task, or with a copy.
func (d *Dispatcher) ServeGet(context.Context, *wire.TaskRequest) *wire.TaskResponse {
	return &wire.TaskResponse{}
}

// ServeCancel cancels a task on the host that schedules.
func (d *Dispatcher) ServeCancel(context.Context, *wire.TaskRequest) *wire.TaskResponse {
	return &wire.TaskResponse{}
}

// ServePoll answers a worker on the host that schedules its data centre.
func (d *Dispatcher) ServePoll(context.Context, *wire.WorkerPoll) *wire.WorkerOrders {
	return &wire.WorkerOrders{
		Error: "dispatcher: this entry host schedules no data centre",
	}
}

// ServeCopyTasks stores copies for the scheduler of another host.
func (d *Dispatcher) ServeCopyTasks(context.Context, *wire.CopyTasksRequest) *wire.CopyTasksResponse {
	return &wire.CopyTasksResponse{}
}

// ServeFetchTasks returns the copies that this host holds to a new scheduler.
func (d *Dispatcher) ServeFetchTasks(context.Context, *wire.FetchTasksRequest) *wire.FetchTasksResponse {
	return &wire.FetchTasksResponse{}
}

// Report returns what the scheduler of this host runs, or nil when this host
// schedules nothing.
func (d *Dispatcher) Report() *wire.SchedulerReport { return nil }

// Tick runs one scheduling pass. It is to be called every 100 ms, and may
// block for several CallTimeout while it copies or fetches tasks.
func (d *Dispatcher) Tick(time.Time) {}

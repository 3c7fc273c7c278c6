package dispatcher

import (
	"context"

	"github.com/heathermux/heathermux/internal/wire"
)

// callScheduler calls the scheduler of a data centre, locally or on a peer.
func callScheduler[Q, R any](
	ctx context.Context,
	d *Dispatcher,
	dataCentre string,
	req Q,
	local func(context.Context, Q) R,
	remote func(context.Context, *wire.Member, Q) (R, error),
) (R, error) {
	member, ok := schedulerOf(d.opts.View().State, dataCentre)
	if !ok {
		var zero R
		return zero, errNoScheduler
	}
	if member.GetName() == d.opts.Self.GetName() {
		return local(ctx, req), nil
	}
	return remote(ctx, member, req)
}

// maxMoveHops limits how many moves between data centres are followed to find
// the scheduler of a task.
const maxMoveHops = 4

// callTaskScheduler calls the scheduler of the data centre to which the task was
// submitted, and then those of the data centres to which it was moved.
func callTaskScheduler(
	ctx context.Context,
	d *Dispatcher,
	req *wire.TaskRequest,
	local func(context.Context, *wire.TaskRequest) *wire.TaskResponse,
	remote func(context.Context, *wire.Member, *wire.TaskRequest) (*wire.TaskResponse, error),
) (*wire.TaskResponse, error) {
	dataCentre := dataCentreOf(req.GetId())
	for range maxMoveHops {
		resp, err := callScheduler(ctx, d, dataCentre, req, local, remote)
		next := resp.GetStatus().GetDataCentre()
		if err != nil || next == "" || next == dataCentre {
			return resp, err
		}
		dataCentre = next
	}
	return &wire.TaskResponse{}, nil
}

// Get returns the status of a task. If the scheduler can't be reached or does
// not know the task, Get asks the other entry hosts for their copy, which may be
// slightly out of date.
func (d *Dispatcher) Get(ctx context.Context, req *wire.TaskRequest) *wire.TaskResponse {
	resp, err := callTaskScheduler(ctx, d, req, d.ServeGet, d.opts.Peers.Get)
	if err == nil && resp.GetFound() {
		return resp
	}
	if resp := d.ServeGet(ctx, req); resp.GetFound() {
		return resp
	}
	for _, m := range d.opts.View().State.View().GetMembers() {
		if m.GetName() == d.opts.Self.GetName() || ctx.Err() != nil {
			continue
		}
		if resp, err := d.opts.Peers.Get(ctx, m, req); err == nil && resp.GetFound() {
			return resp
		}
	}
	return &wire.TaskResponse{}
}

// Cancel cancels a task. A queued task is cancelled immediately, a running one
// when its worker confirms the stop. If the scheduler can't be reached, the
// response is not found with TASK_STATE_UNKNOWN, and the call may be retried.
func (d *Dispatcher) Cancel(ctx context.Context, req *wire.TaskRequest) *wire.TaskResponse {
	resp, err := callTaskScheduler(ctx, d, req, d.ServeCancel, d.opts.Peers.Cancel)
	if err == nil {
		return resp
	}
	return &wire.TaskResponse{
		Status: &wire.TaskStatus{
			State:  wire.TaskState_TASK_STATE_UNKNOWN,
			Reason: "the scheduler did not answer; cancel again",
		},
	}
}

// Poll forwards a worker's poll to the scheduler of its data centre. Orders that
// carry an error don't renew the worker's lease.
func (d *Dispatcher) Poll(ctx context.Context, req *wire.WorkerPoll) *wire.WorkerOrders {
	orders, err := callScheduler(ctx, d, req.GetDataCentre(), req, d.ServePoll, d.opts.Peers.Poll)
	if err != nil {
		return &wire.WorkerOrders{
			Error: err.Error(),
		}
	}
	return orders
}

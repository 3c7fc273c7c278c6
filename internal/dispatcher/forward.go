package dispatcher

import (
	"context"

	"github.com/heathermux/heathermux/internal/wire"
)

// callScheduler calls the scheduler of a data centre, here or on a peer.
func callScheduler[Q, R any](
	ctx context.Context,
	d *Dispatcher,
	dataCentre string,
	req Q,
	here func(context.Context, Q) R,
	peer func(context.Context, *wire.Member, Q) (R, error),
) (R, error) {
	member, ok := schedulerOf(d.opts.View().State, dataCentre)
	if !ok {
		var none R
		return none, errNoScheduler
	}
	if member.GetName() == d.opts.Self.GetName() {
		return here(ctx, req), nil
	}
	return peer(ctx, member, req)
}

// maxHops bounds the hand-overs that are followed to find a task.
const maxHops = 4

// follow calls the scheduler of the data centre in which the task entered, and
// then those that it was handed to.
func follow(
	ctx context.Context,
	d *Dispatcher,
	req *wire.TaskRequest,
	here func(context.Context, *wire.TaskRequest) *wire.TaskResponse,
	peer func(context.Context, *wire.Member, *wire.TaskRequest) (*wire.TaskResponse, error),
) (*wire.TaskResponse, error) {
	at := dataCentreOf(req.GetId())
	for range maxHops {
		resp, err := callScheduler(ctx, d, at, req, here, peer)
		next := resp.GetStatus().GetDataCentre()
		if err != nil || next == "" || next == at {
			return resp, err
		}
		at = next
	}
	return &wire.TaskResponse{}, nil
}

// Get returns the status of a task. When the scheduler can't be reached it
// asks the other entry hosts for their copy, which may be a little older.
func (d *Dispatcher) Get(ctx context.Context, req *wire.TaskRequest) *wire.TaskResponse {
	resp, err := follow(ctx, d, req, d.ServeGet, d.opts.Peers.Get)
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

// Cancel ends a task. A queued task is cancelled at once, a running one when
// its worker confirms the stop. When the scheduler can't be reached the
// response is not found with TASK_STATE_UNKNOWN, and the call may be repeated.
func (d *Dispatcher) Cancel(ctx context.Context, req *wire.TaskRequest) *wire.TaskResponse {
	resp, err := follow(ctx, d, req, d.ServeCancel, d.opts.Peers.Cancel)
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

// Poll forwards a worker's poll to the scheduler of its data centre. Orders
// with an error renew no lease.
func (d *Dispatcher) Poll(ctx context.Context, req *wire.WorkerPoll) *wire.WorkerOrders {
	orders, err := callScheduler(ctx, d, req.GetDataCentre(), req, d.ServePoll, d.opts.Peers.Poll)
	if err != nil {
		return &wire.WorkerOrders{
			Error: err.Error(),
		}
	}
	return orders
}

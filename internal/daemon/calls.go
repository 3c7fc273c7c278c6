package daemon

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/messenger"
	"github.com/heathermux/heathermux/internal/wire"
)

// callTimeout bounds calls whose caller set no deadline.
const callTimeout = 500 * time.Millisecond

// calls is the client side of all services between entry hosts.
type calls struct {
	client *messenger.Client
}

// call runs one method on a member and returns its answer.
func call[R any, PR interface {
	*R
	proto.Message
}](ctx context.Context, c *calls, member *wire.Member, method string, request proto.Message) (PR, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, callTimeout)
		defer cancel()
	}
	answer := PR(new(R))
	if err := c.client.Call(ctx, member.GetPeerAddress(), method, request, answer); err != nil {
		return nil, err
	}
	return answer, nil
}

// Follow calls Control.Follow of a voter.
func (c *calls) Follow(ctx context.Context, m *wire.Member, r *wire.FollowRequest) (*wire.FollowResponse, error) {
	return call[wire.FollowResponse](ctx, c, m, "Control.Follow", r)
}

// Propose calls Control.Propose of a voter.
func (c *calls) Propose(ctx context.Context, m *wire.Member, r *wire.ProposeRequest) (*wire.ProposeResponse, error) {
	return call[wire.ProposeResponse](ctx, c, m, "Control.Propose", r)
}

// Step calls Replication.Step of a voter.
func (c *calls) Step(ctx context.Context, m *wire.Member, r *wire.Envelope) (*wire.Empty, error) {
	return call[wire.Empty](ctx, c, m, "Replication.Step", r)
}

// Pull calls Directory.Pull of an entry host.
func (c *calls) Pull(ctx context.Context, m *wire.Member, r *wire.PullRequest) (*wire.PullResponse, error) {
	return call[wire.PullResponse](ctx, c, m, "Directory.Pull", r)
}

// registryCalls is the client side of the registry service.
type registryCalls struct{ *calls }

// Begin calls Registry.Begin of a slot's owner.
func (c registryCalls) Begin(ctx context.Context, m *wire.Member, r *wire.BeginRequest) (*wire.BeginResponse, error) {
	return call[wire.BeginResponse](ctx, c.calls, m, "Registry.Begin", r)
}

// Finish calls Registry.Finish of a slot's owner.
func (c registryCalls) Finish(ctx context.Context, m *wire.Member, r *wire.FinishRequest) (*wire.FinishResponse, error) {
	return call[wire.FinishResponse](ctx, c.calls, m, "Registry.Finish", r)
}

// Copy calls Registry.Copy of a slot's copy holder.
func (c registryCalls) Copy(ctx context.Context, m *wire.Member, r *wire.CopyRequest) (*wire.CopyResponse, error) {
	return call[wire.CopyResponse](ctx, c.calls, m, "Registry.Copy", r)
}

// Fetch calls Registry.Fetch of a former holder of a slot.
func (c registryCalls) Fetch(ctx context.Context, m *wire.Member, r *wire.FetchRequest) (*wire.FetchResponse, error) {
	return call[wire.FetchResponse](ctx, c.calls, m, "Registry.Fetch", r)
}

// taskCalls is the client side of the task service.
type taskCalls struct{ *calls }

// Submit calls Tasks.Submit of a scheduler.
func (c taskCalls) Submit(ctx context.Context, m *wire.Member, r *wire.SubmitRequest) (*wire.SubmitResponse, error) {
	return call[wire.SubmitResponse](ctx, c.calls, m, "Tasks.Submit", r)
}

// Get calls Tasks.Get of a scheduler.
func (c taskCalls) Get(ctx context.Context, m *wire.Member, r *wire.TaskRequest) (*wire.TaskResponse, error) {
	return call[wire.TaskResponse](ctx, c.calls, m, "Tasks.Get", r)
}

// Cancel calls Tasks.Cancel of a scheduler.
func (c taskCalls) Cancel(ctx context.Context, m *wire.Member, r *wire.TaskRequest) (*wire.TaskResponse, error) {
	return call[wire.TaskResponse](ctx, c.calls, m, "Tasks.Cancel", r)
}

// CopyTasks calls Tasks.Copy of a copy holder.
func (c taskCalls) CopyTasks(ctx context.Context, m *wire.Member, r *wire.CopyTasksRequest) (*wire.CopyTasksResponse, error) {
	return call[wire.CopyTasksResponse](ctx, c.calls, m, "Tasks.Copy", r)
}

// FetchTasks calls Tasks.Fetch of a copy holder.
func (c taskCalls) FetchTasks(ctx context.Context, m *wire.Member, r *wire.FetchTasksRequest) (*wire.FetchTasksResponse, error) {
	return call[wire.FetchTasksResponse](ctx, c.calls, m, "Tasks.Fetch", r)
}

// Poll calls Tasks.Poll of a scheduler.
func (c taskCalls) Poll(ctx context.Context, m *wire.Member, r *wire.WorkerPoll) (*wire.WorkerOrders, error) {
	return call[wire.WorkerOrders](ctx, c.calls, m, "Tasks.Poll", r)
}

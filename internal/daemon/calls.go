package daemon

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/messenger"
	"github.com/heathermux/heathermux/internal/wire"
)

// callTimeout bounds a call whose context has no deadline.
const callTimeout = 500 * time.Millisecond

// peerClient calls the RPC services of other entry hosts.
type peerClient struct {
	client *messenger.Client
}

// call calls one method of a member and returns its answer, which is of type R.
func call[R any, PR interface {
	*R
	proto.Message
}](ctx context.Context, c *peerClient, member *wire.Member, method string, request proto.Message) (PR, error) {
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
func (c *peerClient) Follow(ctx context.Context, m *wire.Member, r *wire.FollowRequest) (*wire.FollowResponse, error) {
	return call[wire.FollowResponse](ctx, c, m, "Control.Follow", r)
}

// Propose calls Control.Propose of a voter.
func (c *peerClient) Propose(ctx context.Context, m *wire.Member, r *wire.ProposeRequest) (*wire.ProposeResponse, error) {
	return call[wire.ProposeResponse](ctx, c, m, "Control.Propose", r)
}

// Step calls Replication.Step of a voter.
func (c *peerClient) Step(ctx context.Context, m *wire.Member, r *wire.Envelope) (*wire.Empty, error) {
	return call[wire.Empty](ctx, c, m, "Replication.Step", r)
}

// Pull calls Directory.Pull of an entry host.
func (c *peerClient) Pull(ctx context.Context, m *wire.Member, r *wire.PullRequest) (*wire.PullResponse, error) {
	return call[wire.PullResponse](ctx, c, m, "Directory.Pull", r)
}

// registryClient calls the service Registry, which holds idempotency keys.
type registryClient struct{ *peerClient }

// Begin calls Registry.Begin of a slot's owner.
func (c registryClient) Begin(ctx context.Context, m *wire.Member, r *wire.BeginRequest) (*wire.BeginResponse, error) {
	return call[wire.BeginResponse](ctx, c.peerClient, m, "Registry.Begin", r)
}

// Finish calls Registry.Finish of a slot's owner.
func (c registryClient) Finish(ctx context.Context, m *wire.Member, r *wire.FinishRequest) (*wire.FinishResponse, error) {
	return call[wire.FinishResponse](ctx, c.peerClient, m, "Registry.Finish", r)
}

// Copy calls Registry.Copy of a slot's copy holder.
func (c registryClient) Copy(ctx context.Context, m *wire.Member, r *wire.CopyRequest) (*wire.CopyResponse, error) {
	return call[wire.CopyResponse](ctx, c.peerClient, m, "Registry.Copy", r)
}

// Fetch calls Registry.Fetch of a former holder of a slot.
func (c registryClient) Fetch(ctx context.Context, m *wire.Member, r *wire.FetchRequest) (*wire.FetchResponse, error) {
	return call[wire.FetchResponse](ctx, c.peerClient, m, "Registry.Fetch", r)
}

// taskClient calls the service Tasks.
type taskClient struct{ *peerClient }

// Submit calls Tasks.Submit of a scheduler.
func (c taskClient) Submit(ctx context.Context, m *wire.Member, r *wire.SubmitRequest) (*wire.SubmitResponse, error) {
	return call[wire.SubmitResponse](ctx, c.peerClient, m, "Tasks.Submit", r)
}

// Get calls Tasks.Get of a scheduler.
func (c taskClient) Get(ctx context.Context, m *wire.Member, r *wire.TaskRequest) (*wire.TaskResponse, error) {
	return call[wire.TaskResponse](ctx, c.peerClient, m, "Tasks.Get", r)
}

// Cancel calls Tasks.Cancel of a scheduler.
func (c taskClient) Cancel(ctx context.Context, m *wire.Member, r *wire.TaskRequest) (*wire.TaskResponse, error) {
	return call[wire.TaskResponse](ctx, c.peerClient, m, "Tasks.Cancel", r)
}

// CopyTasks calls Tasks.Copy of a copy holder.
func (c taskClient) CopyTasks(ctx context.Context, m *wire.Member, r *wire.CopyTasksRequest) (*wire.CopyTasksResponse, error) {
	return call[wire.CopyTasksResponse](ctx, c.peerClient, m, "Tasks.Copy", r)
}

// FetchTasks calls Tasks.Fetch of a copy holder.
func (c taskClient) FetchTasks(ctx context.Context, m *wire.Member, r *wire.FetchTasksRequest) (*wire.FetchTasksResponse, error) {
	return call[wire.FetchTasksResponse](ctx, c.peerClient, m, "Tasks.Fetch", r)
}

// Poll calls Tasks.Poll of a scheduler.
func (c taskClient) Poll(ctx context.Context, m *wire.Member, r *wire.WorkerPoll) (*wire.WorkerOrders, error) {
	return call[wire.WorkerOrders](ctx, c.peerClient, m, "Tasks.Poll", r)
}

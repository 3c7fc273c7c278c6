package daemon

import (
	"context"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/condenser"
	"github.com/heathermux/heathermux/internal/dispatcher"
	"github.com/heathermux/heathermux/internal/messenger"
	"github.com/heathermux/heathermux/internal/recorder"
	"github.com/heathermux/heathermux/internal/registrar"
	"github.com/heathermux/heathermux/internal/voter"
	"github.com/heathermux/heathermux/internal/wire"
)

// errNotVoter is returned to callers of the control service of a follower.
var errNotVoter = errors.New("daemon: this entry host is not a voter")

// fill copies an answer into the message that the messenger sends.
func fill[M proto.Message](into, answer M, err error) error {
	if err == nil {
		proto.Merge(into, answer)
	}
	return err
}

// replicationService receives messages of the replicated log.
type replicationService struct {
	voter *voter.Voter
}

// Step takes one message.
func (s *replicationService) Step(r *messenger.Request[wire.Envelope], _ *wire.Empty) error {
	if s.voter == nil {
		return errNotVoter
	}
	s.voter.Step(r.Message)
	return nil
}

// controlService serves changes and followers.
type controlService struct {
	voter    *voter.Voter
	receiver *condenser.Receiver
}

// newControlService returns the service of a host; the voter is nil on one that is none.
func newControlService(v *voter.Voter) *controlService {
	return &controlService{
		voter:    v,
		receiver: condenser.NewReceiver(v),
	}
}

// Propose runs a change through the log.
func (s *controlService) Propose(r *messenger.Request[wire.ProposeRequest], answer *wire.ProposeResponse) error {
	if s.voter == nil {
		return errNotVoter
	}
	proto.Merge(answer, proposeHere(r.Context(), s.voter, r.Message.GetCommand()))
	return nil
}

// proposeHere puts the typed errors of the voter into the answer.
func proposeHere(ctx context.Context, v *voter.Voter, cmd *wire.Command) *wire.ProposeResponse {
	result, err := v.Propose(ctx, cmd)
	var notLeader voter.NotLeaderError
	switch {
	case err == nil:
		return &wire.ProposeResponse{
			Result: result,
		}
	case errors.As(err, &notLeader):
		return &wire.ProposeResponse{
			Leader: notLeader.Leader,
			Error:  err.Error(),
		}
	default:
		return &wire.ProposeResponse{
			Error:          err.Error(),
			OutcomeUnknown: true,
		}
	}
}

// Follow answers a follower.
func (s *controlService) Follow(r *messenger.Request[wire.FollowRequest], answer *wire.FollowResponse) error {
	if s.voter == nil {
		return errNotVoter
	}
	response, err := s.receiver.Follow(r.Context(), r.Message)
	return fill(answer, response, err)
}

// directoryService serves the announcements that this host has heard.
type directoryService struct {
	directory *registrar.Registrar
}

// Pull answers with the changes since a sequence number.
func (s *directoryService) Pull(r *messenger.Request[wire.PullRequest], answer *wire.PullResponse) error {
	return fill(answer, s.directory.ServePull(r.Message), nil)
}

// registryService serves the idempotency keys of this host's slots.
type registryService struct {
	recorder *recorder.Recorder
}

// Begin records an intent.
func (s *registryService) Begin(r *messenger.Request[wire.BeginRequest], answer *wire.BeginResponse) error {
	return fill(answer, s.recorder.ServeBegin(r.Context(), r.Message), nil)
}

// Finish records an outcome.
func (s *registryService) Finish(r *messenger.Request[wire.FinishRequest], answer *wire.FinishResponse) error {
	return fill(answer, s.recorder.ServeFinish(r.Context(), r.Message), nil)
}

// Copy stores entries for their owner.
func (s *registryService) Copy(r *messenger.Request[wire.CopyRequest], answer *wire.CopyResponse) error {
	return fill(answer, s.recorder.ServeCopy(r.Context(), r.Message), nil)
}

// Fetch returns a slot to its new owner.
func (s *registryService) Fetch(r *messenger.Request[wire.FetchRequest], answer *wire.FetchResponse) error {
	return fill(answer, s.recorder.ServeFetch(r.Context(), r.Message), nil)
}

// taskService serves the tasks that this host schedules or holds copies of.
type taskService struct {
	dispatcher *dispatcher.Dispatcher
}

// Submit takes a task.
func (s *taskService) Submit(r *messenger.Request[wire.SubmitRequest], answer *wire.SubmitResponse) error {
	return fill(answer, s.dispatcher.ServeSubmit(r.Context(), r.Message), nil)
}

// Get returns the status of a task.
func (s *taskService) Get(r *messenger.Request[wire.TaskRequest], answer *wire.TaskResponse) error {
	return fill(answer, s.dispatcher.ServeGet(r.Context(), r.Message), nil)
}

// Cancel cancels a task.
func (s *taskService) Cancel(r *messenger.Request[wire.TaskRequest], answer *wire.TaskResponse) error {
	return fill(answer, s.dispatcher.ServeCancel(r.Context(), r.Message), nil)
}

// Poll answers a worker.
func (s *taskService) Poll(r *messenger.Request[wire.WorkerPoll], answer *wire.WorkerOrders) error {
	return fill(answer, s.dispatcher.ServePoll(r.Context(), r.Message), nil)
}

// Copy stores copies of tasks.
func (s *taskService) Copy(r *messenger.Request[wire.CopyTasksRequest], answer *wire.CopyTasksResponse) error {
	return fill(answer, s.dispatcher.ServeCopyTasks(r.Context(), r.Message), nil)
}

// Fetch returns copies of tasks to a new scheduler.
func (s *taskService) Fetch(r *messenger.Request[wire.FetchTasksRequest], answer *wire.FetchTasksResponse) error {
	return fill(answer, s.dispatcher.ServeFetchTasks(r.Context(), r.Message), nil)
}

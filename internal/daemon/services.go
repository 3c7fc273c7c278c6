package daemon

import (
	"context"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/deltaencoder"
	"github.com/heathermux/heathermux/internal/dispatcher"
	"github.com/heathermux/heathermux/internal/messenger"
	"github.com/heathermux/heathermux/internal/recorder"
	"github.com/heathermux/heathermux/internal/registrar"
	"github.com/heathermux/heathermux/internal/voter"
	"github.com/heathermux/heathermux/internal/wire"
)

// errNotVoter is returned to callers of the replication and control services on a
// host that isn't a voter.
var errNotVoter = errors.New("daemon: this entry host is not a voter")

// mergeAnswer copies the answer into the response message that the messenger
// sends, unless err is set. It returns err.
func mergeAnswer[M proto.Message](into, answer M, err error) error {
	if err == nil {
		proto.Merge(into, answer)
	}
	return err
}

// replicationService is the RPC service for messages of the replicated log.
type replicationService struct {
	voter *voter.Voter
}

// Step passes one message to the local voter.
func (s *replicationService) Step(r *messenger.Request[wire.Envelope], _ *wire.Empty) (err error) {
	defer messenger.RecoverHandler(&err)
	if s.voter == nil {
		return errNotVoter
	}
	s.voter.Step(r.Message)
	return nil
}

// controlService is the RPC service for proposing changes and following the
// control state.
type controlService struct {
	voter    *voter.Voter
	receiver *deltaencoder.Receiver
}

// newControlService returns the control service; v is nil on a host that isn't a voter.
func newControlService(v *voter.Voter) *controlService {
	return &controlService{
		voter:    v,
		receiver: deltaencoder.NewReceiver(v),
	}
}

// Propose proposes a change to the replicated log and answers with its result.
func (s *controlService) Propose(r *messenger.Request[wire.ProposeRequest], answer *wire.ProposeResponse) (err error) {
	defer messenger.RecoverHandler(&err)
	if s.voter == nil {
		return errNotVoter
	}
	proto.Merge(answer, proposeLocally(r.Context(), s.voter, r.Message.GetCommand()))
	return nil
}

// proposeLocally proposes a change to the local voter and converts its typed
// errors to fields of the answer.
func proposeLocally(ctx context.Context, v *voter.Voter, cmd *wire.Command) *wire.ProposeResponse {
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

// Follow answers a follower with changes of the control state and a lease.
func (s *controlService) Follow(r *messenger.Request[wire.FollowRequest], answer *wire.FollowResponse) (err error) {
	defer messenger.RecoverHandler(&err)
	if s.voter == nil {
		return errNotVoter
	}
	response, err := s.receiver.Follow(r.Context(), r.Message)
	return mergeAnswer(answer, response, err)
}

// directoryService is the RPC service for the upstream announcements that this
// host has received.
type directoryService struct {
	directory *registrar.Registrar
}

// Pull answers with the directory changes since a sequence number.
func (s *directoryService) Pull(r *messenger.Request[wire.PullRequest], answer *wire.PullResponse) (err error) {
	defer messenger.RecoverHandler(&err)
	return mergeAnswer(answer, s.directory.ServePull(r.Message), nil)
}

// registryService is the RPC service for the idempotency keys in this host's slots.
type registryService struct {
	recorder *recorder.Recorder
}

// Begin records that a request with an idempotency key starts.
func (s *registryService) Begin(r *messenger.Request[wire.BeginRequest], answer *wire.BeginResponse) (err error) {
	defer messenger.RecoverHandler(&err)
	return mergeAnswer(answer, s.recorder.ServeBegin(r.Context(), r.Message), nil)
}

// Finish records the outcome of a request with an idempotency key.
func (s *registryService) Finish(r *messenger.Request[wire.FinishRequest], answer *wire.FinishResponse) (err error) {
	defer messenger.RecoverHandler(&err)
	return mergeAnswer(answer, s.recorder.ServeFinish(r.Context(), r.Message), nil)
}

// Copy stores replicas of entries for the owner of their slot.
func (s *registryService) Copy(r *messenger.Request[wire.CopyRequest], answer *wire.CopyResponse) (err error) {
	defer messenger.RecoverHandler(&err)
	return mergeAnswer(answer, s.recorder.ServeCopy(r.Context(), r.Message), nil)
}

// Fetch returns the entries of a slot to its new owner.
func (s *registryService) Fetch(r *messenger.Request[wire.FetchRequest], answer *wire.FetchResponse) (err error) {
	defer messenger.RecoverHandler(&err)
	return mergeAnswer(answer, s.recorder.ServeFetch(r.Context(), r.Message), nil)
}

// taskService is the RPC service for the tasks that this host schedules or holds
// copies of.
type taskService struct {
	dispatcher *dispatcher.Dispatcher
}

// Submit accepts a task.
func (s *taskService) Submit(r *messenger.Request[wire.SubmitRequest], answer *wire.SubmitResponse) (err error) {
	defer messenger.RecoverHandler(&err)
	return mergeAnswer(answer, s.dispatcher.ServeSubmit(r.Context(), r.Message), nil)
}

// Get returns the status of a task.
func (s *taskService) Get(r *messenger.Request[wire.TaskRequest], answer *wire.TaskResponse) (err error) {
	defer messenger.RecoverHandler(&err)
	return mergeAnswer(answer, s.dispatcher.ServeGet(r.Context(), r.Message), nil)
}

// Cancel cancels a task.
func (s *taskService) Cancel(r *messenger.Request[wire.TaskRequest], answer *wire.TaskResponse) (err error) {
	defer messenger.RecoverHandler(&err)
	return mergeAnswer(answer, s.dispatcher.ServeCancel(r.Context(), r.Message), nil)
}

// Poll processes the report of a worker and answers with its orders.
func (s *taskService) Poll(r *messenger.Request[wire.WorkerPoll], answer *wire.WorkerOrders) (err error) {
	defer messenger.RecoverHandler(&err)
	return mergeAnswer(answer, s.dispatcher.ServePoll(r.Context(), r.Message), nil)
}

// Copy stores copies of tasks for their scheduler.
func (s *taskService) Copy(r *messenger.Request[wire.CopyTasksRequest], answer *wire.CopyTasksResponse) (err error) {
	defer messenger.RecoverHandler(&err)
	return mergeAnswer(answer, s.dispatcher.ServeCopyTasks(r.Context(), r.Message), nil)
}

// Fetch returns copies of tasks to a new scheduler.
func (s *taskService) Fetch(r *messenger.Request[wire.FetchTasksRequest], answer *wire.FetchTasksResponse) (err error) {
	defer messenger.RecoverHandler(&err)
	return mergeAnswer(answer, s.dispatcher.ServeFetchTasks(r.Context(), r.Message), nil)
}

package ingress

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/heathermux/heathermux/internal/wire"
)

// taskCallTimeout limits the calls to the scheduler. Urgent tasks have to start
// within 1.1 s, so a caller must learn well before the default deadline of 5 s
// that the scheduler does not answer.
const taskCallTimeout = 2 * time.Second

// taskStatusJSON is the status of a task in a response body.
type taskStatusJSON struct {
	ID         string `json:"id"`
	Queue      string `json:"queue"`
	State      string `json:"state"`
	Worker     string `json:"worker,omitempty"`
	Reason     string `json:"reason,omitempty"`
	Attempts   int64  `json:"attempts"`
	DataCentre string `json:"data-centre,omitempty"`
	// Copies is the number of entry hosts that hold the task; it is set only in
	// the response to a submission.
	Copies int32 `json:"copies,omitempty"`

	// replayed is set when the registry had stored the response for an earlier
	// attempt.
	replayed bool
}

// serveTask serves /v1/tasks and the paths below it.
func (g *Ingress) serveTask(w http.ResponseWriter, r *http.Request) {
	ctx, span := g.startSpan(r, "task")
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, taskCallTimeout)
	defer cancel()
	status, answer, refusal := g.handleTask(ctx, w, r)
	if refusal != nil {
		refusal.unknownRunIfKeyed(r.Header).write(w)
		return
	}
	if answer.replayed {
		w.Header()[replayedHeader] = []string{"true"}
	}
	location := ""
	if status == http.StatusAccepted {
		location = tasksPath + "/" + answer.ID
	}
	writeJSON(w, status, location, answer.encode())
}

// handleTask calls the scheduler and returns the status and body of the response,
// or a refusal.
func (g *Ingress) handleTask(ctx context.Context, w http.ResponseWriter, r *http.Request) (int, *taskStatusJSON, *Problem) {
	cred, refusal := takeCredential(r.Header)
	if refusal != nil {
		return 0, nil, refusal
	}
	if g.cfg.Tasks == nil {
		return 0, nil, newProblem(http.StatusServiceUnavailable, "no-scheduler", "No scheduler",
			"this entry host knows no scheduler").withRetryAfter(time.Second)
	}
	id := strings.TrimPrefix(strings.TrimPrefix(r.URL.Path, tasksPath), "/")
	switch {
	case id == "" && r.Method == http.MethodPost:
		return g.submitTask(ctx, w, r, cred)
	case id != "" && r.Method == http.MethodGet:
		return g.getOrCancelTask(ctx, id, cred, g.cfg.Tasks.Get)
	case id != "" && r.Method == http.MethodDelete:
		return g.getOrCancelTask(ctx, id, cred, g.cfg.Tasks.Cancel)
	}
	return 0, nil, newProblem(http.StatusMethodNotAllowed, "method-not-allowed", "Method is not allowed",
		"allowed are POST "+tasksPath+", GET and DELETE "+tasksPath+"/{id}")
}

// submitTask checks a submitted task and passes it to the scheduler.
func (g *Ingress) submitTask(ctx context.Context, w http.ResponseWriter, r *http.Request, cred credential) (int, *taskStatusJSON, *Problem) {
	key, refusal := idempotencyKey(r.Header)
	if refusal != nil {
		return 0, nil, refusal
	}
	if view := g.cfg.View(); !view.Live(g.cfg.Clock.Now()) {
		return 0, nil, noLeaseProblem()
	}
	size := g.maxBodySize(r)
	if !g.bodyMemory.reserve(size) {
		return 0, nil, bodyMemoryFullProblem().withRetryAfter(time.Second)
	}
	defer g.bodyMemory.release(size)
	body, refusal := g.readBody(w, r, taskCallTimeout)
	if refusal != nil {
		return 0, nil, refusal
	}
	task, err := parseTask(body)
	if err != nil {
		return 0, nil, newProblem(http.StatusBadRequest, "bad-task", "Task is not readable", err.Error())
	}
	if limit := g.cfg.Limits.TaskPayload; len(task.GetPayload()) > limit {
		return 0, nil, newProblem(http.StatusRequestEntityTooLarge, "payload-too-large", "Payload is too large",
			"the payload of a task has at most "+strconv.Itoa(limit)+" bytes")
	}
	current := g.cfg.View()
	view := g.recordRevision(&current)
	queue, refusal := findQueue(view, g.cfg.Clock.Now(), wire.QueueKind_QUEUE_KIND_TASKS, task.GetQueue())
	if refusal != nil {
		return 0, nil, refusal
	}
	team, refusal := authorise(view, g.cfg.Clock.Now(), &cred, queue, true)
	if refusal != nil {
		return 0, nil, refusal
	}
	task.Id = uuid.NewString()
	task.Team = team.GetName()
	task.IdempotencyKey = key
	if key != "" {
		return g.submitKeyedTask(ctx, body, task)
	}
	return g.sendToScheduler(ctx, task)
}

func (g *Ingress) sendToScheduler(ctx context.Context, task *wire.Task) (int, *taskStatusJSON, *Problem) {
	return submitResult(task, g.cfg.Tasks.Submit(ctx, &wire.SubmitRequest{
		Task: task,
	}))
}

// submitResult converts the scheduler's response to a submission. Without an
// idempotency key an unknown outcome gets no Retry-After, because a resend could
// submit the task twice.
func submitResult(task *wire.Task, r *wire.SubmitResponse) (int, *taskStatusJSON, *Problem) {
	keyed := task.GetIdempotencyKey() != ""
	switch {
	case r.GetRefusal() != "" && r.GetRetryAfterNanos() > 0:
		return 0, nil, newProblem(http.StatusServiceUnavailable, "task-refused", "Task was refused",
			r.GetRefusal()).withRetryAfter(time.Duration(r.GetRetryAfterNanos()))
	case r.GetRefusal() != "":
		return 0, nil, newProblem(http.StatusUnprocessableEntity, "task-impossible", "Task can't be run", r.GetRefusal())
	case r.GetStatus() == nil:
		p := newProblem(http.StatusBadGateway, "scheduler-silent", "Scheduler did not answer",
			"the scheduler may have accepted the task").withRun(RunUnknown, RunUnknown)
		if keyed {
			p = p.withRetryAfter(time.Second)
		}
		return 0, nil, p
	}
	answer := newTaskStatusJSON(r.GetStatus())
	answer.Copies = r.GetCopies()
	return http.StatusAccepted, answer, nil
}

// getOrCancelTask reads or cancels a task of the key's team with rpc, which is Get
// or Cancel of the scheduler.
func (g *Ingress) getOrCancelTask(ctx context.Context, id string, cred credential, rpc func(context.Context, *wire.TaskRequest) *wire.TaskResponse) (int, *taskStatusJSON, *Problem) {
	current := g.cfg.View()
	view := g.recordRevision(&current)
	if !view.Live(g.cfg.Clock.Now()) {
		return 0, nil, noLeaseProblem().withRun(RunUnknown, NotRun)
	}
	team, ok := cred.team(&view.State)
	if cred.present && !ok {
		return 0, nil, unknownKeyProblem().withRun(RunUnknown, NotRun)
	}
	r := rpc(ctx, &wire.TaskRequest{
		Id:   id,
		Team: team.GetName(),
	})
	switch {
	case r == nil:
		return 0, nil, newProblem(http.StatusServiceUnavailable, "scheduler-silent", "Scheduler did not answer",
			"the state of the task is not known").withRun(RunUnknown, RunUnknown).withRetryAfter(time.Second)
	case !r.GetFound():
		return 0, nil, newProblem(http.StatusNotFound, "unknown-task", "Task is not known",
			"the team of this key has no such task, or it ended too long ago").withRun(RunUnknown, NotRun)
	}
	return http.StatusOK, newTaskStatusJSON(r.GetStatus()), nil
}

func newTaskStatusJSON(s *wire.TaskStatus) *taskStatusJSON {
	const prefix = "TASK_STATE_"
	return &taskStatusJSON{
		ID:         s.GetTask().GetId(),
		Queue:      s.GetTask().GetQueue(),
		State:      strings.ToLower(strings.TrimPrefix(s.GetState().String(), prefix)),
		Worker:     s.GetWorker(),
		Reason:     s.GetReason(),
		Attempts:   s.GetAttempts(),
		DataCentre: s.GetDataCentre(),
	}
}

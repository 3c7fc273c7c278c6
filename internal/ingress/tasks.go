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

// taskTimeout bounds the calls to the scheduler. Urgent work has to start
// within 1.1 s, so a caller must learn well before the default deadline that
// the scheduler does not answer.
const taskTimeout = 2 * time.Second

// taskAnswer is the JSON form of a task's status.
type taskAnswer struct {
	ID         string `json:"id"`
	Queue      string `json:"queue"`
	State      string `json:"state"`
	Worker     string `json:"worker,omitempty"`
	Reason     string `json:"reason,omitempty"`
	Attempts   int64  `json:"attempts"`
	DataCentre string `json:"data-centre,omitempty"`
	// Copies is the number of entry hosts that hold a task just accepted.
	Copies int32 `json:"copies,omitempty"`

	// replayed marks an answer that came from the registry.
	replayed bool
}

func (g *Ingress) serveTask(w http.ResponseWriter, r *http.Request) {
	ctx, span := g.startSpan(r, "task")
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, taskTimeout)
	defer cancel()
	status, answer, refusal := g.task(ctx, w, r)
	if refusal != nil {
		refusal.seenKey(r.Header).write(w)
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

func (g *Ingress) task(ctx context.Context, w http.ResponseWriter, r *http.Request) (int, *taskAnswer, *Problem) {
	credential, refusal := takeCredential(r.Header)
	if refusal != nil {
		return 0, nil, refusal
	}
	if g.cfg.Tasks == nil {
		return 0, nil, problem(http.StatusServiceUnavailable, "no-scheduler", "No scheduler",
			"this entry host knows no scheduler").after(time.Second)
	}
	id := strings.TrimPrefix(strings.TrimPrefix(r.URL.Path, tasksPath), "/")
	switch {
	case id == "" && r.Method == http.MethodPost:
		return g.submit(ctx, w, r, credential)
	case id != "" && r.Method == http.MethodGet:
		return g.look(ctx, id, credential, g.cfg.Tasks.Get)
	case id != "" && r.Method == http.MethodDelete:
		return g.look(ctx, id, credential, g.cfg.Tasks.Cancel)
	}
	return 0, nil, problem(http.StatusMethodNotAllowed, "method-not-allowed", "Method is not allowed",
		"allowed are POST "+tasksPath+", GET and DELETE "+tasksPath+"/{id}")
}

func (g *Ingress) submit(ctx context.Context, w http.ResponseWriter, r *http.Request, c credential) (int, *taskAnswer, *Problem) {
	key, refusal := idempotencyKey(r.Header)
	if refusal != nil {
		return 0, nil, refusal
	}
	if view := g.cfg.View(); !view.Live(g.cfg.Clock.Now()) {
		return 0, nil, noLease()
	}
	size := g.bodyReserve(r)
	if !g.bodies.reserve(size) {
		return 0, nil, bodyMemoryFull().after(time.Second)
	}
	defer g.bodies.release(size)
	body, refusal := g.readBody(w, r, taskTimeout)
	if refusal != nil {
		return 0, nil, refusal
	}
	task, err := parseTask(body)
	if err != nil {
		return 0, nil, problem(http.StatusBadRequest, "bad-task", "Task is not readable", err.Error())
	}
	if most := g.cfg.Limits.TaskPayload; len(task.GetPayload()) > most {
		return 0, nil, problem(http.StatusRequestEntityTooLarge, "payload-too-large", "Payload is too large",
			"the payload of a task has at most "+strconv.Itoa(most)+" bytes")
	}
	present := g.cfg.View()
	view := g.saw(&present)
	queue, refusal := findQueue(view, g.cfg.Clock.Now(), wire.QueueKind_QUEUE_KIND_TASKS, task.GetQueue())
	if refusal != nil {
		return 0, nil, refusal
	}
	team, refusal := authorise(view, g.cfg.Clock.Now(), &c, queue, true)
	if refusal != nil {
		return 0, nil, refusal
	}
	task.Id = uuid.NewString()
	task.Team = team.GetName()
	task.IdempotencyKey = key
	if key != "" {
		return g.submitOnce(ctx, body, task)
	}
	return g.submitTask(ctx, task)
}

func (g *Ingress) submitTask(ctx context.Context, task *wire.Task) (int, *taskAnswer, *Problem) {
	return submitted(task, g.cfg.Tasks.Submit(ctx, &wire.SubmitRequest{
		Task: task,
	}))
}

func submitted(task *wire.Task, r *wire.SubmitResponse) (int, *taskAnswer, *Problem) {
	safe := task.GetIdempotencyKey() != ""
	switch {
	case r.GetRefusal() != "" && r.GetRetryAfterNanos() > 0:
		return 0, nil, problem(http.StatusServiceUnavailable, "task-refused", "Task was refused",
			r.GetRefusal()).after(time.Duration(r.GetRetryAfterNanos()))
	case r.GetRefusal() != "":
		return 0, nil, problem(http.StatusUnprocessableEntity, "task-impossible", "Task can't be run", r.GetRefusal())
	case r.GetStatus() == nil:
		p := problem(http.StatusBadGateway, "scheduler-silent", "Scheduler did not answer",
			"the scheduler may have accepted the task").ran(Unknown, Unknown)
		if safe {
			p = p.after(time.Second)
		}
		return 0, nil, p
	}
	answer := answerOf(r.GetStatus())
	answer.Copies = r.GetCopies()
	return http.StatusAccepted, answer, nil
}

// look reads or cancels a task of the key's team.
func (g *Ingress) look(ctx context.Context, id string, c credential, call func(context.Context, *wire.TaskRequest) *wire.TaskResponse) (int, *taskAnswer, *Problem) {
	present := g.cfg.View()
	view := g.saw(&present)
	if !view.Live(g.cfg.Clock.Now()) {
		return 0, nil, noLease().ran(Unknown, NotRun)
	}
	team, ok := c.team(&view.State)
	if c.present && !ok {
		return 0, nil, keyUnknown().ran(Unknown, NotRun)
	}
	r := call(ctx, &wire.TaskRequest{
		Id:   id,
		Team: team.GetName(),
	})
	switch {
	case r == nil:
		return 0, nil, problem(http.StatusServiceUnavailable, "scheduler-silent", "Scheduler did not answer",
			"the state of the task is not known").ran(Unknown, Unknown).after(time.Second)
	case !r.GetFound():
		return 0, nil, problem(http.StatusNotFound, "unknown-task", "Task is not known",
			"the team of this key has no such task, or it ended too long ago").ran(Unknown, NotRun)
	}
	return http.StatusOK, answerOf(r.GetStatus()), nil
}

func answerOf(s *wire.TaskStatus) *taskAnswer {
	const prefix = "TASK_STATE_"
	return &taskAnswer{
		ID:         s.GetTask().GetId(),
		Queue:      s.GetTask().GetQueue(),
		State:      strings.ToLower(strings.TrimPrefix(s.GetState().String(), prefix)),
		Worker:     s.GetWorker(),
		Reason:     s.GetReason(),
		Attempts:   s.GetAttempts(),
		DataCentre: s.GetDataCentre(),
	}
}

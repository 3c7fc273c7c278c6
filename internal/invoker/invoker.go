package invoker

import (
	"context"
	"encoding/json"
	"net/http"
	"syscall"

	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
)

// The paths of a job worker.
const (
	StartPath = "/v1/runs/start"
	StopPath  = "/v1/runs/stop"
	LookPath  = "/v1/runs/look"
	PacePath  = "/v1/runs/pace"
)

// WorkerHeader names the worker that an order is for. Another one that has got
// its address answers 421.
const WorkerHeader = "Heathermux-Worker"

// Task names one task on the wire.
type Task struct {
	Job        string `json:"job"`
	Occurrence int32  `json:"occurrence"`
	Step       int32  `json:"step"`
	Index      int32  `json:"index"`
}

// Order is the body of all orders to a worker.
type Order struct {
	// Fence is the term of the leader; a worker does nothing for a lower one
	// than it has seen.
	Fence uint64 `json:"fence"`
	// DeadlineMillis is until when the worker may run tasks, on its own clock.
	DeadlineMillis int64  `json:"deadline-millis,omitempty"`
	Task           *Task  `json:"task,omitempty"`
	Run            uint64 `json:"run,omitempty"`
	Payload        string `json:"payload,omitempty"`
	Checkpoint     string `json:"checkpoint,omitempty"`
	Ticket         string `json:"ticket,omitempty"`
	// Seen is the last end that is taken note of; looks only.
	Seen uint64 `json:"seen,omitempty"`
	// WaitMillis is how long the worker may wait for an end; looks only.
	WaitMillis int64 `json:"wait-millis,omitempty"`
	// Percent is the share at which a task works; for pace only.
	Percent int `json:"percent,omitempty"`
}

// Running is a run at work.
type Running struct {
	Task       Task   `json:"task"`
	Run        uint64 `json:"run"`
	Checkpoint string `json:"checkpoint,omitempty"`
	// Percent is the share of its work that is done.
	Percent int `json:"percent"`
}

// Ended is a run that has ended and is not taken note of.
type Ended struct {
	// Number rises by one with each end of one life of a worker.
	Number uint64 `json:"number"`
	Task   Task   `json:"task"`
	Run    uint64 `json:"run"`
	// Ending is done, failed, stopped or lapsed.
	Ending     string `json:"ending"`
	Checkpoint string `json:"checkpoint,omitempty"`
}

// Answer is the body of all answers of a worker.
type Answer struct {
	ClockMillis int64 `json:"clock-millis"`
	Born        int64 `json:"born"`
	// Reason says why an order was refused: fenced, outdated, late, no-room or
	// no-ticket.
	Reason  string    `json:"reason,omitempty"`
	Running []Running `json:"running,omitempty"`
	Ended   []Ended   `json:"ended,omitempty"`
}

// Invoker carries orders to job workers. It is safe for concurrent use; make
// one with New.
type Invoker struct {
	client *Client
}

// New returns an invoker without connections.
func New() *Invoker {
	return &Invoker{
		client: NewClient(),
	}
}

var (
	// errGone means that another life of a worker has the address.
	errGone = errors.New("invoker: another worker has the address")
	// errStatus means that the worker has refused the order.
	errStatus = errors.New("invoker: the worker has refused the order")
)

// invoke sends one order. The answer is usable when the error is nil.
func (i *Invoker) invoke(ctx context.Context, t jobscheduler.Target, path string, order Order) (int, Answer, error) {
	var answer Answer
	header := http.Header{
		WorkerHeader: []string{t.ID},
	}
	status, text, err := i.client.Post(ctx, t.Address, path, header, order)
	if err != nil {
		return status, answer, err
	}
	if status == http.StatusMisdirectedRequest {
		return status, answer, errGone
	}
	if err := json.Unmarshal(text, &answer); err != nil && status == http.StatusOK {
		return status, answer, errors.Wrap(err, "invoker: decode answer")
	}
	if answer.Born != 0 && t.Born != 0 && answer.Born != t.Born {
		return status, answer, errGone
	}
	return status, answer, nil
}

// refusals maps the reasons of a refused start to outcomes.
var refusals = map[string]jobscheduler.StartAnswer{
	"fenced":    jobscheduler.StartFenced,
	"outdated":  jobscheduler.StartOutdated,
	"late":      jobscheduler.StartLate,
	"no-room":   jobscheduler.StartNoRoom,
	"no-ticket": jobscheduler.StartNoTicket,
}

// Start implements courier.Workers.
func (i *Invoker) Start(ctx context.Context, fence uint64, a jobscheduler.Start) (jobscheduler.StartAnswer, int64) {
	status, answer, err := i.invoke(ctx, a.Target, StartPath, Order{
		Fence:          fence,
		DeadlineMillis: a.Deadline,
		Task:           taskOf(a.Task),
		Run:            a.Run,
		Payload:        a.Payload,
		Checkpoint:     a.Checkpoint,
		Ticket:         a.Ticket,
	})
	switch {
	case errors.Is(err, errGone):
		return jobscheduler.StartGone, 0
	case err != nil:
		return jobscheduler.StartUnknown, 0
	}
	switch status {
	case http.StatusOK:
		return jobscheduler.StartAccepted, answer.ClockMillis
	case http.StatusConflict:
		if outcome, ok := refusals[answer.Reason]; ok {
			return outcome, answer.ClockMillis
		}
	case http.StatusBadRequest:
		return jobscheduler.StartInvalid, answer.ClockMillis
	case http.StatusServiceUnavailable:
		return jobscheduler.StartRefused, answer.ClockMillis
	}
	return jobscheduler.StartUnknown, 0
}

// Stop implements courier.Workers.
func (i *Invoker) Stop(ctx context.Context, fence uint64, a jobscheduler.Stop) (bool, int64) {
	status, answer, err := i.invoke(ctx, a.Target, StopPath, Order{
		Fence: fence,
		Task:  taskOf(a.Task),
		Run:   a.Run,
	})
	return err == nil && status == http.StatusOK, answer.ClockMillis
}

// Pace implements courier.Workers.
func (i *Invoker) Pace(ctx context.Context, fence uint64, a jobscheduler.Pace) error {
	status, _, err := i.invoke(ctx, a.Target, PacePath, Order{
		Fence:   fence,
		Task:    taskOf(a.Task),
		Run:     a.Run,
		Percent: a.Percent,
	})
	if err == nil && status != http.StatusOK {
		err = errStatus
	}
	return err
}

// Look implements courier.Workers.
func (i *Invoker) Look(ctx context.Context, fence uint64, a jobscheduler.Look) jobscheduler.LookAnswer {
	status, told, err := i.invoke(ctx, a.Target, LookPath, Order{
		Fence:          fence,
		DeadlineMillis: a.Deadline,
		Seen:           a.Seen,
		WaitMillis:     a.Wait.Milliseconds(),
	})
	if err == nil && status != http.StatusOK {
		err = errStatus
	}
	answer := jobscheduler.LookAnswer{
		Gone:    errors.Is(err, errGone),
		Refused: errors.Is(err, syscall.ECONNREFUSED),
		Fenced:  told.Reason == "fenced",
		Clock:   told.ClockMillis,
	}
	if err == nil {
		err = told.fill(&answer)
	}
	answer.Failed = err != nil && !answer.Gone
	return answer
}

// endings maps the names on the wire to how a run has ended.
var endings = map[string]jobwire.Ending{
	"done":    jobwire.Ending_ENDING_DONE,
	"failed":  jobwire.Ending_ENDING_FAILED,
	"stopped": jobwire.Ending_ENDING_STOPPED,
	"lapsed":  jobwire.Ending_ENDING_LAPSED,
}

// fill copies the lists of an answer to a look.
func (a Answer) fill(answer *jobscheduler.LookAnswer) error {
	for _, r := range a.Running {
		answer.Running = append(answer.Running, jobscheduler.RunningTask{
			Task:       r.Task.wire(),
			Run:        r.Run,
			Checkpoint: r.Checkpoint,
			Percent:    r.Percent,
		})
	}
	for _, e := range a.Ended {
		ending, ok := endings[e.Ending]
		if !ok {
			return errors.Errorf("invoker: unknown ending %q", e.Ending)
		}
		answer.Ended = append(answer.Ended, jobscheduler.EndedTask{
			Number: e.Number,
			End: &jobwire.End{
				Task:       e.Task.wire(),
				Run:        e.Run,
				Ending:     ending,
				Checkpoint: e.Checkpoint,
			},
		})
	}
	return nil
}

func taskOf(t *jobwire.Task) *Task {
	return &Task{
		Job:        t.GetJob(),
		Occurrence: t.GetOccurrence(),
		Step:       t.GetStep(),
		Index:      t.GetIndex(),
	}
}

func (t Task) wire() *jobwire.Task {
	return &jobwire.Task{
		Job:        t.Job,
		Occurrence: t.Occurrence,
		Step:       t.Step,
		Index:      t.Index,
	}
}

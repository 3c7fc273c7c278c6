package invoker

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
)

// Paths of the HTTP endpoints of a job worker. PollPath is the long poll.
const (
	StartPath = "/v1/runs/start"
	StopPath  = "/v1/runs/stop"
	PollPath  = "/v1/runs/look"
)

// WorkerHeader is the header with the id of the worker that an order is for. A
// different worker that now has the address answers 421 Misdirected Request.
const WorkerHeader = "Heathermux-Worker"

// Task identifies one task in the JSON messages.
type Task struct {
	Job        string `json:"job"`
	Occurrence int32  `json:"occurrence"`
	Step       int32  `json:"step"`
	Index      int32  `json:"index"`
}

// Order is the request body of all orders to a worker.
type Order struct {
	// Fence is the fencing token, see ordersender.FencingToken. A worker refuses
	// orders with a lower token than the highest it has seen.
	Fence uint64 `json:"fence"`
	// DeadlineMillis is the end of the worker's lease, on its own clock. It may
	// run tasks until then.
	DeadlineMillis int64  `json:"deadline-millis,omitempty"`
	Task           *Task  `json:"task,omitempty"`
	Run            uint64 `json:"run,omitempty"`
	Payload        string `json:"payload,omitempty"`
	Checkpoint     string `json:"checkpoint,omitempty"`
	Ticket         string `json:"ticket,omitempty"`
	// Seen is the number of the last recorded end, up to which the worker drops
	// its ends; polls only.
	Seen uint64 `json:"seen,omitempty"`
	// WaitMillis is how long the worker may hold the poll open until a run ends;
	// polls only.
	WaitMillis int64 `json:"wait-millis,omitempty"`
}

// RunningTask is a run that is in progress.
type RunningTask struct {
	Task       Task   `json:"task"`
	Run        uint64 `json:"run"`
	Checkpoint string `json:"checkpoint,omitempty"`
	// Percent is the completed share of the work.
	Percent int `json:"percent"`
}

// EndedTask is the end of a run that no poll has acknowledged yet.
type EndedTask struct {
	// Number is a counter of the ends within one incarnation of the worker.
	Number uint64 `json:"number"`
	Task   Task   `json:"task"`
	Run    uint64 `json:"run"`
	// Ending is done, failed, stopped or lapsed. Lapsed means that the lease
	// expired.
	Ending     string `json:"ending"`
	Checkpoint string `json:"checkpoint,omitempty"`
}

// Answer is the response body of all orders.
type Answer struct {
	// ClockMillis is the worker's clock.
	ClockMillis int64 `json:"clock-millis"`
	// Born identifies the worker's incarnation by its start time.
	Born int64 `json:"born"`
	// Reason is why an order was refused: fenced, outdated, late, no-room or
	// no-ticket.
	Reason  string        `json:"reason,omitempty"`
	Running []RunningTask `json:"running,omitempty"`
	Ended   []EndedTask   `json:"ended,omitempty"`
}

// Invoker implements ordersender.Workers over HTTP. It is safe for concurrent use;
// create one with New.
type Invoker struct {
	client *Client
}

// New returns an invoker without open connections.
func New() *Invoker {
	return &Invoker{
		client: NewClient(),
	}
}

var (
	// errOtherWorker means that the target has ended: another worker answers at
	// its address and has not executed the order.
	errOtherWorker = errors.New("invoker: the address belongs to another worker")
	// errRestarted means that a later incarnation of the target answers. It may
	// have executed the order.
	errRestarted = errors.New("invoker: the worker has restarted")
	// errOrderRefused means that the worker answered with a status other than 200.
	errOrderRefused = errors.New("invoker: the worker refused the order")
)

// invoke sends one order and decodes the answer, which is valid if the error is
// nil.
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
		return status, answer, errOtherWorker
	}
	if err := json.Unmarshal(text, &answer); err != nil && status == http.StatusOK {
		return status, answer, errors.Wrap(err, "invoker: decode answer")
	}
	if answer.Born != 0 && t.Born != 0 && answer.Born != t.Born {
		return status, answer, errRestarted
	}
	return status, answer, nil
}

// startRefusals maps the reason of a refused start to its outcome.
var startRefusals = map[string]jobscheduler.StartAnswer{
	"fenced":    jobscheduler.StartFenced,
	"outdated":  jobscheduler.StartOutdated,
	"late":      jobscheduler.StartLeaseExpired,
	"no-room":   jobscheduler.StartNoRoom,
	"no-ticket": jobscheduler.StartNoTicket,
}

// Start implements ordersender.Workers. It returns the worker's clock in milliseconds,
// 0 if unknown.
func (i *Invoker) Start(ctx context.Context, fence uint64, a jobscheduler.Start) (jobscheduler.StartAnswer, int64) {
	if a.NewConnection {
		i.client.CloseIdle(a.Target.Address)
	}
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
	case errors.Is(err, errOtherWorker):
		return jobscheduler.StartGone, 0
	case Refused(err):
		return jobscheduler.StartUndelivered, 0
	case NotSent(err):
		return jobscheduler.StartNotSent, 0
	case Disconnected(err):
		return jobscheduler.StartDisconnected, 0
	case err != nil:
		// A later incarnation may have executed the order, too.
		return jobscheduler.StartUnknown, 0
	}
	switch status {
	case http.StatusOK:
		return jobscheduler.StartAccepted, answer.ClockMillis
	case http.StatusConflict:
		if outcome, ok := startRefusals[answer.Reason]; ok {
			return outcome, answer.ClockMillis
		}
	case http.StatusBadRequest:
		return jobscheduler.StartInvalid, answer.ClockMillis
	case http.StatusServiceUnavailable:
		return jobscheduler.StartRefused, answer.ClockMillis
	}
	return jobscheduler.StartUnknown, 0
}

// Stop implements ordersender.Workers. It returns whether the worker took the order,
// and the worker's clock in milliseconds, 0 if unknown.
func (i *Invoker) Stop(ctx context.Context, fence uint64, a jobscheduler.Stop) (bool, int64) {
	status, answer, err := i.invoke(ctx, a.Target, StopPath, Order{
		Fence: fence,
		Task:  taskOf(a.Task),
		Run:   a.Run,
	})
	return err == nil && status == http.StatusOK, answer.ClockMillis
}

// Poll implements ordersender.Workers by polling the worker.
func (i *Invoker) Poll(ctx context.Context, fence uint64, a jobscheduler.Poll) jobscheduler.PollAnswer {
	status, reply, err := i.invoke(ctx, a.Target, PollPath, Order{
		Fence:          fence,
		DeadlineMillis: a.Deadline,
		Seen:           a.LastRecordedEnd,
		WaitMillis:     a.Wait.Milliseconds(),
	})
	if err == nil && status != http.StatusOK {
		err = errOrderRefused
	}
	answer := jobscheduler.PollAnswer{
		Gone:      errors.Is(err, errOtherWorker),
		Restarted: errors.Is(err, errRestarted),
		Refused:   Refused(err),
		Fenced:    err != nil && status == http.StatusConflict,
		Clock:     reply.ClockMillis,
	}
	if err == nil {
		err = reply.appendRuns(&answer)
	}
	answer.Failed = err != nil && !answer.Gone && !answer.Restarted
	if answer.Failed {
		answer.Cause = err.Error()
		answer.Disconnected = Disconnected(err)
	}
	return answer
}

// endings maps the JSON names of how a run ended.
var endings = map[string]jobwire.Ending{
	"done":    jobwire.Ending_ENDING_DONE,
	"failed":  jobwire.Ending_ENDING_FAILED,
	"stopped": jobwire.Ending_ENDING_STOPPED,
	"lapsed":  jobwire.Ending_ENDING_LAPSED,
}

// appendRuns adds the runs and the ends to the answer of a poll. An unknown ending
// is an error, since guessing one would lose the task or run it again.
func (a Answer) appendRuns(answer *jobscheduler.PollAnswer) error {
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

// Package submitter sends requests and tasks to a running deployment for the
// example programs.
package submitter

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/go-resty/resty/v2"
	"github.com/pkg/errors"
)

// Submitter is a client that sends requests and tasks with the key of one team.
// It is safe for concurrent use.
type Submitter struct {
	client      *resty.Client
	retryBudget time.Duration
}

// Options configures a Submitter.
type Options struct {
	// Server is the URL of an entry host.
	Server string
	// Key is the team's key; it may be empty if only open queues are used.
	Key string
	// RetryBudget bounds the total wait before resends of work that the server
	// refused with Retry-After. With 0 nothing is sent again.
	RetryBudget time.Duration
}

// New returns a Submitter for the entry host in options.
func New(options Options) *Submitter {
	client := resty.New().
		SetBaseURL(options.Server).
		SetTimeout(10 * time.Second).
		SetDisableWarn(true)
	if options.Key != "" {
		client.SetAuthToken(options.Key)
	}
	return &Submitter{
		client:      client,
		retryBudget: options.RetryBudget,
	}
}

// Request is one request to the upstreams of a queue.
type Request struct {
	Method, Queue, Path string
	// IdempotencyKey makes it safe to resend a request that must not run twice;
	// it may be empty.
	IdempotencyKey string
	Deadline       time.Duration
	Body           string
}

// Refusal has the members of a refusal's problem details that go into the error.
type Refusal struct {
	Detail      string `json:"detail"`
	Run         string `json:"run"`
	ThisAttempt string `json:"this-attempt"`
}

// Do sends the request and returns the body of the upstream's response. It resends
// the request only after a refusal with Retry-After.
func (s *Submitter) Do(ctx context.Context, r Request) (string, error) {
	response, err := s.send(ctx, r.Method, "/q/"+r.Queue+"/"+r.Path, func(request *resty.Request) {
		request.SetBody(r.Body).SetHeader("Heathermux-Deadline", r.Deadline.String())
		if r.IdempotencyKey != "" {
			request.SetHeader("Idempotency-Key", r.IdempotencyKey)
		}
	})
	if err != nil {
		return "", errors.Wrap(err, "submitter: request")
	}
	return response.String(), nil
}

// send executes a call, and repeats it as long as the server refuses it with
// Retry-After and the wait fits into the retry budget.
func (s *Submitter) send(ctx context.Context, method, path string, prepare func(*resty.Request)) (*resty.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, s.retryBudget+10*time.Second)
	defer cancel()
	remaining := s.retryBudget
	for {
		var refusal Refusal
		request := s.client.R().SetContext(ctx).SetError(&refusal)
		prepare(request)
		response, err := request.Execute(method, path)
		if err != nil {
			return nil, err
		}
		if response.IsSuccess() {
			return response, nil
		}
		seconds, err := strconv.Atoi(response.Header().Get("Retry-After"))
		wait := time.Duration(max(seconds, 1)) * time.Second
		if err != nil || wait > remaining {
			return nil, fmt.Errorf("%s %s: %s: %s (run: %s, this attempt: %s)",
				method, path, response.Status(), refusal.Detail, refusal.Run, refusal.ThisAttempt)
		}
		remaining -= wait
		if err := sleep(ctx, wait); err != nil {
			return nil, err
		}
	}
}

// sleep waits for d; it returns the context's error if that ends first.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Task is the body of POST /v1/tasks.
type Task struct {
	Queue        string `json:"queue"`
	Processors   string `json:"processors"`
	Memory       string `json:"memory"`
	Accelerators int    `json:"accelerators"`
	Deadline     string `json:"deadline"`
	Idempotent   bool   `json:"idempotent"`
	Urgent       bool   `json:"urgent"`
	// Payload is encoded as base64 in JSON.
	Payload []byte `json:"payload"`
}

// TaskStatus is the status of a task as the deployment reports it.
type TaskStatus struct {
	ID    string `json:"id"`
	State string `json:"state"`
}

// Submit sends the task and returns its status once it is accepted.
func (s *Submitter) Submit(ctx context.Context, task Task) (TaskStatus, error) {
	return s.task(ctx, http.MethodPost, "/v1/tasks", task)
}

// Task returns the status of an accepted task.
func (s *Submitter) Task(ctx context.Context, id string) (TaskStatus, error) {
	return s.task(ctx, http.MethodGet, "/v1/tasks/"+id, nil)
}

// Cancel cancels an accepted task.
func (s *Submitter) Cancel(ctx context.Context, id string) error {
	_, err := s.task(ctx, http.MethodDelete, "/v1/tasks/"+id, nil)
	return err
}

func (s *Submitter) task(ctx context.Context, method, path string, body any) (TaskStatus, error) {
	var status TaskStatus
	_, err := s.send(ctx, method, path, func(request *resty.Request) {
		request.SetResult(&status)
		if body != nil {
			request.SetBody(body)
		}
	})
	return status, errors.Wrap(err, "submitter: task")
}

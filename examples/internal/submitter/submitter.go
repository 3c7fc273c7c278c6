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

// Submitter sends work with the key of one team. It may be used from any
// number of goroutines.
type Submitter struct {
	client   *resty.Client
	patience time.Duration
}

// Options are those of New.
type Options struct {
	// Server is the URL of an entry host.
	Server string
	// Key of the team; empty for queues that are open to all.
	Key string
	// Patience is how long work that was refused as not run is sent again;
	// 0 means not at all.
	Patience time.Duration
}

// New returns a submitter.
func New(options Options) *Submitter {
	client := resty.New().
		SetBaseURL(options.Server).
		SetTimeout(10 * time.Second).
		SetDisableWarn(true)
	if options.Key != "" {
		client.SetAuthToken(options.Key)
	}
	return &Submitter{
		client:   client,
		patience: options.Patience,
	}
}

// Request is one request to the upstreams of a queue.
type Request struct {
	Method, Queue, Path string
	// IdempotencyKey makes resends of a request that must not repeat safe.
	IdempotencyKey string
	Deadline       time.Duration
	Body           string
}

// Refusal is the part of a final refusal that a submitter needs.
type Refusal struct {
	Detail      string `json:"detail"`
	Run         string `json:"run"`
	ThisAttempt string `json:"this-attempt"`
}

// Do sends the request and returns the body of the upstream's response. It
// sends again only what was refused with leave to do so (Retry-After).
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

// send resends while the server says when to and patience lasts.
func (s *Submitter) send(ctx context.Context, method, path string, prepare func(*resty.Request)) (*resty.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, s.patience+10*time.Second)
	defer cancel()
	left := s.patience
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
		if err != nil || wait > left {
			return nil, fmt.Errorf("%s %s: %s: %s (run: %s, this attempt: %s)",
				method, path, response.Status(), refusal.Detail, refusal.Run, refusal.ThisAttempt)
		}
		left -= wait
		if err := sleep(ctx, wait); err != nil {
			return nil, err
		}
	}
}

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
	// Payload is sent in base64.
	Payload []byte `json:"payload"`
}

// TaskStatus is what the deployment tells of a task.
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

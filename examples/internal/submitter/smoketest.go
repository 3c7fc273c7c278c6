package submitter

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// SmokeTest sends one request and one task to a running deployment and checks the
// results. All fields are required.
type SmokeTest struct {
	// Server is the URL of an entry host, KeyFile the file with a team's key.
	Server, KeyFile string
	// The request is sent to Path of Queue; the test runs its upstream in
	// DataCentre.
	Queue, Path, DataCentre string
	// TaskQueue is the queue that the task is submitted to.
	TaskQueue string
	// Output receives one line for each check that passed.
	Output io.Writer
}

// Run sends a request twice with the same Idempotency-Key, and submits a task. It
// returns an error unless the upstream runs the request once, both responses are
// equal, and the task can be read back and cancelled.
func (t SmokeTest) Run(ctx context.Context) error {
	key, err := os.ReadFile(t.KeyFile)
	if err != nil {
		return errors.Wrap(err, "submitter: read key file")
	}
	s := New(Options{
		Server:      t.Server,
		Key:         strings.TrimSpace(string(key)),
		RetryBudget: 10 * time.Second,
	})
	if err := t.checkRequest(ctx, s); err != nil {
		return err
	}
	return t.checkTask(ctx, s)
}

// checkRequest starts the upstream and sends it the same request twice.
func (t SmokeTest) checkRequest(ctx context.Context, s *Submitter) error {
	ctx, cancel := context.WithCancel(ctx)
	var runs atomic.Int64
	wait, err := ServeUpstream(ctx, t.Server, Announcement{
		ID:          "example-" + t.Queue,
		Queue:       t.Queue,
		DataCentre:  t.DataCentre,
		Rack:        "example",
		Slots:       8,
		Connections: 64,
	}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		fmt.Fprintf(w, "%s, run %d", r.URL.Path, runs.Add(1))
	}))
	if err != nil {
		cancel()
		return err
	}
	defer wait()
	defer cancel()
	request := Request{
		Method:         http.MethodPost,
		Queue:          t.Queue,
		Path:           t.Path,
		IdempotencyKey: "example-" + rand.Text(),
		Deadline:       2 * time.Second,
	}
	first, err := s.Do(ctx, request)
	if err != nil {
		return err
	}
	second, err := s.Do(ctx, request)
	if err != nil {
		return err
	}
	if first != second || runs.Load() != 1 {
		return errors.Errorf("submitter: the request ran %d times, the responses are %q and %q", runs.Load(), first, second)
	}
	_, err = fmt.Fprintf(t.Output, "request: ran once, the resend got the same response: %s\n", first)
	return err
}

// checkTask submits a task, reads it back and cancels it. It doesn't wait for the
// task to run, so that it needs no worker.
func (t SmokeTest) checkTask(ctx context.Context, s *Submitter) error {
	accepted, err := s.Submit(ctx, Task{
		Queue:      t.TaskQueue,
		Processors: "2 cores",
		Memory:     "4GiB",
		Deadline:   "60s",
		Idempotent: true,
		Payload:    []byte("example"),
	})
	if err != nil {
		return err
	}
	read, err := s.Task(ctx, accepted.ID)
	if err != nil {
		return err
	}
	if read.ID != accepted.ID || read.State == "" {
		return errors.Errorf("submitter: task %q was read back as %q in state %q", accepted.ID, read.ID, read.State)
	}
	if _, err := fmt.Fprintf(t.Output, "task: %s accepted, state %s\n", read.ID, read.State); err != nil {
		return err
	}
	return s.Cancel(ctx, read.ID)
}

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

// Trial is what an example program sends to a running deployment. All fields
// are needed.
type Trial struct {
	// Server is the URL of an entry host, KeyFile the file with a team's key.
	Server, KeyFile string
	// Queue takes the request at Path; the trial serves it in DataCentre.
	Queue, Path, DataCentre string
	// TaskQueue takes the task.
	TaskQueue string
	// Output takes a line for each check.
	Output io.Writer
}

// Run sends one request twice under the same Idempotency-Key and one task. The
// upstream has to see the request once, both responses have to be the same,
// and the task has to be read back.
func (t Trial) Run(ctx context.Context) error {
	key, err := os.ReadFile(t.KeyFile)
	if err != nil {
		return errors.Wrap(err, "submitter: key")
	}
	s := New(Options{
		Server:   t.Server,
		Key:      strings.TrimSpace(string(key)),
		Patience: 10 * time.Second,
	})
	if err := t.request(ctx, s); err != nil {
		return err
	}
	return t.task(ctx, s)
}

func (t Trial) request(ctx context.Context, s *Submitter) error {
	ctx, stop := context.WithCancel(ctx)
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
		stop()
		return err
	}
	defer wait()
	defer stop()
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

// task submits a task, reads it back and cancels it, since no worker is needed
// for that.
func (t Trial) task(ctx context.Context, s *Submitter) error {
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

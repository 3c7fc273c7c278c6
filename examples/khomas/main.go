// Command khomas switches a circuit and submits a task. It calls the
// deployment that scripts/try-local starts, and serves the queue itself while
// it runs.
package main

import (
	"context"
	"crypto/rand"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/heathermux/heathermux/examples/internal/submitter"
)

func main() {
	server := flag.String("server", "http://127.0.0.21:8080", "URL of an entry host")
	keyFile := flag.String("key-file", "examples/khomas/keys/street-lights.key", "file with the key of the team street-lights")
	flag.Parse()
	if err := run(context.Background(), *server, *keyFile); err != nil {
		fmt.Fprintln(os.Stderr, "khomas:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, server, keyFile string) error {
	key, err := os.ReadFile(keyFile)
	if err != nil {
		return err
	}
	s := submitter.New(submitter.Options{
		Server:   server,
		Key:      strings.TrimSpace(string(key)),
		Patience: 10 * time.Second,
	})
	if err := switchCircuit(ctx, server, s); err != nil {
		return err
	}
	return submitTask(ctx, s)
}

// switchCircuit sends one request twice under the same Idempotency-Key. The upstream has
// to see it once, and both responses have to be the same.
func switchCircuit(ctx context.Context, server string, s *submitter.Submitter) error {
	ctx, stop := context.WithCancel(ctx)
	var runs atomic.Int64
	wait, err := submitter.ServeUpstream(ctx, server, submitter.Announcement{
		ID:          "example-switch",
		Queue:       "switch",
		DataCentre:  "windhoek-north",
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
	request := submitter.Request{
		Method:         http.MethodPost,
		Queue:          "switch",
		Path:           "circuits/lamp-17",
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
		return fmt.Errorf("the request ran %d times, the responses are %q and %q", runs.Load(), first, second)
	}
	fmt.Printf("request: ran once, the resend got the same response: %s\n", first)
	return nil
}

// submitTask submits a task, reads it back and cancels it, since no worker is needed
// for that.
func submitTask(ctx context.Context, s *submitter.Submitter) error {
	accepted, err := s.Submit(ctx, submitter.Task{
		Queue:      "switch-tasks",
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
		return fmt.Errorf("task %q was read back as %q in state %q", accepted.ID, read.ID, read.State)
	}
	fmt.Printf("task: %s accepted, state %s\n", read.ID, read.State)
	return s.Cancel(ctx, read.ID)
}

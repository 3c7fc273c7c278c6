package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/internal/announcer"
	"github.com/heathermux/heathermux/internal/invoker"
)

// JobWorkerOptions sets up a JobWorker. All fields but Rack and Labels are needed.
type JobWorkerOptions struct {
	ID         string
	Pool       string
	DataCentre string
	Rack       string
	Labels     []string
	Capacity   announcer.Resources
	// TaskTime is how long a task runs.
	TaskTime time.Duration
	// EntryHosts are the URLs to announce to, the nearest first.
	EntryHosts []string
	Ledger     JobLedger
}

// JobWorker takes orders of the leader and runs tasks that only take time. Make
// one with NewJobWorker and end it with Kill.
type JobWorker struct {
	opts   JobWorkerOptions
	runs   *JobRuns
	client *announcer.Client
	server *http.Server
	cancel context.CancelFunc
	group  sync.WaitGroup
	// address is where it takes orders.
	address string
}

// NewJobWorker starts a worker on a loopback port.
func NewJobWorker(opts JobWorkerOptions) (*JobWorker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "emulator: job worker")
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &JobWorker{
		opts:    opts,
		runs:    NewJobRuns(opts.TaskTime, opts.Ledger),
		client:  announcer.NewClient(opts.EntryHosts...),
		cancel:  cancel,
		address: listener.Addr().String(),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+invoker.StartPath, w.order(w.start))
	mux.HandleFunc("POST "+invoker.StopPath, w.order(w.stop))
	mux.HandleFunc("POST "+invoker.PollPath, w.order(w.look))
	w.server = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: time.Second,
	}
	w.group.Go(func() { _ = w.server.Serve(listener) })
	w.group.Go(func() { w.runs.Run(ctx) })
	w.group.Go(func() { w.announce(ctx) })
	return w, nil
}

// Kill stops at once, without a word to anybody; what runs is gone.
func (w *JobWorker) Kill() {
	_ = w.server.Close()
	w.cancel()
	w.group.Wait()
	w.client.Close()
}

// jobRefusals holds the names of refusals on the wire.
var jobRefusals = map[JobAnswer]string{
	JobFenced: "fenced",
	JobOld:    "outdated",
	JobLate:   "late",
}

// jobEndings holds the names of endings on the wire.
var jobEndings = map[JobEnding]string{
	JobDone:    "done",
	JobStopped: "stopped",
	JobLapsed:  "lapsed",
}

// order decodes an order and answers with what f returns.
func (w *JobWorker) order(f func(o invoker.Order, a *invoker.Answer) JobAnswer) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(invoker.WorkerHeader); id != w.opts.ID {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var o invoker.Order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			http.Error(rw, "the order is not readable: "+err.Error(), http.StatusBadRequest)
			return
		}
		a := invoker.Answer{
			Born: w.runs.Born(),
		}
		status := http.StatusOK
		if answer := f(o, &a); answer != JobAccepted {
			status, a.Reason = http.StatusConflict, jobRefusals[answer]
		}
		a.ClockMillis = w.runs.Clock()
		rw.WriteHeader(status)
		_ = json.NewEncoder(rw).Encode(a)
	}
}

func (w *JobWorker) start(o invoker.Order, _ *invoker.Answer) JobAnswer {
	return w.runs.Start(o.Fence, o.DeadlineMillis, taskText(o.Task), o.Run)
}

func (w *JobWorker) stop(o invoker.Order, _ *invoker.Answer) JobAnswer {
	return w.runs.Stop(o.Fence, taskText(o.Task), o.Run)
}

func (w *JobWorker) look(o invoker.Order, a *invoker.Answer) JobAnswer {
	wait := time.Duration(o.WaitMillis) * time.Millisecond
	running, ended, answer := w.runs.Look(o.Fence, o.DeadlineMillis, o.Seen, wait)
	for _, r := range running {
		a.Running = append(a.Running, invoker.RunningTask{
			Task: taskOf(r.Task),
			Run:  r.Run,
		})
	}
	for _, e := range ended {
		a.Ended = append(a.Ended, invoker.EndedTask{
			Number: e.Number,
			Task:   taskOf(e.Task),
			Run:    e.Run,
			Ending: jobEndings[e.How],
		})
	}
	return answer
}

// announce renews the announcement until ctx ends.
func (w *JobWorker) announce(ctx context.Context) {
	for sequence := uint64(1); ctx.Err() == nil; sequence++ {
		// One that fails is repeated with the next.
		_ = w.client.AnnounceJobWorker(ctx, announcer.JobWorker{
			ID:          w.opts.ID,
			Born:        w.runs.Born(),
			Pool:        w.opts.Pool,
			Address:     w.address,
			DataCentre:  w.opts.DataCentre,
			Rack:        w.opts.Rack,
			Labels:      w.opts.Labels,
			Capacity:    w.opts.Capacity,
			Sequence:    sequence,
			ClockMillis: w.runs.Clock(),
		})
		select {
		case <-ctx.Done():
		case <-time.After(announcer.RenewInterval):
		}
	}
}

// taskText and taskOf convert names of tasks.
func taskText(t *invoker.Task) string {
	if t == nil {
		return ""
	}
	return fmt.Sprintf("%s %d %d %d", t.Job, t.Occurrence, t.Step, t.Index)
}

func taskOf(text string) invoker.Task {
	var t invoker.Task
	// The text is one that taskText has made.
	_, _ = fmt.Sscanf(text, "%s %d %d %d", &t.Job, &t.Occurrence, &t.Step, &t.Index)
	return t
}

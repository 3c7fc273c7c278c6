package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/internal/announcer"
	"github.com/heathermux/heathermux/internal/invoker"
)

// JobWorkerOptions configures a JobWorker. All fields but Rack, Labels and Ledger
// are required.
type JobWorkerOptions struct {
	ID         string
	Pool       string
	DataCentre string
	Rack       string
	Labels     []string
	Capacity   announcer.Resources
	// TaskTime is the run time of each task.
	TaskTime time.Duration
	// EntryHosts are the URLs to announce to, the nearest first.
	EntryHosts []string
	// Ledger is notified of the runs; it may be nil.
	Ledger JobLedger
	// OnStart, if not nil, is called with the job of a task that was started, before the
	// order is answered.
	OnStart func(job string)
}

// JobWorker emulates a job worker: it accepts orders of the leader over HTTP and
// runs tasks that do nothing for a fixed time. Create one with NewJobWorker and
// stop it with Kill.
type JobWorker struct {
	opts   JobWorkerOptions
	runs   *JobRuns
	client *announcer.Client
	server *http.Server
	cancel context.CancelFunc
	group  sync.WaitGroup
	// address is where the worker listens for orders.
	address string
	// capacity is what announcements state.
	capacity atomic.Pointer[announcer.Resources]
}

// NewJobWorker starts a job worker on a free loopback port.
func NewJobWorker(opts JobWorkerOptions) (*JobWorker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "emulator: listen for orders to a job worker")
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &JobWorker{
		opts:    opts,
		runs:    NewJobRuns(func(string) time.Duration { return opts.TaskTime }, opts.Ledger),
		client:  announcer.NewClient(opts.EntryHosts...),
		cancel:  cancel,
		address: listener.Addr().String(),
	}
	w.capacity.Store(&opts.Capacity)
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+invoker.StartPath, w.orderHandler(w.executeStart))
	mux.HandleFunc("POST "+invoker.StopPath, w.orderHandler(w.executeStop))
	mux.HandleFunc("POST "+invoker.PollPath, w.orderHandler(w.executeLook))
	w.server = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: time.Second,
	}
	w.group.Go(func() { _ = w.server.Serve(listener) })
	w.group.Go(func() { w.runs.Run(ctx) })
	w.group.Go(func() { w.announce(ctx) })
	return w, nil
}

// Resize changes the capacity that the worker states from its next announcement on. It
// does not guard it.
func (w *JobWorker) Resize(capacity announcer.Resources) { w.capacity.Store(&capacity) }

// Kill stops the worker abruptly; nobody is notified and active runs are lost.
func (w *JobWorker) Kill() {
	_ = w.server.Close()
	w.cancel()
	w.group.Wait()
	w.client.Close()
}

// refusalReasons maps refusals to their names on the wire.
var refusalReasons = map[JobAnswer]string{
	JobFenced: "fenced",
	JobOld:    "outdated",
	JobLate:   "late",
}

// endingNames maps endings to their names on the wire.
var endingNames = map[JobEnding]string{
	JobDone:    "done",
	JobStopped: "stopped",
	JobLapsed:  "lapsed",
}

// orderHandler returns a handler that decodes an order, calls execute and sends
// the answer. A refusal is answered with 409, an order for another worker with 421.
func (w *JobWorker) orderHandler(execute func(o invoker.Order, a *invoker.Answer) JobAnswer) http.HandlerFunc {
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
		if answer := execute(o, &a); answer != JobAccepted {
			status, a.Reason = http.StatusConflict, refusalReasons[answer]
		}
		a.ClockMillis = w.runs.Clock()
		rw.WriteHeader(status)
		_ = json.NewEncoder(rw).Encode(a)
	}
}

func (w *JobWorker) executeStart(o invoker.Order, _ *invoker.Answer) JobAnswer {
	answer := w.runs.Start(o.Fence, o.DeadlineMillis, formatTask(o.Task), o.Run)
	if answer == JobAccepted && w.opts.OnStart != nil && o.Task != nil {
		w.opts.OnStart(o.Task.Job)
	}
	return answer
}

func (w *JobWorker) executeStop(o invoker.Order, _ *invoker.Answer) JobAnswer {
	return w.runs.Stop(o.Fence, formatTask(o.Task), o.Run)
}

func (w *JobWorker) executeLook(o invoker.Order, a *invoker.Answer) JobAnswer {
	wait := time.Duration(o.WaitMillis) * time.Millisecond
	running, ended, answer := w.runs.Look(o.Fence, o.DeadlineMillis, o.Seen, wait)
	for _, r := range running {
		a.Running = append(a.Running, invoker.RunningTask{
			Task: parseTask(r.Task),
			Run:  r.Run,
		})
	}
	for _, e := range ended {
		a.Ended = append(a.Ended, invoker.EndedTask{
			Number: e.Number,
			Task:   parseTask(e.Task),
			Run:    e.Run,
			Ending: endingNames[e.How],
		})
	}
	return answer
}

// announce announces the worker at every renewal interval until ctx is done.
func (w *JobWorker) announce(ctx context.Context) {
	for sequence := uint64(1); ctx.Err() == nil; sequence++ {
		// A failed announcement is not retried; the next renewal replaces it.
		_ = w.client.AnnounceJobWorker(ctx, announcer.JobWorker{
			ID:          w.opts.ID,
			Born:        w.runs.Born(),
			Pool:        w.opts.Pool,
			Address:     w.address,
			DataCentre:  w.opts.DataCentre,
			Rack:        w.opts.Rack,
			Labels:      w.opts.Labels,
			Capacity:    *w.capacity.Load(),
			Sequence:    sequence,
			ClockMillis: w.runs.Clock(),
		})
		select {
		case <-ctx.Done():
		case <-time.After(announcer.RenewInterval):
		}
	}
}

// formatTask returns the key of a task in JobRuns: job, occurrence, step and index
// separated by spaces. A missing task has an empty key.
func formatTask(t *invoker.Task) string {
	if t == nil {
		return ""
	}
	return fmt.Sprintf("%s %d %d %d", t.Job, t.Occurrence, t.Step, t.Index)
}

// parseTask is the inverse of formatTask.
func parseTask(text string) invoker.Task {
	var t invoker.Task
	// The text was made by formatTask; an empty one gives the zero Task.
	_, _ = fmt.Sscanf(text, "%s %d %d %d", &t.Job, &t.Occurrence, &t.Step, &t.Index)
	return t
}

package emulator

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/internal/announcer"
	"github.com/heathermux/heathermux/internal/runner"
	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/timer"
)

// WorkerOptions configures a Worker. All fields are required.
type WorkerOptions struct {
	// Name, DataCentre, Rack and Capacity are those of the host.
	Name, DataCentre, Rack string
	Capacity               *wire.Resources
	// RunTime is the mean run time of a task.
	RunTime time.Duration
	// EntryHosts are the URLs to poll, the nearest first.
	EntryHosts []string
	// Starts records the starts of tasks.
	Starts *Starts
	// Clock times the polls and the tasks.
	Clock timer.Clock
	// Seed determines the sequence of run times.
	Seed uint64
}

// Worker emulates a worker: it polls the entry hosts and runs tasks that do nothing
// for a random time. Create one with NewWorker and stop it with Kill.
type Worker struct {
	client *announcer.Client
	runner *runner.Runner
	cancel context.CancelFunc
	group  sync.WaitGroup
}

// NewWorker starts a worker, which polls until it is killed.
func NewWorker(opts WorkerOptions) *Worker {
	client := announcer.NewClient(opts.EntryHosts...)
	w := &Worker{
		client: client,
		runner: runner.New(runner.Options{
			Worker:      opts.Name,
			DataCentre:  opts.DataCentre,
			Rack:        opts.Rack,
			Capacity:    opts.Capacity,
			Incarnation: uuid.NewString(),
			Clock:       opts.Clock,
			Executor: &executor{
				opts:    opts,
				running: make(map[string]*runningTask),
				random:  rand.New(rand.NewPCG(opts.Seed, 2)),
			},
			Poller: client,
		}),
	}
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	w.group.Go(func() { w.runner.Run(ctx) })
	return w
}

// Running returns the number of running tasks.
func (w *Worker) Running() int { return w.runner.OpenTasks() }

// Kill stops the worker abruptly; nobody is notified.
func (w *Worker) Kill() {
	w.cancel()
	w.group.Wait()
	w.client.Close()
}

// runningTask is a task that runs, with the time at which it ends.
type runningTask struct {
	task      *wire.Task
	startedAt time.Time
	endsAt    time.Time
}

// executor is the runner's executor; its tasks only take time. It has no lock: the
// runner calls it from one goroutine at a time.
type executor struct {
	opts    WorkerOptions
	running map[string]*runningTask
	random  *rand.Rand
}

// Start begins a task.
func (e *executor) Start(task *wire.Task) error {
	if _, ok := e.running[task.GetId()]; ok {
		return errors.Errorf("emulator: can't start task %s: it is running already", task.GetId())
	}
	const maxMultipleOfMean = 5
	now := e.opts.Clock.Now()
	e.running[task.GetId()] = &runningTask{
		task:      task,
		startedAt: now,
		endsAt:    now.Add(time.Duration(min(e.random.ExpFloat64(), maxMultipleOfMean) * float64(e.opts.RunTime))),
	}
	e.opts.Starts.Add(Start{
		Task:       task.GetId(),
		Worker:     e.opts.Name,
		DataCentre: e.opts.DataCentre,
		Team:       task.GetTeam(),
		At:         now,
	})
	return nil
}

// Checkpoint ends the task at once. Nothing is saved, so a later start begins anew.
func (e *executor) Checkpoint(id string) error {
	if w, ok := e.running[id]; ok {
		w.endsAt = e.opts.Clock.Now()
	}
	return nil
}

// Throttle does nothing, because the tasks use no CPU time.
func (*executor) Throttle(string, bool) {}

// Stop removes a running task; it is not reported as ended.
func (e *executor) Stop(id string) { delete(e.running, id) }

// Used returns the declared size of a running task as its usage.
func (e *executor) Used(id string) *wire.Resources {
	if w, ok := e.running[id]; ok {
		return w.task.GetSize()
	}
	return &wire.Resources{}
}

// Ended removes and returns the tasks whose run time is over.
func (e *executor) Ended() []*wire.EndedTask {
	var ended []*wire.EndedTask
	now := e.opts.Clock.Now()
	for id, w := range e.running {
		if now.Before(w.endsAt) {
			continue
		}
		delete(e.running, id)
		ended = append(ended, &wire.EndedTask{
			Task:     id,
			State:    wire.TaskState_TASK_STATE_SUCCEEDED,
			Peak:     w.task.GetSize(),
			RunNanos: int64(now.Sub(w.startedAt)),
		})
	}
	return ended
}

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

// WorkerOptions sets up a Worker. All fields are needed.
type WorkerOptions struct {
	// Name, DataCentre, Rack and Capacity are those of the host.
	Name, DataCentre, Rack string
	Capacity               *wire.Resources
	// RunTime is the mean time that a task runs.
	RunTime time.Duration
	// EntryHosts are the URLs to poll, the nearest first.
	EntryHosts []string
	// Starts lists the starts of tasks.
	Starts *Starts
	// Clock times polls and tasks.
	Clock timer.Clock
	// Seed fixes the sequence of run times.
	Seed uint64
}

// Worker polls entry hosts and runs tasks that only wait. Make one with NewWorker.
type Worker struct {
	client *announcer.Client
	runner *runner.Runner
	cancel context.CancelFunc
	group  sync.WaitGroup
}

// NewWorker starts a worker.
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
				running: make(map[string]*work),
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

// Running returns how many tasks run.
func (w *Worker) Running() int { return w.runner.OpenTasks() }

// Kill stops at once, without a word to anybody.
func (w *Worker) Kill() {
	w.cancel()
	w.group.Wait()
	w.client.Close()
}

// work is one task that runs.
type work struct {
	task  *wire.Task
	began time.Time
	ends  time.Time
}

// executor runs tasks by waiting. The runner calls it from one goroutine at a time.
type executor struct {
	opts    WorkerOptions
	running map[string]*work
	random  *rand.Rand
}

// Start begins a task.
func (e *executor) Start(task *wire.Task) error {
	if _, ok := e.running[task.GetId()]; ok {
		return errors.Errorf("emulator: task %s runs already", task.GetId())
	}
	const most = 5
	now := e.opts.Clock.Now()
	e.running[task.GetId()] = &work{
		task:  task,
		began: now,
		ends:  now.Add(time.Duration(min(e.random.ExpFloat64(), most) * float64(e.opts.RunTime))),
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

// Checkpoint ends the task; a later start begins anew.
func (e *executor) Checkpoint(id string) error {
	if w, ok := e.running[id]; ok {
		w.ends = e.opts.Clock.Now()
	}
	return nil
}

// Throttle does nothing, because the tasks use no processor.
func (*executor) Throttle(string, bool) {}

// Stop ends a task.
func (e *executor) Stop(id string) { delete(e.running, id) }

// Used returns the declared size.
func (e *executor) Used(id string) *wire.Resources {
	if w, ok := e.running[id]; ok {
		return w.task.GetSize()
	}
	return &wire.Resources{}
}

// Ended returns the tasks whose time is over.
func (e *executor) Ended() []*wire.EndedTask {
	var ended []*wire.EndedTask
	now := e.opts.Clock.Now()
	for id, w := range e.running {
		if now.Before(w.ends) {
			continue
		}
		delete(e.running, id)
		ended = append(ended, &wire.EndedTask{
			Task:     id,
			State:    wire.TaskState_TASK_STATE_SUCCEEDED,
			Peak:     w.task.GetSize(),
			RunNanos: int64(now.Sub(w.began)),
		})
	}
	return ended
}

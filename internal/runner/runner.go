// Package runner is the agent on a worker host that carries out the orders of the
// scheduler of its data centre. It measures the worker lease with its own
// monotonic clock and stops all tasks when the lease expires, so that a scheduler
// that receives no more polls knows from when on no task runs.
package runner

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/scheduler"
	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/leaser"
	"github.com/heathermux/heathermux/pkg/timer"
)

// Executor runs the tasks of one worker. It is called by one goroutine at a time.
// Calls must not block for long, because the lease is checked between them.
type Executor interface {
	// Start starts a task, which may use at most its declared size. An error
	// means that the task did not run and will not.
	Start(task *wire.Task) error
	// Checkpoint asks a task to save its progress and end. An error means that
	// the task does not support checkpoints and continues to run.
	Checkpoint(id string) error
	// Throttle reduces the processor use of a task to almost nothing, or restores
	// it.
	Throttle(id string, on bool)
	// Stop ends a task. The task no longer runs when Stop returns.
	Stop(id string)
	// Used returns the resources that a running task uses at present.
	Used(id string) *wire.Resources
	// Ended returns the tasks that have ended since the last call, except those
	// ended by Stop.
	Ended() []*wire.EndedTask
}

// Poller sends polls to an entry host. An error means that no orders were
// received.
type Poller interface {
	Poll(ctx context.Context, poll *wire.WorkerPoll) (*wire.WorkerOrders, error)
}

// Options configures a Runner; all fields but Logger are required.
type Options struct {
	Worker     string
	DataCentre string
	Rack       string
	Capacity   *wire.Resources
	// Incarnation identifies this run of the worker's process.
	Incarnation string
	Clock       timer.Clock
	Executor    Executor
	Poller      Poller
	// Logger receives when polls begin to fail and when they succeed again; nil
	// discards both.
	Logger *slog.Logger
}

// PollTimeout limits the duration of a poll. Orders that arrive later are
// discarded, so that the next poll tells the scheduler reliably what was carried
// out.
const PollTimeout = time.Second

// Runner is the agent of one worker. Its methods are safe for concurrent use,
// except that calls of Poll must not overlap.
type Runner struct {
	opts Options

	// mu guards the fields below and the calls of Executor. It is not held while
	// a poll is sent.
	mu         sync.Mutex
	epochGuard leaser.Guard
	// leaseUntil is when the worker lease expires. Invariant: at most the lease
	// length after the sending of a poll that was answered.
	leaseUntil   time.Time
	lastSequence uint64
	// schedulerSession is the session of the scheduler that answered the last
	// poll; it is empty after a failed poll. That scheduler knows all running
	// tasks.
	schedulerSession string
	poolEpoch        uint64
	pool             string
	leaving          bool
	running          map[string]*activeTask
	// Invariant: contains each ended task until the scheduler has acknowledged it.
	ended   map[string]endedTask
	started startedTasks
}

// activeTask is a task that was ordered to start and has not ended.
type activeTask struct {
	task  *wire.Task
	epoch uint64
	// startedAt is zero while the task waits for free resources.
	startedAt time.Time
	// startBy is when a task that still waits for free resources is returned to
	// the scheduler.
	startBy      time.Time
	throttled    bool
	checkpointed bool
}

// endedTask is a task that has ended and is not acknowledged.
type endedTask struct {
	report *wire.EndedTask
	// mayRestart is true if the task may be started on this worker again, either
	// because it never started, or because it is idempotent and neither succeeded
	// nor failed.
	mayRestart bool
}

// New returns a runner without a lease or tasks.
func New(opts Options) *Runner {
	if opts.Logger == nil {
		opts.Logger = slog.New(slog.DiscardHandler)
	}
	return &Runner{
		opts:    opts,
		running: make(map[string]*activeTask),
		ended:   make(map[string]endedTask),
	}
}

// AnnounceLeave makes all further polls announce that the worker is about to leave.
func (r *Runner) AnnounceLeave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
}

// Pool returns the pool that the host was last ordered to serve.
func (r *Runner) Pool() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pool
}

// OpenTasks returns the number of tasks that were ordered to start and have not
// ended, including those that still wait for free resources.
func (r *Runner) OpenTasks() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.running)
}

// Run polls the scheduler and checks the lease until ctx is done. It then stops all
// tasks.
func (r *Runner) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() {
		failing := false
		r.repeat(ctx, scheduler.PollInterval, func() {
			err := r.Poll(ctx)
			if (err != nil) != failing && ctx.Err() == nil {
				failing = !failing
				r.logPolls(err)
			}
		})
	})
	loops.Go(func() {
		r.repeat(ctx, tickInterval, func() { r.Tick(r.opts.Clock.Now()) })
	})
	loops.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopAll("its worker left")
}

// logPolls logs that polls have begun to fail, or succeed again.
func (r *Runner) logPolls(err error) {
	if err == nil {
		r.opts.Logger.Info("runner: polls succeed again", "worker", r.opts.Worker)
		return
	}
	r.opts.Logger.Warn("runner: polls fail; all tasks are stopped when the lease ends", "worker", r.opts.Worker, "error", err)
}

// tickInterval is the time between two checks of the lease and of ended tasks.
const tickInterval = 100 * time.Millisecond

func (r *Runner) repeat(ctx context.Context, interval time.Duration, f func()) {
	for ctx.Err() == nil {
		f()
		t := r.opts.Clock.NewTimer(interval)
		select {
		case <-ctx.Done():
		case <-t.C():
		}
		t.Stop()
	}
}

// Tick collects ended tasks, stops all tasks if the lease has expired, and starts
// waiting tasks for which there are enough resources.
func (r *Runner) Tick(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.collectEnded(now)
	if !now.Before(r.leaseUntil) {
		r.stopAll("the lease of its worker ended")
	}
	r.startWaiting(now)
}

// capacity returns the resources of the worker.
func (r *Runner) capacity() controller.Amount { return controller.AmountOf(r.opts.Capacity) }

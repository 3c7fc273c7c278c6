// Package runner is the part of a worker host that takes orders from the
// scheduler of its data centre. It holds the worker lease on its own monotonic
// clock and stops every task when the lease ends, so that a scheduler which
// hears nothing knows by when nothing runs.
package runner

import (
	"context"
	"sync"
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/scheduler"
	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/leaser"
	"github.com/heathermux/heathermux/pkg/timer"
)

// Executor runs the tasks of one worker. It must accept calls from one
// goroutine at a time only; calls must not block for long, because the lease
// is watched between them.
type Executor interface {
	// Start begins a task of at most the given size. An error means that the
	// task did not run and will not.
	Start(task *wire.Task) error
	// Checkpoint asks a task to save its progress and end. An error means
	// that the task does not support it and runs on.
	Checkpoint(id string) error
	// Throttle slows a task down to next to no processor use, or lets it go on.
	Throttle(id string, on bool)
	// Stop ends a task. When it returns the task does not run any more.
	Stop(id string)
	// Used returns what a running task uses now.
	Used(id string) *wire.Resources
	// Ended returns the tasks that ended since the last call, other than by Stop.
	Ended() []*wire.EndedTask
}

// Poller sends one poll to any entry host. An error means that no orders were
// received.
type Poller interface {
	Poll(ctx context.Context, poll *wire.WorkerPoll) (*wire.WorkerOrders, error)
}

// Options sets up a Runner; every field is needed.
type Options struct {
	Worker     string
	DataCentre string
	Rack       string
	Capacity   *wire.Resources
	// Incarnation changes with each start of the worker's process.
	Incarnation string
	Clock       timer.Clock
	Executor    Executor
	Poller      Poller
}

// PollTimeout bounds one poll. Orders that arrive later are discarded, so that
// the next poll tells the scheduler for certain what was carried out.
const PollTimeout = time.Second

// Runner is the agent of one worker. Its methods may be called from any number
// of goroutines, except that Poll must not overlap itself.
type Runner struct {
	opts Options

	// mu guards the fields below and the Executor; it is not held during a poll.
	mu    sync.Mutex
	guard leaser.Guard
	// leaseUntil is the end of the worker lease. Invariant: at most the lease
	// length after the sending of a poll that was answered.
	leaseUntil time.Time
	sequence   uint64
	// session is that of the scheduler that answered the last poll; empty after
	// a poll without an answer. That scheduler knows all running tasks.
	session   string
	poolEpoch uint64
	pool      string
	leaving   bool
	running   map[string]*run
	// Invariant: holds each ended task until it is acknowledged.
	ended map[string]ending
	seen  seenTasks
}

// run is a task that was ordered and has not ended.
type run struct {
	task  *wire.Task
	epoch uint64
	// startedAt is zero while the task waits for room.
	startedAt time.Time
	// startBy is when a task that waits for room is handed back.
	startBy      time.Time
	throttled    bool
	checkpointed bool
}

// ending is a task that has ended.
type ending struct {
	report *wire.EndedTask
	// mayReturn: the task may be started again on this worker, as it never
	// started or is idempotent and was put off.
	mayReturn bool
}

// New returns a runner without a lease.
func New(opts Options) *Runner {
	return &Runner{
		opts:    opts,
		running: make(map[string]*run),
		ended:   make(map[string]ending),
	}
}

// Leave lets the next polls announce that the worker is about to leave.
func (r *Runner) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
}

// Pool returns the pool that the host was last told to serve.
func (r *Runner) Pool() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pool
}

// Running returns the number of tasks that were ordered and have not ended.
func (r *Runner) Running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.running)
}

// Run polls and watches the lease until ctx ends, and then stops all tasks.
func (r *Runner) Run(ctx context.Context) {
	var wait sync.WaitGroup
	wait.Go(func() {
		r.every(ctx, scheduler.PollInterval, func() { _ = r.Poll(ctx) })
	})
	wait.Go(func() {
		r.every(ctx, watchInterval, func() { r.Tick(r.opts.Clock.Now()) })
	})
	wait.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopAll("its worker left")
}

// watchInterval is the time between two looks at the lease and at ended tasks.
const watchInterval = 100 * time.Millisecond

func (r *Runner) every(ctx context.Context, d time.Duration, f func()) {
	for ctx.Err() == nil {
		f()
		t := r.opts.Clock.NewTimer(d)
		select {
		case <-ctx.Done():
		case <-t.C():
		}
		t.Stop()
	}
}

// Tick stops every task if the lease has ended, takes in ended tasks and
// starts those that waited for room.
func (r *Runner) Tick(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.collect(now)
	if !now.Before(r.leaseUntil) {
		r.stopAll("the lease of its worker ended")
	}
	r.startWaiting(now)
}

// Capacity returns what the worker offers.
func (r *Runner) capacity() controller.Amount { return controller.AmountOf(r.opts.Capacity) }

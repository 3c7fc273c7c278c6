package dispatcher_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/heathermux/heathermux/internal/dispatcher"
	"github.com/heathermux/heathermux/internal/runner"
	"github.com/heathermux/heathermux/internal/wire"
)

// workerHost is a worker with an executor that only keeps time. A frozen host
// freezes its tasks too.
type workerHost struct {
	w      *world
	name   string
	zone   string
	r      *runner.Runner
	up     bool
	frozen bool
	next   int
	tasks  map[string]*fakeTask
	done   []*wire.EndedTask
	ticks  int
}

type fakeTask struct {
	task      *wire.Task
	left      time.Duration
	throttled bool
}

// bootWorker starts a new process of a worker; what it ran is gone.
func (w *world) bootWorker(name string) {
	h := w.workers[name]
	w.serial++
	h.up = true
	h.tasks = make(map[string]*fakeTask)
	h.done = nil
	h.r = runner.New(runner.Options{
		Worker:      name,
		DataCentre:  h.zone,
		Capacity:    cores(4000),
		Incarnation: fmt.Sprint(w.serial),
		Clock:       w.clock,
		Executor:    h,
		Poller:      h,
	})
}

func (h *workerHost) advance() {
	if !h.up || h.frozen {
		return
	}
	h.r.Tick(h.w.clock.Now())
	for _, id := range slices.Sorted(maps.Keys(h.tasks)) {
		t := h.tasks[id]
		if t.throttled {
			continue
		}
		if t.left -= tick; t.left <= 0 {
			h.finish(id, wire.TaskState_TASK_STATE_SUCCEEDED, false)
		}
	}
	h.ticks++
	if h.ticks%5 == 0 {
		_ = h.r.Poll(context.Background()) // A lost poll is part of the tests.
	}
}

func (h *workerHost) finish(id string, state wire.TaskState, checkpointed bool) {
	h.done = append(h.done, &wire.EndedTask{
		Task:         id,
		State:        state,
		Peak:         h.tasks[id].task.GetSize(),
		RunNanos:     int64(time.Second),
		Checkpointed: checkpointed,
	})
	delete(h.tasks, id)
}

// running returns the processors that tasks really hold.
func (h *workerHost) running() int64 {
	var sum int64
	if h.up && !h.frozen {
		for _, t := range h.tasks {
			sum += t.task.GetSize().GetMilliCores()
		}
	}
	return sum
}

// Poll asks one entry host of the data centre, and after a failure the next.
func (h *workerHost) Poll(ctx context.Context, poll *wire.WorkerPoll) (*wire.WorkerOrders, error) {
	entries := map[string][]string{
		"dc-a": {"a1", "a2"},
		"dc-b": {"b1"},
	}[h.zone]
	to := entries[(h.next+int(h.name[1]))%len(entries)]
	if len(poll.GetEnded()) > 0 {
		h.w.step("end report", h.name)
	}
	me := h.r
	orders, err := deliver(h.w, h.name, to, "poll", poll, func(d *dispatcher.Dispatcher, q *wire.WorkerPoll) *wire.WorkerOrders {
		return d.Poll(ctx, q)
	})
	if err != nil || orders.GetError() != "" {
		h.next++
	}
	if len(orders.GetStart()) > 0 {
		h.w.step("start order", h.name)
	}
	if len(orders.GetAcknowledged()) > 0 {
		h.w.step("end acknowledgement", h.name)
	}
	if err == nil && (!h.up || h.frozen || h.r != me) {
		err = errLink
	}
	return orders, err
}

// Start implements runner.Executor.
func (h *workerHost) Start(task *wire.Task) error {
	h.w.noteStart(h.zone, task)
	h.tasks[task.GetId()] = &fakeTask{
		task: task,
		left: time.Duration(task.GetRunTimeNanos()),
	}
	h.w.step("start", h.name)
	return nil
}

// Checkpoint implements runner.Executor.
func (h *workerHost) Checkpoint(id string) error {
	if h.tasks[id] != nil {
		h.finish(id, wire.TaskState_TASK_STATE_QUEUED, true)
	}
	return nil
}

// Throttle implements runner.Executor.
func (h *workerHost) Throttle(id string, on bool) {
	if t := h.tasks[id]; t != nil {
		t.throttled = on
	}
}

// Stop implements runner.Executor.
func (h *workerHost) Stop(id string) { delete(h.tasks, id) }

// Used implements runner.Executor.
func (h *workerHost) Used(id string) *wire.Resources {
	if t := h.tasks[id]; t != nil {
		return t.task.GetSize()
	}
	return nil
}

// Ended implements runner.Executor.
func (h *workerHost) Ended() []*wire.EndedTask {
	done := h.done
	h.done = nil
	return done
}

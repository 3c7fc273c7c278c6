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

// workerHost is a worker whose executor simulates tasks by counting down their run
// time. Tasks of a frozen host make no progress.
type workerHost struct {
	cluster    *cluster
	name       string
	dataCentre string
	r          *runner.Runner
	up         bool
	frozen     bool
	nextEntry  int
	tasks      map[string]*fakeTask
	ended      []*wire.EndedTask
	ticks      int
}

type fakeTask struct {
	task      *wire.Task
	remaining time.Duration
	throttled bool
}

// bootWorker starts a new process of a worker, without the tasks of the former one.
func (c *cluster) bootWorker(name string) {
	h := c.workers[name]
	c.serial++
	h.up = true
	h.tasks = make(map[string]*fakeTask)
	h.ended = nil
	h.r = runner.New(runner.Options{
		Worker:      name,
		DataCentre:  h.dataCentre,
		Capacity:    cores(4000),
		Incarnation: fmt.Sprint(c.serial),
		Clock:       c.clock,
		Executor:    h,
		Poller:      h,
	})
}

func (h *workerHost) advance() {
	if !h.up || h.frozen {
		return
	}
	h.r.Tick(h.cluster.clock.Now())
	for _, id := range slices.Sorted(maps.Keys(h.tasks)) {
		t := h.tasks[id]
		if t.throttled {
			continue
		}
		if t.remaining -= tick; t.remaining <= 0 {
			h.finish(id, wire.TaskState_TASK_STATE_SUCCEEDED, false)
		}
	}
	h.ticks++
	if h.ticks%5 == 0 {
		_ = h.r.Poll(context.Background()) // Lost polls are among the injected faults.
	}
}

func (h *workerHost) finish(id string, state wire.TaskState, checkpointed bool) {
	h.ended = append(h.ended, &wire.EndedTask{
		Task:         id,
		State:        state,
		Peak:         h.tasks[id].task.GetSize(),
		RunNanos:     int64(time.Second),
		Checkpointed: checkpointed,
	})
	delete(h.tasks, id)
}

// running returns the millicores held by the tasks of this worker: none while it is
// down or frozen.
func (h *workerHost) running() int64 {
	var sum int64
	if h.up && !h.frozen {
		for _, t := range h.tasks {
			sum += t.task.GetSize().GetMilliCores()
		}
	}
	return sum
}

// Poll implements runner.Poller. It polls one entry host of the data centre, and
// after a failure uses the next one.
func (h *workerHost) Poll(ctx context.Context, poll *wire.WorkerPoll) (*wire.WorkerOrders, error) {
	entryHosts := map[string][]string{
		"dc-a": {"a1", "a2"},
		"dc-b": {"b1"},
	}[h.dataCentre]
	to := entryHosts[(h.nextEntry+int(h.name[1]))%len(entryHosts)]
	if len(poll.GetEnded()) > 0 {
		h.cluster.step("end report", h.name)
	}
	polling := h.r
	orders, err := deliver(h.cluster, h.name, to, "poll", poll, func(d *dispatcher.Dispatcher, q *wire.WorkerPoll) *wire.WorkerOrders {
		return d.Poll(ctx, q)
	})
	if err != nil || orders.GetError() != "" {
		h.nextEntry++
	}
	if len(orders.GetStart()) > 0 {
		h.cluster.step("start order", h.name)
	}
	if len(orders.GetAcknowledged()) > 0 {
		h.cluster.step("end acknowledgement", h.name)
	}
	if err == nil && (!h.up || h.frozen || h.r != polling) {
		err = errLink
	}
	return orders, err
}

// Start implements runner.Executor.
func (h *workerHost) Start(task *wire.Task) error {
	h.cluster.recordStart(h.dataCentre, task)
	h.tasks[task.GetId()] = &fakeTask{
		task:      task,
		remaining: time.Duration(task.GetRunTimeNanos()),
	}
	h.cluster.step("start", h.name)
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
	done := h.ended
	h.ended = nil
	return done
}

package runner_test

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/heathermux/heathermux/internal/runner"
	"github.com/heathermux/heathermux/internal/scheduler"
	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/timer"
)

// harness is a runner with itself as a recording executor and a scripted scheduler.
type harness struct {
	clock   *timer.Fake
	r       *runner.Runner
	started []string
	stopped []string
	ended   []*wire.EndedTask
	polls   []*wire.WorkerPoll
	orders  *wire.WorkerOrders
	err     error
	// responseDelay is how far the clock advances during each poll.
	responseDelay time.Duration
}

func newHarness() *harness {
	h := &harness{
		clock: timer.NewFake(time.Unix(0, 0)),
	}
	h.r = runner.New(runner.Options{
		Worker: "w",
		Capacity: &wire.Resources{
			MilliCores:  8,
			MemoryBytes: 8,
		},
		Incarnation: "1",
		Clock:       h.clock,
		Executor:    h,
		Poller:      h,
	})
	return h
}

func (h *harness) Poll(_ context.Context, poll *wire.WorkerPoll) (*wire.WorkerOrders, error) {
	h.polls = append(h.polls, poll)
	h.clock.Advance(h.responseDelay)
	return h.orders, h.err
}

func (h *harness) Start(task *wire.Task) error {
	h.started = append(h.started, task.GetId())
	return nil
}

func (h *harness) Checkpoint(id string) error {
	h.ended = append(h.ended, &wire.EndedTask{
		Task:         id,
		State:        wire.TaskState_TASK_STATE_QUEUED,
		Checkpointed: true,
	})
	return nil
}

func (h *harness) Throttle(string, bool) {}

func (h *harness) Stop(id string) { h.stopped = append(h.stopped, id) }

func (h *harness) Used(string) *wire.Resources { return nil }

func (h *harness) Ended() []*wire.EndedTask {
	ended := h.ended
	h.ended = nil
	return ended
}

func (h *harness) order(epoch uint64, change func(*wire.WorkerOrders)) error {
	h.orders = &wire.WorkerOrders{
		Epoch:      epoch,
		LeaseNanos: int64(scheduler.WorkerLease),
	}
	change(h.orders)
	return h.r.Poll(context.Background())
}

func start(id string, memory int64, idempotent bool) func(*wire.WorkerOrders) {
	return func(o *wire.WorkerOrders) {
		o.Start = append(o.Start, &wire.Task{
			Id:         id,
			Idempotent: idempotent,
			Size: &wire.Resources{
				MemoryBytes: memory,
			},
		})
	}
}

func acknowledge(id string) func(*wire.WorkerOrders) {
	return func(o *wire.WorkerOrders) { o.Acknowledged = []string{id} }
}

// Guards against starting a task by orders that come from a former scheduler, arrive
// too late or are repeated.
func TestStaleOrdersDoNotStartTasks(t *testing.T) {
	tests := map[string]struct {
		prepare func(*harness)
		epoch   uint64
		starts  int
	}{
		"in time": {
			prepare: func(*harness) {},
			epoch:   2,
			starts:  1,
		},
		"stale epoch": {
			prepare: func(h *harness) { _ = h.order(3, func(*wire.WorkerOrders) {}) },
			epoch:   2,
		},
		"late response": {
			prepare: func(h *harness) { h.responseDelay = runner.PollTimeout },
			epoch:   2,
		},
		"lost response": {
			prepare: func(h *harness) { h.err = errors.New("lost") },
			epoch:   2,
		},
		"suspended past the end of the lease": {
			prepare: func(h *harness) { h.responseDelay = time.Minute },
			epoch:   2,
		},
		"ordered twice": {
			prepare: func(h *harness) { _ = h.order(2, start("t", 1, true)) },
			epoch:   2,
			starts:  1,
		},
		"ended and acknowledged": {
			prepare: func(h *harness) {
				_ = h.order(2, start("t", 1, true))
				h.ended = []*wire.EndedTask{{
					Task:  "t",
					State: wire.TaskState_TASK_STATE_SUCCEEDED,
				}}
				_ = h.order(2, acknowledge("t"))
			},
			epoch:  2,
			starts: 1,
		},
		"not idempotent, stopped and acknowledged": {
			prepare: func(h *harness) {
				_ = h.order(2, start("t", 1, false))
				_ = h.order(2, func(o *wire.WorkerOrders) { o.Stop = []string{"t"} })
				_ = h.order(2, acknowledge("t"))
			},
			epoch:  2,
			starts: 1,
		},
		"checkpointed and acknowledged": {
			prepare: func(h *harness) {
				_ = h.order(2, start("t", 1, true))
				_ = h.order(2, func(o *wire.WorkerOrders) { o.Checkpoint = []string{"t"} })
				h.r.Tick(h.clock.Now())
				_ = h.order(2, acknowledge("t"))
			},
			epoch:  2,
			starts: 2,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness()
			test.prepare(h)
			_ = h.order(test.epoch, start("t", 1, true))
			is.Equal(len(h.started), test.starts)
		})
	}
}

// Guards against tasks that run after the end of the lease, which is counted from
// the sending of the poll, and against reports that are removed before they are
// acknowledged.
func TestLeaseExpiryStopsAllTasks(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	h.responseDelay = 500 * time.Millisecond
	is.NoErr(h.order(1, start("t", 1, true)))
	h.clock.Advance(scheduler.WorkerLease - h.responseDelay - 1)
	h.r.Tick(h.clock.Now())
	is.Equal(len(h.stopped), 0)
	h.clock.Advance(1)
	h.r.Tick(h.clock.Now())
	is.Equal(h.stopped, []string{"t"})
	for range 2 {
		is.NoErr(h.order(1, func(*wire.WorkerOrders) {}))
		last := h.polls[len(h.polls)-1]
		is.Equal(len(last.GetEnded()), 1) // kept until acknowledged
		is.Equal(len(last.GetRunning()), 0)
	}
	is.NoErr(h.order(1, acknowledge("t")))
	is.NoErr(h.order(1, func(*wire.WorkerOrders) {}))
	is.Equal(len(h.polls[len(h.polls)-1].GetEnded()), 0)
}

// Guards against starting a task while its memory is still in use, and against
// starting it long after the order, when the zone may be out of service.
func TestStartWaitsForResources(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	is.NoErr(h.order(1, start("big", 8, true)))
	is.NoErr(h.order(1, start("next", 8, true)))
	is.Equal(h.started, []string{"big"})
	h.clock.Advance(scheduler.StartWindow)
	h.r.Tick(h.clock.Now())
	is.NoErr(h.order(1, func(*wire.WorkerOrders) {}))
	last := h.polls[len(h.polls)-1].GetEnded()
	is.Equal(len(last), 1)
	is.Equal(last[0].GetState(), wire.TaskState_TASK_STATE_QUEUED) // returned to the scheduler
	is.Equal(h.started, []string{"big"})
}

// Guards against goroutines that outlive Run.
func TestRunEnds(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	newHarness().r.Run(ctx)
}

// Guards against a scheduler that does not know the running tasks. Polls must
// describe them in full after a failed poll, and after a scheduler with another
// session has asked for it.
func TestTasksAreDescribedToANewScheduler(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	described := func() bool {
		last := h.polls[len(h.polls)-1]
		is.Equal(last.GetRunning()[0].GetDetail() != nil, last.GetDescribedTo() == "")
		return last.GetRunning()[0].GetDetail() != nil
	}
	answer := func(session string) {
		h.orders = &wire.WorkerOrders{
			Epoch:      1,
			LeaseNanos: int64(time.Minute),
			Session:    session,
		}
	}
	answer("a/1")
	h.orders.Start = []*wire.Task{
		{
			Id: "t",
			Size: &wire.Resources{
				MilliCores: 1,
			},
		},
	}
	is.NoErr(h.r.Poll(context.Background()))
	answer("a/1")
	is.NoErr(h.r.Poll(context.Background()))
	is.True(!described())
	h.err = errors.New("lost")
	is.True(h.r.Poll(context.Background()) != nil)
	h.err = nil
	is.NoErr(h.r.Poll(context.Background()))
	is.True(described())
	is.NoErr(h.r.Poll(context.Background()))
	is.True(!described())
	h.orders = &wire.WorkerOrders{
		Error: "dispatcher: the poll has to describe its tasks",
	}
	is.True(h.r.Poll(context.Background()) != nil)
	answer("b/2")
	is.NoErr(h.r.Poll(context.Background()))
	is.True(described())
}

// A worker whose polls fail must say so, with the cause and once, before its tasks are
// stopped at the end of the lease.
func TestFailingPollsAreLogged(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	h := newHarness()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	polls := 0
	r := runner.New(runner.Options{
		Worker:      "w",
		Incarnation: "1",
		Clock:       timer.System(),
		Executor:    h,
		Poller: pollFunc(func() (*wire.WorkerOrders, error) {
			polls++
			if polls == 3 {
				cancel()
			}
			return nil, errors.New("not reachable")
		}),
		Logger: slog.New(slog.NewTextHandler(&log, nil)),
	})
	r.Run(ctx)
	is.Equal(polls, 3)
	is.Equal(strings.Count(log.String(), "not reachable"), 1)
}

// pollFunc is a Poller that ignores what is reported.
type pollFunc func() (*wire.WorkerOrders, error)

func (f pollFunc) Poll(context.Context, *wire.WorkerPoll) (*wire.WorkerOrders, error) { return f() }

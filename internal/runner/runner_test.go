package runner_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/heathermux/heathermux/internal/runner"
	"github.com/heathermux/heathermux/internal/scheduler"
	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/timer"
)

// bench is a runner with a recording executor and a scripted scheduler.
type bench struct {
	clock   *timer.Fake
	r       *runner.Runner
	started []string
	stopped []string
	ended   []*wire.EndedTask
	polls   []*wire.WorkerPoll
	orders  *wire.WorkerOrders
	err     error
	// transit is how long the next response takes.
	transit time.Duration
}

func newBench() *bench {
	b := &bench{
		clock: timer.NewFake(time.Unix(0, 0)),
	}
	b.r = runner.New(runner.Options{
		Worker: "w",
		Capacity: &wire.Resources{
			MilliCores:  8,
			MemoryBytes: 8,
		},
		Incarnation: "1",
		Clock:       b.clock,
		Executor:    b,
		Poller:      b,
	})
	return b
}

func (b *bench) Poll(_ context.Context, poll *wire.WorkerPoll) (*wire.WorkerOrders, error) {
	b.polls = append(b.polls, poll)
	b.clock.Advance(b.transit)
	return b.orders, b.err
}

func (b *bench) Start(task *wire.Task) error {
	b.started = append(b.started, task.GetId())
	return nil
}

func (b *bench) Checkpoint(id string) error {
	b.ended = append(b.ended, &wire.EndedTask{
		Task:         id,
		State:        wire.TaskState_TASK_STATE_QUEUED,
		Checkpointed: true,
	})
	return nil
}

func (b *bench) Throttle(string, bool) {}

func (b *bench) Stop(id string) { b.stopped = append(b.stopped, id) }

func (b *bench) Used(string) *wire.Resources { return nil }

func (b *bench) Ended() []*wire.EndedTask {
	ended := b.ended
	b.ended = nil
	return ended
}

func (b *bench) order(epoch uint64, change func(*wire.WorkerOrders)) error {
	b.orders = &wire.WorkerOrders{
		Epoch:      epoch,
		LeaseNanos: int64(scheduler.WorkerLease),
	}
	change(b.orders)
	return b.r.Poll(context.Background())
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

// Guards against orders that come from a former scheduler, too late, or twice.
func TestOrdersThatMustNotStart(t *testing.T) {
	tests := map[string]struct {
		prepare func(*bench)
		epoch   uint64
		starts  int
	}{
		"in time": {
			prepare: func(*bench) {},
			epoch:   2,
			starts:  1,
		},
		"stale epoch": {
			prepare: func(b *bench) { _ = b.order(3, func(*wire.WorkerOrders) {}) },
			epoch:   2,
		},
		"late response": {
			prepare: func(b *bench) { b.transit = runner.PollTimeout },
			epoch:   2,
		},
		"lost response": {
			prepare: func(b *bench) { b.err = errors.New("lost") },
			epoch:   2,
		},
		"frozen past the lease": {
			prepare: func(b *bench) { b.transit = time.Minute },
			epoch:   2,
		},
		"ordered twice": {
			prepare: func(b *bench) { _ = b.order(2, start("t", 1, true)) },
			epoch:   2,
			starts:  1,
		},
		"ended and acknowledged": {
			prepare: func(b *bench) {
				_ = b.order(2, start("t", 1, true))
				b.ended = []*wire.EndedTask{{
					Task:  "t",
					State: wire.TaskState_TASK_STATE_SUCCEEDED,
				}}
				_ = b.order(2, acknowledge("t"))
			},
			epoch:  2,
			starts: 1,
		},
		"not idempotent, stopped and acknowledged": {
			prepare: func(b *bench) {
				_ = b.order(2, start("t", 1, false))
				_ = b.order(2, func(o *wire.WorkerOrders) { o.Stop = []string{"t"} })
				_ = b.order(2, acknowledge("t"))
			},
			epoch:  2,
			starts: 1,
		},
		"checkpointed and acknowledged": {
			prepare: func(b *bench) {
				_ = b.order(2, start("t", 1, true))
				_ = b.order(2, func(o *wire.WorkerOrders) { o.Checkpoint = []string{"t"} })
				b.r.Tick(b.clock.Now())
				_ = b.order(2, acknowledge("t"))
			},
			epoch:  2,
			starts: 2,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench()
			test.prepare(b)
			_ = b.order(test.epoch, start("t", 1, true))
			is.Equal(len(b.started), test.starts)
		})
	}
}

// Guards against tasks that run on after the lease, which counts from the
// sending of the poll, and against reports that are dropped before they are
// acknowledged.
func TestLeaseEndStopsEverything(t *testing.T) {
	is := is.New(t)
	b := newBench()
	b.transit = 500 * time.Millisecond
	is.NoErr(b.order(1, start("t", 1, true)))
	b.clock.Advance(scheduler.WorkerLease - b.transit - 1)
	b.r.Tick(b.clock.Now())
	is.Equal(len(b.stopped), 0)
	b.clock.Advance(1)
	b.r.Tick(b.clock.Now())
	is.Equal(b.stopped, []string{"t"})
	for range 2 {
		is.NoErr(b.order(1, func(*wire.WorkerOrders) {}))
		last := b.polls[len(b.polls)-1]
		is.Equal(len(last.GetEnded()), 1) // kept until acknowledged
		is.Equal(len(last.GetRunning()), 0)
	}
	is.NoErr(b.order(1, acknowledge("t")))
	is.NoErr(b.order(1, func(*wire.WorkerOrders) {}))
	is.Equal(len(b.polls[len(b.polls)-1].GetEnded()), 0)
}

// Guards against a start into memory that is still in use, and against a start
// long after its order, when the zone may be out.
func TestStartWaitsForRoom(t *testing.T) {
	is := is.New(t)
	b := newBench()
	is.NoErr(b.order(1, start("big", 8, true)))
	is.NoErr(b.order(1, start("next", 8, true)))
	is.Equal(b.started, []string{"big"})
	b.clock.Advance(scheduler.StartWindow)
	b.r.Tick(b.clock.Now())
	is.NoErr(b.order(1, func(*wire.WorkerOrders) {}))
	last := b.polls[len(b.polls)-1].GetEnded()
	is.Equal(len(last), 1)
	is.Equal(last[0].GetState(), wire.TaskState_TASK_STATE_QUEUED) // handed back
	is.Equal(b.started, []string{"big"})
}

// Guards against goroutines that outlive Run.
func TestRunEnds(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	newBench().r.Run(ctx)
}

// A scheduler that does not know the running tasks must be told of them whole:
// after a poll without an answer, and when another session answers.
func TestTasksAreDescribedToANewScheduler(t *testing.T) {
	is := is.New(t)
	b := newBench()
	described := func() bool {
		last := b.polls[len(b.polls)-1]
		is.Equal(last.GetRunning()[0].GetDetail() != nil, last.GetDescribedTo() == "")
		return last.GetRunning()[0].GetDetail() != nil
	}
	answer := func(session string) {
		b.orders = &wire.WorkerOrders{
			Epoch:      1,
			LeaseNanos: int64(time.Minute),
			Session:    session,
		}
	}
	answer("a/1")
	b.orders.Start = []*wire.Task{
		{
			Id: "t",
			Size: &wire.Resources{
				MilliCores: 1,
			},
		},
	}
	is.NoErr(b.r.Poll(context.Background()))
	answer("a/1")
	is.NoErr(b.r.Poll(context.Background()))
	is.True(!described())
	b.err = errors.New("lost")
	is.True(b.r.Poll(context.Background()) != nil)
	b.err = nil
	is.NoErr(b.r.Poll(context.Background()))
	is.True(described())
	is.NoErr(b.r.Poll(context.Background()))
	is.True(!described())
	b.orders = &wire.WorkerOrders{
		Error: "dispatcher: the poll has to describe its tasks",
	}
	is.True(b.r.Poll(context.Background()) != nil)
	answer("b/2")
	is.NoErr(b.r.Poll(context.Background()))
	is.True(described())
}

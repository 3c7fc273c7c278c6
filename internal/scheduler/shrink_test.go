package scheduler_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/wire"
)

// submitNamed submits a task of 16 of the 64 cores of a worker.
func (f *fleet) submitNamed(id string, idempotent, urgent bool) {
	f.submit(&wire.Task{
		Id:         id,
		Team:       "a",
		Size:       size(16_000, 1),
		Idempotent: idempotent,
		Urgent:     urgent,
	})
}

// A worker that becomes smaller would go on with more than it has room for, and its tasks
// would slow each other down or be killed. The newest leave it until the others fit.
func TestShrunkWorkerIsRelieved(t *testing.T) {
	for name, test := range map[string]struct {
		idempotent bool
		urgent     string
		milliCores int64
		checkpoint []string
		throttle   []string
	}{
		"idempotent tasks start elsewhere": {
			idempotent: true,
			milliCores: 32_000,
			checkpoint: []string{"t2", "t3"},
			throttle:   []string{"t2", "t3"},
		},
		"others are throttled": {
			milliCores: 48_000,
			throttle:   []string{"t3"},
		},
		"an urgent task stays": {
			idempotent: true,
			urgent:     "t3",
			milliCores: 48_000,
			checkpoint: []string{"t2"},
			throttle:   []string{"t2"},
		},
		"all still fit": {
			idempotent: true,
			milliCores: 64_000,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(1, oneTeam)
			for _, id := range []string{"t0", "t1", "t2", "t3"} {
				f.submitNamed(id, test.idempotent, id == test.urgent)
			}
			f.round()
			is.Equal(len(f.running[workerName(0)]), 4)
			f.capacity = size(test.milliCores, 128)
			f.sequence++
			orders := f.poll(workerName(0))
			is.Equal(orders.GetCheckpoint(), test.checkpoint)
			is.Equal(orders.GetThrottle(), test.throttle)
			f.round()
			f.capacity = hostSize()
			f.round()
			f.round()
			is.Equal(len(f.running[workerName(0)]), 4) // it has grown again
		})
	}
}

// A worker may become smaller between the assignment of a task and the poll that brings
// the order to start it. The order would bring the worker over its capacity.
func TestTaskDoesNotStartOnShrunkWorker(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, oneTeam)
	for _, id := range []string{"t0", "t1", "t2", "t3"} {
		f.submitNamed(id, false, false)
	}
	f.pass()
	f.capacity = size(32_000, 128)
	f.sequence++
	orders := f.poll(workerName(0))
	is.Equal(len(orders.GetStart()), 2)
	f.round()
	is.Equal(len(f.running[workerName(0)]), 2)
	f.capacity = hostSize()
	f.round()
	f.round()
	is.Equal(len(f.running[workerName(0)]), 4)
}

// Stops that are on their way count: a worker that becomes smaller twice loses no more
// tasks than necessary.
func TestSecondShrinkCountsTasksThatAreLeaving(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, oneTeam)
	for _, id := range []string{"t0", "t1", "t2", "t3"} {
		f.submitNamed(id, true, false)
	}
	f.round()
	f.capacity = size(48_000, 128)
	f.ignoreOrders = true
	f.sequence++
	is.Equal(f.poll(workerName(0)).GetCheckpoint(), []string{"t3"})
	f.capacity = size(32_000, 128)
	f.sequence++
	is.Equal(f.poll(workerName(0)).GetCheckpoint(), []string{"t2", "t3"})
	f.sequence++
	is.Equal(f.poll(workerName(0)).GetCheckpoint(), []string{"t2", "t3"})
}

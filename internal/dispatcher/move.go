package dispatcher

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/follower"
	"github.com/heathermux/heathermux/internal/scheduler"
	"github.com/heathermux/heathermux/internal/wire"
)

// maxConcurrentMoves limits the moves in progress, because each is one call to
// another scheduler.
const maxConcurrentMoves = 50

// moveQueuedTasks moves queued tasks to another data centre while this one is out
// of service. A task is offered to a single data centre until that one has
// accepted it or refused the first offer. After a lost response the same offer is
// repeated, because that data centre may already hold the task.
func (d *Dispatcher) moveQueuedTasks(ctx context.Context, view follower.View) {
	offers := d.markTasksToMove(view)
	if len(offers) == 0 || !d.replicate(ctx) {
		return
	}
	d.mu.Lock()
	if d.active == nil {
		d.mu.Unlock()
		return
	}
	active := d.active
	offers = active.sched.Moving(d.opts.Clock.Now())
	d.mu.Unlock()
	var mu sync.Mutex
	events := make(map[string]scheduler.Event)
	var calls []func()
	for _, id := range slices.Sorted(maps.Keys(offers)) {
		calls = append(calls, func() {
			event := d.offerTask(ctx, offers[id])
			mu.Lock()
			defer mu.Unlock()
			events[id] = event
		})
	}
	d.opts.RunAll(calls)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(events)) {
		if events[id] != nil && d.active == active {
			active.sched.Step(d.opts.Clock.Now(), events[id])
		}
	}
}

// markTasksToMove has the scheduler mark queued tasks to be moved if this data
// centre is out of service and another one can run them. It returns all tasks
// being moved, by ID.
func (d *Dispatcher) markTasksToMove(view follower.View) map[string]*wire.TaskStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	active := d.active
	now := d.opts.Clock.Now()
	if !d.canStartTasks(now, view) {
		return nil
	}
	for _, dc := range view.State.DataCentres() {
		_, scheduled := schedulerOf(view.State, dc.GetName())
		if dc.GetName() == active.dataCentre || dc.GetState() != wire.ServiceState_SERVICE_STATE_IN || !scheduled {
			continue
		}
		active.sched.Step(now, scheduler.Move{
			To:  dc.GetName(),
			Max: maxConcurrentMoves,
			Fits: func(task *wire.Task) bool {
				queue, _ := view.State.Queue(task.GetQueue())
				return d.hostSizes.fits(view.State, poolLocation{
					pool:       queue.GetPool(),
					dataCentre: dc.GetName(),
				}, controller.AmountOf(task.GetSize()))
			},
		})
	}
	return active.sched.Moving(now)
}

// offerTask submits one task to its new data centre and returns the event that
// records the outcome, or nil if the request was not sent.
func (d *Dispatcher) offerTask(ctx context.Context, status *wire.TaskStatus) scheduler.Event {
	id := status.GetTask().GetId()
	call, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	resp, err := callScheduler(call, d, status.GetDataCentre(), &wire.SubmitRequest{
		Task:  status.GetTask(),
		Moved: true,
	}, d.ServeSubmit, d.opts.Peers.Submit)
	switch {
	case err != nil && notSent(err):
		return nil
	case err == nil && resp.GetRefusal() != "":
		return scheduler.MoveRefused{
			ID: id,
		}
	case err == nil && resp.GetCopies() >= 2:
		return scheduler.Moved{
			ID: id,
		}
	default:
		return scheduler.MoveUnknown{
			ID: id,
		}
	}
}

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

// maxMoving bounds the hand-overs under way, as each is one call.
const maxMoving = 50

// moveOut hands queued tasks to another data centre while this one is out of
// service. A task is offered to one data centre only, until that one has
// accepted it or refused the first offer; after a lost response the offer is
// repeated, because the task may be held.
func (d *Dispatcher) moveOut(ctx context.Context, view follower.View) {
	offers := d.markMoving(view)
	if len(offers) == 0 || !d.replicate(ctx) {
		return
	}
	d.mu.Lock()
	if d.lead == nil {
		d.mu.Unlock()
		return
	}
	l := d.lead
	offers = l.sched.Moving(d.opts.Clock.Now())
	d.mu.Unlock()
	var mu sync.Mutex
	events := make(map[string]scheduler.Event)
	var calls []func()
	for _, id := range slices.Sorted(maps.Keys(offers)) {
		calls = append(calls, func() {
			event := d.offer(ctx, offers[id])
			mu.Lock()
			defer mu.Unlock()
			events[id] = event
		})
	}
	d.opts.Together(calls)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(events)) {
		if events[id] != nil && d.lead == l {
			l.sched.Step(d.opts.Clock.Now(), events[id])
		}
	}
}

// markMoving marks tasks if the data centre is out and another one fits.
func (d *Dispatcher) markMoving(view follower.View) map[string]*wire.TaskStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.lead
	now := d.opts.Clock.Now()
	if !d.mayStart(now, view) {
		return nil
	}
	for _, dc := range view.State.DataCentres() {
		_, scheduled := schedulerOf(view.State, dc.GetName())
		if dc.GetName() == l.dataCentre || dc.GetState() != wire.ServiceState_SERVICE_STATE_IN || !scheduled {
			continue
		}
		l.sched.Step(now, scheduler.Move{
			To:  dc.GetName(),
			Max: maxMoving,
			Fits: func(task *wire.Task) bool {
				queue, _ := view.State.Queue(task.GetQueue())
				return d.places.fits(view.State, place{
					pool:       queue.GetPool(),
					dataCentre: dc.GetName(),
				}, controller.AmountOf(task.GetSize()))
			},
		})
	}
	return l.sched.Moving(now)
}

// offer hands one task over and returns what follows for the scheduler, or nil
// when nothing was sent.
func (d *Dispatcher) offer(ctx context.Context, status *wire.TaskStatus) scheduler.Event {
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

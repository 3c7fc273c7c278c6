package dispatcher

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/scheduler"
	"github.com/heathermux/heathermux/internal/wire"
)

// submitAttempts bounds the calls for one submission after lost responses.
const submitAttempts = 3

// Submit hands the task to the scheduler of the local data centre, or of
// another one when the local one is out of service or too small. A response
// with a refusal is proof that the task is not held. When every response of
// the chosen scheduler was lost, the status says TASK_STATE_UNKNOWN and
// carries the ID to ask for; no other data centre is tried then, because the
// task may already be held.
func (d *Dispatcher) Submit(ctx context.Context, req *wire.SubmitRequest) *wire.SubmitResponse {
	view := d.opts.View()
	if !view.Live(d.opts.Clock.Now()) {
		return refusal("this entry host has no authority lease")
	}
	if _, ok := view.State.Queue(req.GetTask().GetQueue()); !ok {
		return refusalForGood("queue \"" + req.GetTask().GetQueue() + "\" is not known")
	}
	suffix := d.idSuffix(req.GetTask())
	last := refusal("no data centre is in service")
	for _, dataCentre := range d.candidates(view.State, req.GetTask()) {
		attempt := proto.CloneOf(req)
		attempt.Task.Id = idPrefix(dataCentre) + suffix
		resp, sent := d.submitTo(ctx, dataCentre, attempt)
		if sent && (resp.GetRefusal() == "" || resp.GetRetryAfterNanos() == 0) {
			return resp
		}
		last = resp
	}
	return last
}

// submitTo tries one data centre. It reports false when the task was not sent.
func (d *Dispatcher) submitTo(ctx context.Context, dataCentre string, req *wire.SubmitRequest) (*wire.SubmitResponse, bool) {
	sent := false
	for range submitAttempts {
		resp, err := callScheduler(ctx, d, dataCentre, req, d.ServeSubmit, d.opts.Peers.Submit)
		if err == nil && (resp.GetRefusal() == "" || !sent) {
			return resp, true
		}
		// A refusal after a lost response does not prove that the first
		// attempt was refused too: another host may schedule by now.
		sent = sent || err == nil || !notSent(err)
		if ctx.Err() != nil || (err != nil && notSent(err) && !sent) {
			break
		}
	}
	if !sent {
		return refusal("the scheduler of " + dataCentre + " can't be reached"), false
	}
	return &wire.SubmitResponse{
		Status: &wire.TaskStatus{
			Task:       req.GetTask(),
			State:      wire.TaskState_TASK_STATE_UNKNOWN,
			Reason:     "the scheduler did not answer; ask again with the ID",
			DataCentre: dataCentre,
		},
	}, true
}

// candidates returns the data centres in service in the order to try them:
// those that can start the task soon, then those with a large enough host, then
// the others; of equals the local one first. One without such a host is still
// tried, as its scheduler may know that the declared size is too large.
func (d *Dispatcher) candidates(s controller.State, task *wire.Task) []string {
	queue, _ := s.Queue(task.GetQueue())
	size := controller.AmountOf(task.GetSize())
	var ready, fitting, others []string
	for _, dc := range s.DataCentres() {
		if dc.GetState() != wire.ServiceState_SERVICE_STATE_IN {
			continue
		}
		at := place{
			pool:       queue.GetPool(),
			dataCentre: dc.GetName(),
		}
		list := &others
		if d.places.fits(s, at, size) {
			list = &fitting
			if d.startsSoon(s, dc, task) {
				list = &ready
			}
		}
		if dc.GetName() == d.opts.Self.GetDataCentre() {
			*list = slices.Insert(*list, 0, dc.GetName())
		} else {
			*list = append(*list, dc.GetName())
		}
	}
	return slices.Concat(ready, fitting, others)
}

// startsSoon reports whether the data centre may run the task beside what the
// team runs there at most. A data centre that has just returned to service has
// no allotment for some seconds, and takes urgent tasks only after its ramp.
func (d *Dispatcher) startsSoon(s controller.State, dc *wire.DataCentre, task *wire.Task) bool {
	allotment, _ := s.Allotment(task.GetTeam(), dc.GetName())
	if !controller.AmountOf(task.GetSize()).FitsIn(controller.AmountOf(allotment.GetTarget())) {
		return false
	}
	back := time.Unix(0, dc.GetChangedAtUnixNanos())
	return !task.GetUrgent() || d.opts.Clock.Now().Sub(back) >= scheduler.RampLength
}

func refusal(reason string) *wire.SubmitResponse {
	return &wire.SubmitResponse{
		Refusal:         reason,
		RetryAfterNanos: int64(retryAfter),
	}
}

// refusalForGood is for tasks that can't be accepted at any time.
func refusalForGood(reason string) *wire.SubmitResponse {
	return &wire.SubmitResponse{
		Refusal: reason,
	}
}

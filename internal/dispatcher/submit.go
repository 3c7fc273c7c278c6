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

// maxSubmitAttempts is the most calls made to one data centre for one submission
// whose responses are lost.
const maxSubmitAttempts = 3

// Submit submits the task to the scheduler of the first of the candidate data
// centres that accepts it, preferably the local one. A response with a refusal
// guarantees that no scheduler holds the task. If all responses of a scheduler
// were lost, the status is TASK_STATE_UNKNOWN with the task ID to query; no other
// data centre is tried then, because that scheduler may already hold the task.
func (d *Dispatcher) Submit(ctx context.Context, req *wire.SubmitRequest) *wire.SubmitResponse {
	view := d.opts.View()
	if !view.Live(d.opts.Clock.Now()) {
		return refusal("this entry host has no authority lease")
	}
	if _, ok := view.State.Queue(req.GetTask().GetQueue()); !ok {
		return permanentRefusal("queue \"" + req.GetTask().GetQueue() + "\" is not known")
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

// submitTo submits the task to one data centre, and reports whether it was sent.
func (d *Dispatcher) submitTo(ctx context.Context, dataCentre string, req *wire.SubmitRequest) (*wire.SubmitResponse, bool) {
	sent := false
	for range maxSubmitAttempts {
		resp, err := callScheduler(ctx, d, dataCentre, req, d.ServeSubmit, d.opts.Peers.Submit)
		if err == nil && (resp.GetRefusal() == "" || !sent) {
			return resp, true
		}
		// A refusal after a lost response does not prove that the first attempt
		// was refused too: another host may be the scheduler by now.
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

// candidates returns the data centres in service in the order to try them: those
// that can start the task soon, then those with a large enough host, then the
// others. Within each group the local one comes first. Data centres without a large
// enough host are still tried, because their scheduler may know that the declared
// size is larger than the task needs.
func (d *Dispatcher) candidates(s controller.State, task *wire.Task) []string {
	queue, _ := s.Queue(task.GetQueue())
	size := controller.AmountOf(task.GetSize())
	var ready, fitting, others []string
	for _, dc := range s.DataCentres() {
		if dc.GetState() != wire.ServiceState_SERVICE_STATE_IN {
			continue
		}
		location := poolLocation{
			pool:       queue.GetPool(),
			dataCentre: dc.GetName(),
		}
		list := &others
		if d.hostSizes.fits(s, location, size) {
			list = &fitting
			if d.canStartSoon(s, dc, task) {
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

// canStartSoon reports whether the task fits the target allotment of its team in
// the data centre and, if urgent, whether the data centre has been in service for
// scheduler.RampLength. A data centre that has just returned to service has no
// allotment for some seconds, and takes urgent tasks only after its ramp.
func (d *Dispatcher) canStartSoon(s controller.State, dc *wire.DataCentre, task *wire.Task) bool {
	allotment, _ := s.Allotment(task.GetTeam(), dc.GetName())
	if !controller.AmountOf(task.GetSize()).FitsIn(controller.AmountOf(allotment.GetTarget())) {
		return false
	}
	returnedAt := time.Unix(0, dc.GetChangedAtUnixNanos())
	return !task.GetUrgent() || d.opts.Clock.Now().Sub(returnedAt) >= scheduler.RampLength
}

func refusal(reason string) *wire.SubmitResponse {
	return &wire.SubmitResponse{
		Refusal:         reason,
		RetryAfterNanos: int64(refusalRetryDelay),
	}
}

// permanentRefusal returns a refusal without a retry delay, for tasks that can
// never be accepted.
func permanentRefusal(reason string) *wire.SubmitResponse {
	return &wire.SubmitResponse{
		Refusal: reason,
	}
}

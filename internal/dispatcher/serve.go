package dispatcher

import (
	"context"
	"strings"
	"time"

	"github.com/heathermux/heathermux/internal/follower"
	"github.com/heathermux/heathermux/internal/scheduler"
	"github.com/heathermux/heathermux/internal/wire"
)

// Tick follows the control state, runs one scheduling pass and copies its
// changes. It is to be called every 100 ms, and may block for several
// CallTimeout while it copies or fetches tasks.
func (d *Dispatcher) Tick(now time.Time) {
	view := d.opts.View()
	d.mu.Lock()
	d.follow(now, view)
	d.mu.Unlock()
	d.rebuild(now, view)
	d.mu.Lock()
	if d.lead != nil {
		d.pass(now, view)
	}
	d.mu.Unlock()
	d.replicate(context.Background())
	d.moveOut(context.Background(), view)
}

// pass runs one scheduling pass. d.mu is held.
func (d *Dispatcher) pass(now time.Time, view follower.View) {
	d.act(d.lead.sched.Step(now, scheduler.Pass{
		Starts: d.mayStart(now, view),
	}))
}

// current returns the lead if it may act on new work at this moment, or the
// reason why not. It reads the clock itself, because the process may have
// been frozen since the request arrived. d.mu is held.
func (d *Dispatcher) current() (*lead, follower.View, time.Time, string) {
	now := d.opts.Clock.Now()
	view := d.opts.View()
	switch {
	case !view.Live(now):
		return nil, view, now, "the scheduler has no authority lease"
	case d.lead == nil:
		return nil, view, now, "this entry host schedules no data centre"
	}
	dc, _ := view.State.DataCentre(d.lead.dataCentre)
	if dc.GetScheduler() != d.opts.Self.GetName() || dc.GetSchedulerEpoch() != d.lead.at.epoch {
		return nil, view, now, "this entry host no longer schedules " + dc.GetName()
	}
	d.lead.inform(now, view.State)
	return d.lead, view, now, ""
}

// ServeSubmit answers a submission on the host that schedules. It accepts a
// task only after a second entry host holds it, or with a statement that one
// does when the submitter accepts that.
func (d *Dispatcher) ServeSubmit(ctx context.Context, req *wire.SubmitRequest) *wire.SubmitResponse {
	if !d.holderAtHand(ctx) && !req.GetAcceptSingleCopy() {
		return refusal("no second entry host can hold a copy of the task")
	}
	id := req.GetTask().GetId()
	if resp := d.accept(req); resp.GetRefusal() != "" {
		return resp
	}
	d.replicate(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Clock.Now()
	if d.lead == nil {
		return undecided(req.GetTask(), "the scheduler changed before the copy was confirmed")
	}
	status, ok := d.lead.sched.Status(now, id)
	if !ok {
		return undecided(req.GetTask(), "the scheduler changed before the copy was confirmed")
	}
	copies := d.copiesOf(id)
	if copies < 2 && !req.GetAcceptSingleCopy() {
		// A copy may have arrived although its confirmation did not, so that
		// a refusal would not be proven.
		// A task that is handed over was acknowledged before and is kept.
		if !req.GetMoved() {
			d.lead.sched.Step(now, scheduler.Cancel{
				ID:   id,
				Team: req.GetTask().GetTeam(),
			})
		}
		return undecided(req.GetTask(), "the copy was not confirmed")
	}
	return &wire.SubmitResponse{
		Status: status,
		Copies: copies,
	}
}

// copiesOf returns the number of entry hosts known to hold the task. d.mu is held.
func (d *Dispatcher) copiesOf(id string) int32 {
	if d.lead.holder != "" && d.lead.sched.Secured(id) {
		return 2
	}
	return 1
}

// holderAtHand reports whether there is a copy holder, and looks for one if
// there was none. It does so before the task is known to anyone, so that a
// refusal is true. A host that does not schedule refuses for that reason.
func (d *Dispatcher) holderAtHand(ctx context.Context) bool {
	d.mu.Lock()
	at := d.lead == nil || !d.lead.complete || d.lead.holder != ""
	d.mu.Unlock()
	return at || d.replicate(ctx)
}

// accept lets the scheduler decide on the task and returns a refusal or an
// empty response. An urgent task is placed at once.
func (d *Dispatcher) accept(req *wire.SubmitRequest) *wire.SubmitResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	l, view, now, reason := d.current()
	if l == nil {
		return refusal(reason)
	}
	if !req.GetMoved() && !strings.HasPrefix(req.GetTask().GetId(), idPrefix(l.dataCentre)) {
		return refusal("this entry host schedules another data centre")
	}
	for _, action := range l.sched.Step(now, scheduler.Submit{
		Task:  req.GetTask(),
		Moved: req.GetMoved(),
	}) {
		if refused, ok := action.(scheduler.Refused); ok {
			return &wire.SubmitResponse{
				Refusal:         refused.Reason,
				RetryAfterNanos: int64(refused.RetryAfter),
			}
		}
	}
	if req.GetTask().GetUrgent() {
		d.pass(now, view)
	}
	return &wire.SubmitResponse{}
}

func undecided(task *wire.Task, reason string) *wire.SubmitResponse {
	return &wire.SubmitResponse{
		Status: &wire.TaskStatus{
			Task:   task,
			State:  wire.TaskState_TASK_STATE_UNKNOWN,
			Reason: reason,
		},
	}
}

// ServeGet answers with the scheduler's status of a task, or with a copy. A
// task of another team is not found.
func (d *Dispatcher) ServeGet(_ context.Context, req *wire.TaskRequest) *wire.TaskResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Clock.Now()
	var status *wire.TaskStatus
	ok := false
	if d.lead != nil {
		status, ok = d.lead.sched.Status(now, req.GetId())
	}
	for _, c := range d.copies {
		if held, found := c.tasks[req.GetId()]; found && !ok {
			status = held.aged(now)
			ok = true
		}
	}
	if !ok || status.GetTask().GetTeam() != req.GetTeam() {
		return &wire.TaskResponse{}
	}
	return &wire.TaskResponse{
		Status: status,
		Found:  true,
	}
}

// ServeCancel cancels a task on the host that schedules.
func (d *Dispatcher) ServeCancel(ctx context.Context, req *wire.TaskRequest) *wire.TaskResponse {
	d.mu.Lock()
	l, _, now, reason := d.current()
	if l == nil {
		d.mu.Unlock()
		return uncancelled(reason)
	}
	actions := l.sched.Step(now, scheduler.Cancel{
		ID:   req.GetId(),
		Team: req.GetTeam(),
	})
	d.mu.Unlock()
	if len(actions) == 0 {
		return &wire.TaskResponse{}
	}
	d.replicate(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lead != l || (!l.sched.Secured(req.GetId()) && d.copyPossible()) {
		return uncancelled("no second entry host holds the cancellation")
	}
	status, ok := l.sched.Status(now, req.GetId())
	return &wire.TaskResponse{
		Status: status,
		Found:  ok,
	}
}

// copyPossible reports whether the view has another entry host.
func (d *Dispatcher) copyPossible() bool {
	return len(d.opts.View().State.View().GetMembers()) > 1
}

func uncancelled(reason string) *wire.TaskResponse {
	return &wire.TaskResponse{
		Status: &wire.TaskStatus{
			State:  wire.TaskState_TASK_STATE_UNKNOWN,
			Reason: reason + "; cancel again",
		},
	}
}

// ServePoll answers a worker on the host that schedules its data centre.
// Without an authority lease it starts nothing, and renews the worker's lease
// for at most ten minutes and only if later schedulers can learn of it.
func (d *Dispatcher) ServePoll(_ context.Context, req *wire.WorkerPoll) *wire.WorkerOrders {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Clock.Now()
	view := d.opts.View()
	l := d.lead
	if l == nil || l.dataCentre != req.GetDataCentre() {
		return pollError("this entry host does not schedule " + req.GetDataCentre())
	}
	if !view.Live(now) && (!l.noticed || now.Sub(l.liveAt) > renewBound) {
		return pollError("the scheduler has no authority lease")
	}
	if _, _, _, reason := d.current(); view.Live(now) && reason != "" {
		return pollError(reason)
	}
	if !l.describes(req) {
		return pollError("the poll has to describe its tasks")
	}
	actions := l.sched.Step(now, scheduler.Poll{
		Poll:   req,
		Starts: d.mayStart(now, view),
	})
	d.act(actions)
	for _, action := range actions {
		if ordered, ok := action.(scheduler.Ordered); ok {
			ordered.Orders.Session = l.session
			return ordered.Orders
		}
	}
	return pollError("the poll was not answered")
}

// describes reports whether this scheduler can know all tasks that the poll
// names without detail: it answered the worker's previous poll, and it has not
// forgotten any of them.
func (l *lead) describes(req *wire.WorkerPoll) bool {
	if req.GetDescribedTo() == "" {
		return true
	}
	return req.GetDescribedTo() == l.session && l.sched.Knows(req)
}

func pollError(reason string) *wire.WorkerOrders {
	return &wire.WorkerOrders{
		Error: "dispatcher: " + reason,
	}
}

// Report returns what the scheduler of this host runs, or nil when this host
// schedules nothing or does not know yet what runs.
func (d *Dispatcher) Report() *wire.SchedulerReport {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Clock.Now()
	if d.lead == nil || !d.mayStart(now, d.opts.View()) {
		return nil
	}
	return d.lead.sched.Report(now)
}

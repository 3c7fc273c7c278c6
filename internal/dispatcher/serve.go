package dispatcher

import (
	"context"
	"strings"
	"time"

	"github.com/heathermux/heathermux/internal/follower"
	"github.com/heathermux/heathermux/internal/scheduler"
	"github.com/heathermux/heathermux/internal/wire"
)

// Tick applies the control state, runs one scheduling pass and copies its changes
// to the backup. It should be called every 100 ms, and may block for several times
// CallTimeout while it copies, fetches or moves tasks.
func (d *Dispatcher) Tick(now time.Time) {
	view := d.opts.View()
	d.mu.Lock()
	d.applyAssignment(now, view)
	d.mu.Unlock()
	d.rebuild(now, view)
	d.mu.Lock()
	if d.active != nil {
		d.runPass(now, view)
	}
	d.mu.Unlock()
	d.replicate(context.Background())
	d.moveQueuedTasks(context.Background(), view)
}

// runPass runs one scheduling pass. d.mu is held.
func (d *Dispatcher) runPass(now time.Time, view follower.View) {
	d.logActions(d.active.sched.Step(now, scheduler.Pass{
		MayStart: d.canStartTasks(now, view),
	}))
}

// currentScheduler returns the active scheduler if it may take new work now, or nil
// with the reason. It reads the clock itself, because the process may have been
// suspended since the request arrived. d.mu is held.
func (d *Dispatcher) currentScheduler() (*activeScheduler, follower.View, time.Time, string) {
	now := d.opts.Clock.Now()
	view := d.opts.View()
	switch {
	case !view.Live(now):
		return nil, view, now, "the scheduler has no authority lease"
	case d.active == nil:
		return nil, view, now, "this entry host schedules no data centre"
	}
	dc, _ := view.State.DataCentre(d.active.dataCentre)
	if dc.GetScheduler() != d.opts.Self.GetName() || dc.GetSchedulerEpoch() != d.active.version.epoch {
		return nil, view, now, "this entry host no longer schedules " + dc.GetName()
	}
	d.active.updateState(now, view.State)
	return d.active, view, now, ""
}

// ServeSubmit handles a submission on the host that schedules the data centre. It
// accepts a task only once a second entry host holds it. A submitter that sets
// AcceptSingleCopy may get a response with one copy instead.
func (d *Dispatcher) ServeSubmit(ctx context.Context, req *wire.SubmitRequest) *wire.SubmitResponse {
	if !d.ensureBackup(ctx) && !req.GetAcceptSingleCopy() {
		return refusal("no second entry host can hold a copy of the task")
	}
	id := req.GetTask().GetId()
	if resp := d.acceptTask(req); resp.GetRefusal() != "" {
		return resp
	}
	d.replicate(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Clock.Now()
	if d.active == nil {
		return outcomeUnknown(req.GetTask(), "the scheduler changed before the copy was confirmed")
	}
	status, ok := d.active.sched.Status(now, id)
	if !ok {
		return outcomeUnknown(req.GetTask(), "the scheduler changed before the copy was confirmed")
	}
	copies := d.copiesOf(id)
	if copies < 2 && !req.GetAcceptSingleCopy() {
		// The copy may have arrived although its confirmation was lost, so a
		// refusal could be wrong. A moved task was already acknowledged by its
		// former data centre and is kept.
		if !req.GetMoved() {
			d.active.sched.Step(now, scheduler.Cancel{
				ID:   id,
				Team: req.GetTask().GetTeam(),
			})
		}
		return outcomeUnknown(req.GetTask(), "the copy was not confirmed")
	}
	return &wire.SubmitResponse{
		Status: status,
		Copies: copies,
	}
}

// copiesOf returns the number of entry hosts known to hold the task. d.mu is held.
func (d *Dispatcher) copiesOf(id string) int32 {
	if d.active.backup != "" && d.active.sched.Replicated(id) {
		return 2
	}
	return 1
}

// ensureBackup reports whether there is a backup, and tries to find one if there is
// none. It is called before any host holds the task, so that a refusal is certain.
// It returns true on a host without a rebuilt scheduler, so that acceptTask can
// refuse with that reason.
func (d *Dispatcher) ensureBackup(ctx context.Context) bool {
	d.mu.Lock()
	ready := d.active == nil || !d.active.rebuilt || d.active.backup != ""
	d.mu.Unlock()
	return ready || d.replicate(ctx)
}

// acceptTask submits the task to the scheduler and returns a refusal or an empty
// response. For an urgent task it runs a scheduling pass immediately.
func (d *Dispatcher) acceptTask(req *wire.SubmitRequest) *wire.SubmitResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	active, view, now, reason := d.currentScheduler()
	if active == nil {
		return refusal(reason)
	}
	if !req.GetMoved() && !strings.HasPrefix(req.GetTask().GetId(), idPrefix(active.dataCentre)) {
		return refusal("this entry host schedules another data centre")
	}
	for _, action := range active.sched.Step(now, scheduler.Submit{
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
		d.runPass(now, view)
	}
	return &wire.SubmitResponse{}
}

func outcomeUnknown(task *wire.Task, reason string) *wire.SubmitResponse {
	return &wire.SubmitResponse{
		Status: &wire.TaskStatus{
			Task:   task,
			State:  wire.TaskState_TASK_STATE_UNKNOWN,
			Reason: reason,
		},
	}
}

// ServeGet returns the status of a task from the scheduler on this host, or else
// from this host's copies. A task of another team is reported as not found.
func (d *Dispatcher) ServeGet(_ context.Context, req *wire.TaskRequest) *wire.TaskResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Clock.Now()
	var status *wire.TaskStatus
	ok := false
	if d.active != nil {
		status, ok = d.active.sched.Status(now, req.GetId())
	}
	for _, r := range d.replicas {
		if held, found := r.tasks[req.GetId()]; found && !ok {
			status = held.statusAt(now)
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

// ServeCancel cancels a task on the host that schedules it. It confirms only once
// the cancellation is copied to the backup, unless this is the only entry host.
func (d *Dispatcher) ServeCancel(ctx context.Context, req *wire.TaskRequest) *wire.TaskResponse {
	d.mu.Lock()
	active, _, now, reason := d.currentScheduler()
	if active == nil {
		d.mu.Unlock()
		return cancelUnconfirmed(reason)
	}
	actions := active.sched.Step(now, scheduler.Cancel{
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
	if d.active != active || (!active.sched.Replicated(req.GetId()) && d.hasOtherEntryHost()) {
		return cancelUnconfirmed("no second entry host holds the cancellation")
	}
	status, ok := active.sched.Status(now, req.GetId())
	return &wire.TaskResponse{
		Status: status,
		Found:  ok,
	}
}

// hasOtherEntryHost reports whether the view has more than one entry host.
func (d *Dispatcher) hasOtherEntryHost() bool {
	return len(d.opts.View().State.View().GetMembers()) > 1
}

func cancelUnconfirmed(reason string) *wire.TaskResponse {
	return &wire.TaskResponse{
		Status: &wire.TaskStatus{
			State:  wire.TaskState_TASK_STATE_UNKNOWN,
			Reason: reason + "; cancel again",
		},
	}
}

// ServePoll answers a worker's poll on the host that schedules its data centre.
// Without an authority lease it starts no tasks, and renews the worker's lease only
// for maxUnleasedRenewal and only if later schedulers can learn of this scheduler.
func (d *Dispatcher) ServePoll(_ context.Context, req *wire.WorkerPoll) *wire.WorkerOrders {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Clock.Now()
	view := d.opts.View()
	active := d.active
	if active == nil || active.dataCentre != req.GetDataCentre() {
		return pollError("this entry host does not schedule " + req.GetDataCentre())
	}
	if !view.Live(now) && (!active.announced || now.Sub(active.leaseHeldAt) > maxUnleasedRenewal) {
		return pollError("the scheduler has no authority lease")
	}
	if _, _, _, reason := d.currentScheduler(); view.Live(now) && reason != "" {
		return pollError(reason)
	}
	if !active.knowsUndescribedTasks(req) {
		return pollError("the poll has to describe its tasks")
	}
	actions := active.sched.Step(now, scheduler.Poll{
		Poll:     req,
		MayStart: d.canStartTasks(now, view),
	})
	d.logActions(actions)
	for _, action := range actions {
		if ordered, ok := action.(scheduler.Ordered); ok {
			ordered.Orders.Session = active.session
			return ordered.Orders
		}
	}
	return pollError("the poll was not answered")
}

// knowsUndescribedTasks reports whether this scheduler knows all tasks that the
// poll lists by ID only: the worker last described them to this session, and none
// has been forgotten since.
func (a *activeScheduler) knowsUndescribedTasks(req *wire.WorkerPoll) bool {
	if req.GetDescribedTo() == "" {
		return true
	}
	return req.GetDescribedTo() == a.session && a.sched.KnowsRunningTasks(req)
}

func pollError(reason string) *wire.WorkerOrders {
	return &wire.WorkerOrders{
		Error: "dispatcher: " + reason,
	}
}

// Report returns what the scheduler of this host runs, or nil if this host
// schedules nothing or may not start tasks at this time.
func (d *Dispatcher) Report() *wire.SchedulerReport {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Clock.Now()
	if d.active == nil || !d.canStartTasks(now, d.opts.View()) {
		return nil
	}
	return d.active.sched.Report(now)
}

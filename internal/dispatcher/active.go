package dispatcher

import (
	"strconv"
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/follower"
	"github.com/heathermux/heathermux/internal/scheduler"
	"github.com/heathermux/heathermux/internal/wire"
)

const (
	// maxUnleasedRenewal is how long worker leases are still renewed after the
	// authority lease has expired. Network partitions between regions last for
	// minutes, and running tasks should survive them.
	maxUnleasedRenewal = 10 * time.Minute

	// fetchTimeout is how long a new scheduler waits for the copies of entry hosts
	// that do not answer. A failed host is removed from the view after 3 s of
	// silence and the end of its authority lease.
	fetchTimeout = 5 * time.Second

	// refetchInterval is the time between calls to such hosts after the rebuild;
	// each call may delay a scheduling pass by CallTimeout.
	refetchInterval = 2 * time.Second
)

// activeScheduler is the state of this host while it schedules one data centre.
type activeScheduler struct {
	dataCentre string
	sched      *scheduler.Scheduler
	// session identifies the set of tasks that sched knows. It is made of the
	// process incarnation and the epoch, because another process or epoch knows
	// other tasks.
	session string
	// revision is the revision of the control state last passed to sched.
	revision uint64
	// assignedAt is when this host first read its assignment.
	assignedAt time.Time
	// startNotBefore is the earliest time to start tasks: by then the authority
	// leases of former schedulers have expired.
	startNotBefore time.Time
	// leaseHeldAt is when this host was last seen to hold an authority lease.
	leaseHeldAt time.Time
	// rebuilt is true once sched has adopted the fetched copies.
	rebuilt bool
	// awaitWorkers is true if the copies may not show everything that workers run.
	// No task is started then until all workers have polled or their leases have
	// expired.
	awaitWorkers bool
	responses    map[string]*wire.FetchTasksResponse
	// unanswered lists the view members that had not answered when the copies were
	// adopted.
	unanswered []*wire.Member
	// refetchAt is when members that did not answer are asked again.
	refetchAt time.Time

	replication
}

// assignedDataCentre returns the data centre that the control state assigns to
// this host: its own if that is among them, else the first one, or nil.
func (d *Dispatcher) assignedDataCentre(s controller.State) *wire.DataCentre {
	var found *wire.DataCentre
	for _, dc := range s.DataCentres() {
		if dc.GetScheduler() != d.opts.Self.GetName() {
			continue
		}
		if found == nil || dc.GetName() == d.opts.Self.GetDataCentre() {
			found = dc
		}
	}
	return found
}

// applyAssignment starts or stops scheduling as the control state assigns, and
// passes the state on to the scheduler. d.mu is held.
func (d *Dispatcher) applyAssignment(now time.Time, view follower.View) {
	dc := d.assignedDataCentre(view.State)
	if active := d.active; active != nil {
		if view.Live(now) {
			active.leaseHeldAt = now
		}
		if dc.GetName() == active.dataCentre && dc.GetSchedulerEpoch() == active.version.epoch {
			active.updateState(now, view.State)
			return
		}
		d.stepDownBelow(active.dataCentre, active.version.epoch+1)
	}
	if dc == nil || !view.Live(now) {
		return
	}
	// From now on, refuse copies from the former scheduler.
	own := d.replicaOf(dc.GetName())
	own.fenceEpoch = max(own.fenceEpoch, dc.GetSchedulerEpoch())
	d.active = &activeScheduler{
		dataCentre:     dc.GetName(),
		revision:       view.State.Revision(),
		assignedAt:     now,
		leaseHeldAt:    now,
		startNotBefore: now.Add(follower.InForceBound),
		responses:      make(map[string]*wire.FetchTasksResponse),
		session:        d.opts.Self.GetIncarnation() + "/" + strconv.FormatUint(dc.GetSchedulerEpoch(), 10),
		sched: scheduler.New(scheduler.Options{
			DataCentre: dc.GetName(),
			Epoch:      dc.GetSchedulerEpoch(),
			State:      view.State,
			MaxTasks:   d.opts.MaxTasks,
		}),
		replication: newReplication(dc.GetSchedulerEpoch()),
	}
	d.opts.Logger.Info("dispatcher: started scheduling the data centre; fetching task copies from the entry hosts", "data-centre", dc.GetName(), "epoch", dc.GetSchedulerEpoch())
}

// updateState passes a newer control state to the scheduler. Revisions are
// compared first because the state is several kilobytes and is copied into the
// event.
func (a *activeScheduler) updateState(now time.Time, s controller.State) {
	if s.Revision() == a.revision {
		return
	}
	a.revision = s.Revision()
	a.sched.Step(now, scheduler.ControlStateUpdate{
		State: s,
	})
}

// isFirstEpoch reports whether no host has scheduled this data centre before, in
// which case no worker can be running a task.
func (a *activeScheduler) isFirstEpoch() bool { return a.version.epoch == 1 }

// canStartTasks reports whether this host may start tasks now: its scheduler is
// rebuilt, it holds an authority lease, and neither a former scheduler nor unknown
// running tasks can exceed the limits. d.mu is held.
func (d *Dispatcher) canStartTasks(now time.Time, view follower.View) bool {
	active := d.active
	if active == nil || !active.rebuilt || !view.Live(now) || now.Before(active.startNotBefore) {
		return false
	}
	if active.awaitWorkers && now.Before(active.startNotBefore.Add(scheduler.WorkerLeaseBound)) {
		active.awaitWorkers = !active.sched.AllHostsPolled()
	}
	return !active.awaitWorkers || !now.Before(active.startNotBefore.Add(scheduler.WorkerLeaseBound))
}

// logActions logs quarantined workers and tasks that ended as unknown or stopped;
// other actions need no attention of an operator.
func (d *Dispatcher) logActions(actions []scheduler.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case scheduler.Quarantined:
			d.opts.Logger.Warn("scheduler: worker quarantined after task failures; it gets no tasks for this time", "worker", a.Worker, "for", a.For)
		case scheduler.Ended:
			if a.State == wire.TaskState_TASK_STATE_UNKNOWN || a.State == wire.TaskState_TASK_STATE_STOPPED {
				d.opts.Logger.Warn("scheduler: task ended as unknown or stopped and will not be retried", "task", a.Task, "state", a.State.String(), "reason", a.Reason)
			}
		}
	}
}

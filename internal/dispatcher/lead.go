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
	// renewBound is how long worker leases are renewed without an authority
	// lease. Regions are partitioned from each other for minutes.
	renewBound = 10 * time.Minute

	// fetchPatience is how long a new scheduler waits for the copies of hosts
	// that do not answer. A lost host leaves the view after 3 s and the end of
	// its authority lease.
	fetchPatience = 5 * time.Second

	// askAgainAfter spaces the calls to such hosts after the rebuild, as each
	// may hold up a pass by CallTimeout.
	askAgainAfter = 2 * time.Second
)

// lead is this host's scheduling of one data centre.
type lead struct {
	dataCentre string
	sched      *scheduler.Scheduler
	// session names what sched knows; another process or epoch knows other tasks.
	session string
	// revision is that of the control state that sched was given.
	revision uint64
	// since is when this host saw itself assigned.
	since time.Time
	// startsAfter is when former schedulers have stopped, by which tasks may
	// be started.
	startsAfter time.Time
	// liveAt is when this host last held an authority lease.
	liveAt time.Time
	// complete is true once the copies were adopted.
	complete bool
	// cautious is true when the copies can't tell what workers run.
	cautious bool
	answers  map[string]*wire.FetchTasksResponse
	// missing lists the members that had not answered when the copies were adopted.
	missing []*wire.Member
	// askAgainAt is when hosts that did not answer are asked again.
	askAgainAt time.Time

	copying
}

// assignment returns the data centre that this host schedules: its own, or
// else the first other one.
func (d *Dispatcher) assignment(s controller.State) *wire.DataCentre {
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

// follow brings the lead in line with the control state. d.mu is held.
func (d *Dispatcher) follow(now time.Time, view follower.View) {
	dc := d.assignment(view.State)
	if l := d.lead; l != nil {
		if view.Live(now) {
			l.liveAt = now
		}
		if dc.GetName() == l.dataCentre && dc.GetSchedulerEpoch() == l.at.epoch {
			l.inform(now, view.State)
			return
		}
		d.retireBelow(l.dataCentre, l.at.epoch+1)
	}
	if dc == nil || !view.Live(now) {
		return
	}
	// The former scheduler must not store copies here any more.
	own := d.copySetOf(dc.GetName())
	own.fence = max(own.fence, dc.GetSchedulerEpoch())
	d.lead = &lead{
		dataCentre:  dc.GetName(),
		revision:    view.State.Revision(),
		since:       now,
		liveAt:      now,
		startsAfter: now.Add(follower.ForceBound),
		answers:     make(map[string]*wire.FetchTasksResponse),
		session:     d.opts.Self.GetIncarnation() + "/" + strconv.FormatUint(dc.GetSchedulerEpoch(), 10),
		sched: scheduler.New(scheduler.Options{
			DataCentre: dc.GetName(),
			Epoch:      dc.GetSchedulerEpoch(),
			State:      view.State,
			MaxTasks:   d.opts.MaxTasks,
		}),
		copying: newCopying(dc.GetSchedulerEpoch()),
	}
	d.opts.Logger.Info("dispatcher: scheduling begins", "data-centre", dc.GetName(), "epoch", dc.GetSchedulerEpoch())
}

// inform passes a newer control state to the scheduler. The comparison comes
// first because the state is several kilobytes and the event would copy it.
func (l *lead) inform(now time.Time, s controller.State) {
	if s.Revision() == l.revision {
		return
	}
	l.revision = s.Revision()
	l.sched.Step(now, scheduler.Facts{
		State: s,
	})
}

// isFirst reports whether no host has scheduled this data centre before, so that
// no worker can run anything.
func (l *lead) isFirst() bool { return l.at.epoch == 1 }

// mayStart reports whether tasks may be started now. d.mu is held.
func (d *Dispatcher) mayStart(now time.Time, view follower.View) bool {
	l := d.lead
	if l == nil || !l.complete || !view.Live(now) || now.Before(l.startsAfter) {
		return false
	}
	if l.cautious && now.Before(l.startsAfter.Add(scheduler.WorkerLeaseBound)) {
		l.cautious = !l.sched.AllHeard()
	}
	return !l.cautious || !now.Before(l.startsAfter.Add(scheduler.WorkerLeaseBound))
}

// act logs what operators want to know of the actions.
func (d *Dispatcher) act(actions []scheduler.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case scheduler.Quarantined:
			d.opts.Logger.Warn("scheduler: worker quarantined", "worker", a.Worker, "for", a.For)
		case scheduler.Ended:
			if a.State == wire.TaskState_TASK_STATE_UNKNOWN || a.State == wire.TaskState_TASK_STATE_STOPPED {
				d.opts.Logger.Warn("scheduler: task ended", "task", a.Task, "state", a.State.String(), "reason", a.Reason)
			}
		}
	}
}

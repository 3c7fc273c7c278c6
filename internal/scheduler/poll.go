package scheduler

import (
	"slices"
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/estimator"
	"github.com/heathermux/heathermux/internal/wire"
)

// poll processes a worker's report and responds with its orders.
//
// A worker sends a poll only after it has carried out or discarded the response to
// its last one. If a response started a task and a later poll does not list it,
// the task has therefore not run in this incarnation. For orders of a former
// scheduler this holds only once the worker has seen the present epoch, because
// only then does it refuse them.
func (s *Scheduler) poll(now time.Time, p *wire.WorkerPoll, mayStart bool) []Action {
	w := s.getOrCreateWorker(p.GetWorker())
	if reason := s.refusePoll(w, p); reason != "" {
		return []Action{
			Ordered{
				Worker: w.name,
				Orders: &wire.WorkerOrders{
					Epoch: s.opts.Epoch,
					Error: "scheduler: " + reason,
				},
			},
		}
	}
	var actions []Action
	if w.incarnation != p.GetIncarnation() {
		actions = s.setIncarnation(now, w, p.GetIncarnation())
	}
	w.lost = nil
	w.lastSequence = p.GetSequence()
	w.poolEpoch = p.GetPoolEpoch()
	w.leaving = p.GetLeaving()
	w.capacity = controller.AmountOf(p.GetCapacity())
	w.lastPollAt = now
	w.leaseUntil = now.Add(WorkerLeaseBound)

	orders := &wire.WorkerOrders{
		Epoch:      s.opts.Epoch,
		LeaseNanos: int64(WorkerLease),
		Pool:       w.pool(),
		PoolEpoch:  w.host.GetPoolEpoch(),
	}
	actions = append(actions, s.processEnded(now, w, p.GetEnded(), orders, mayStart)...)
	s.processRunning(now, w, p.GetRunning(), orders)
	actions = append(actions, s.processMissing(now, w, p)...)
	actions = append(actions, s.relieve(now, w)...)
	s.fillOrders(now, w, orders, mayStart)
	return append(actions, Ordered{
		Worker: w.name,
		Orders: orders,
	})
}

func (s *Scheduler) refusePoll(w *worker, p *wire.WorkerPoll) string {
	switch {
	case p.GetEpoch() > s.opts.Epoch:
		return "the worker has seen a newer scheduler"
	case w.host.GetDataCentre() != s.opts.DataCentre:
		return "host " + w.name + " is not known in " + s.opts.DataCentre
	case slices.Contains(w.retiredIncarnations, p.GetIncarnation()):
		return "a newer process of the worker has polled"
	case w.incarnation == p.GetIncarnation() && p.GetSequence() <= w.lastSequence:
		return "a newer poll of the worker was answered"
	default:
		return ""
	}
}

// processEnded records the ends of tasks. It acknowledges those that are
// replicated, provided that mayStart shows this scheduler to be the present one. A
// report about a task that has been assigned again and whose start has not been
// sent is about its former run, and is not applied.
func (s *Scheduler) processEnded(now time.Time, w *worker, ended []*wire.EndedTask, orders *wire.WorkerOrders, mayStart bool) []Action {
	var actions []Action
	for _, e := range ended {
		t, ok := s.tasks[e.GetTask()]
		if ok && t.worker == w && t.startSent {
			actions = append(actions, s.applyEnd(now, w, t, e)...)
		} else if ok && t.worker == nil {
			actions = append(actions, s.applyLateEnd(now, w, t, e)...)
		}
		if !ok && s.rebuilt {
			t, ok = s.recordUnknownEnd(now, w, e)
		}
		if mayStart && ((ok && s.replicated(t)) || (!ok && s.rebuilt)) {
			orders.Acknowledged = append(orders.Acknowledged, e.GetTask())
		}
	}
	return actions
}

// recordUnknownEnd records the end of a task that is not known, so that it does
// not run again when a replica that lists it is adopted later. A task whose
// reported state is not final needs no record.
func (s *Scheduler) recordUnknownEnd(now time.Time, w *worker, e *wire.EndedTask) (*task, bool) {
	if !final(e.GetState()) {
		return nil, false
	}
	t := s.newTask(&wire.Task{
		Id: e.GetTask(),
	}, now)
	t.lastWorker = w.name
	t.incarnation = w.incarnation
	s.finish(now, t, e.GetState(), e.GetReason())
	return t, true
}

// applyEnd finishes or requeues a task that its worker no longer runs.
func (s *Scheduler) applyEnd(now time.Time, w *worker, t *task, e *wire.EndedTask) []Action {
	switch e.GetState() {
	case wire.TaskState_TASK_STATE_SUCCEEDED:
		s.addSample(t, e)
		w.recordSuccess(t)
		return []Action{s.finish(now, t, wire.TaskState_TASK_STATE_SUCCEEDED, "")}
	case wire.TaskState_TASK_STATE_FAILED:
		return s.handleFailure(now, w, t, e)
	case wire.TaskState_TASK_STATE_QUEUED:
		// It was never started, or it was checkpointed, which is ordered only
		// for idempotent tasks.
		if !e.GetCheckpointed() || t.spec.GetIdempotent() {
			return []Action{s.requeue(now, t, e.GetReason())}
		}
	}
	if t.cancelled {
		return []Action{s.finish(now, t, wire.TaskState_TASK_STATE_CANCELLED, "")}
	}
	if t.spec.GetIdempotent() {
		return []Action{s.requeue(now, t, e.GetReason())}
	}
	state := wire.TaskState_TASK_STATE_STOPPED
	if e.GetState() == wire.TaskState_TASK_STATE_UNKNOWN {
		state = e.GetState()
	}
	return []Action{s.finish(now, t, state, e.GetReason())}
}

// applyLateEnd applies the end of a task that is no longer assigned to the worker
// that reports it. It resolves a state that was unknown, and finishes a queued
// task that has succeeded after all.
func (s *Scheduler) applyLateEnd(now time.Time, w *worker, t *task, e *wire.EndedTask) []Action {
	resolvesUnknown := t.state == wire.TaskState_TASK_STATE_UNKNOWN && t.lastWorker == w.name && final(e.GetState())
	succeededLate := t.state == wire.TaskState_TASK_STATE_QUEUED && e.GetState() == wire.TaskState_TASK_STATE_SUCCEEDED
	if !resolvesUnknown && !succeededLate {
		return nil
	}
	return []Action{s.finish(now, t, e.GetState(), e.GetReason())}
}

func (s *Scheduler) addSample(t *task, e *wire.EndedTask) {
	peak := controller.AmountOf(e.GetPeak())
	if peak == (controller.Amount{}) {
		return
	}
	s.estimates.Learn(t.kind.key, estimator.Sample{
		Peak: peak,
		Run:  time.Duration(e.GetRunNanos()),
	})
}

// processRunning updates the tasks that the worker runs, adopts those that only
// the worker knows and orders it to stop those that it must not run.
func (s *Scheduler) processRunning(now time.Time, w *worker, running []*wire.RunningTask, orders *wire.WorkerOrders) {
	for _, r := range running {
		t, ok := s.tasks[r.GetTask()]
		if !ok && r.GetDetail() != nil {
			t = s.newTask(r.GetDetail(), now.Add(-time.Duration(r.GetRunNanos())))
		}
		switch {
		case t == nil, final(t.state), t.worker != nil && t.worker != w:
			orders.Stop = append(orders.Stop, r.GetTask())
			continue
		case t.worker == nil:
			s.assign(t, w, controller.AmountOf(r.GetDetail().GetSize()))
		}
		t.startSent = true
		t.confirmed = true
		s.updateUsage(t, r)
	}
}

// updateUsage records the reported usage and adjusts what is charged for the task,
// once the task has run for at least UsageLag.
func (s *Scheduler) updateUsage(t *task, r *wire.RunningTask) {
	used := controller.AmountOf(r.GetUsed())
	tooEarly := time.Duration(r.GetRunNanos()) < UsageLag
	if tooEarly || r.GetUsed() == nil || (t.measured && used == t.used) {
		return
	}
	s.uncharge(t)
	t.used = used
	t.measured = true
	s.charge(t)
}

// processMissing requeues or finishes the tasks that the worker should run but did
// not list.
func (s *Scheduler) processMissing(now time.Time, w *worker, p *wire.WorkerPoll) []Action {
	if p.GetEpoch() < s.opts.Epoch || len(w.tasks) == 0 {
		return nil
	}
	reported := make(map[string]bool, len(p.GetRunning()))
	for _, r := range p.GetRunning() {
		reported[r.GetTask()] = true
	}
	var actions []Action
	for _, t := range w.tasksByAcceptance() {
		if !t.startSent || reported[t.spec.GetId()] || t.startSequence >= p.GetSequence() {
			continue
		}
		if t.confirmed || t.incarnation != w.incarnation {
			// A worker reports an ended task until it is acknowledged, so
			// this one was lost through a fault or a restart.
			actions = append(actions, s.handleLost(now, t, "worker "+w.name+" no longer knows it"))
			continue
		}
		if t.uncertain && !t.spec.GetIdempotent() {
			// The start is sent again; the worker refuses it if it has run
			// the task before.
			t.startSent = false
			continue
		}
		actions = append(actions, s.requeue(now, t, "its start order did not reach worker "+w.name))
	}
	return actions
}

// fillOrders adds the start, stop, checkpoint and throttle orders for the worker's
// tasks.
func (s *Scheduler) fillOrders(now time.Time, w *worker, orders *wire.WorkerOrders, mayStart bool) {
	withinCapacity := !w.free().Negative()
	mayStart = mayStart && s.mayStartOn(w) && !w.quarantined(now)
	for _, t := range w.tasksByAcceptance() {
		id := t.spec.GetId()
		if !t.startSent {
			if mayStart && s.replicated(t) {
				t.startSent = true
				t.startSequence = w.lastSequence
				t.attempts++
				orders.Start = append(orders.Start, startOrder(t))
			}
			continue
		}
		t.preempted = t.preempted && !withinCapacity
		t.evacuating = !s.mayStartOn(w)
		switch {
		case t.cancelled:
			orders.Stop = append(orders.Stop, id)
		case t.spec.GetIdempotent() && (t.evacuating || t.preempted):
			orders.Checkpoint = append(orders.Checkpoint, id)
		}
		if t.preempted {
			orders.Throttle = append(orders.Throttle, id)
		}
	}
}

// startOrder returns the task as the worker gets it: with its payload, and with the
// granted size in place of the declared one.
func startOrder(t *task) *wire.Task {
	order := withoutPayload(t.spec)
	order.Payload = t.spec.GetPayload()
	order.Size = t.grant.Wire()
	return order
}

// KnowsRunningTasks reports whether every running task that a poll lists without
// detail is known here.
func (s *Scheduler) KnowsRunningTasks(p *wire.WorkerPoll) bool {
	for _, r := range p.GetRunning() {
		if _, ok := s.tasks[r.GetTask()]; !ok && r.GetDetail() == nil {
			return false
		}
	}
	return true
}

package scheduler

import (
	"slices"
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/estimator"
	"github.com/heathermux/heathermux/internal/wire"
)

// poll takes in a worker's report and answers with its orders.
//
// A worker sends a poll only after the response to its last one was carried
// out or discarded. A task that an earlier response started and a later poll
// does not name has therefore not run in this incarnation. That holds for
// orders of a former scheduler only once the worker has seen this epoch,
// because only then does it refuse them.
func (s *Scheduler) poll(now time.Time, p *wire.WorkerPoll, starts bool) []Action {
	w := s.workerNamed(p.GetWorker())
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
	w.sequence = p.GetSequence()
	w.poolEpoch = p.GetPoolEpoch()
	w.leaving = p.GetLeaving()
	w.capacity = controller.AmountOf(p.GetCapacity())
	w.heardAt = now
	w.leaseUntil = now.Add(WorkerLeaseBound)

	orders := &wire.WorkerOrders{
		Epoch:      s.opts.Epoch,
		LeaseNanos: int64(WorkerLease),
		Pool:       w.pool(),
		PoolEpoch:  w.host.GetPoolEpoch(),
	}
	actions = append(actions, s.takeEnded(now, w, p.GetEnded(), orders, starts)...)
	s.takeRunning(now, w, p.GetRunning(), orders)
	actions = append(actions, s.takeAbsent(now, w, p)...)
	s.order(now, w, orders, starts)
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
	case slices.Contains(w.retired, p.GetIncarnation()):
		return "a newer process of the worker has polled"
	case w.incarnation == p.GetIncarnation() && p.GetSequence() <= w.sequence:
		return "a newer poll of the worker was answered"
	default:
		return ""
	}
}

// takeEnded records the ends of tasks and acknowledges those that a second
// entry host holds, if this scheduler is known to be the present one. A report
// of a task that was assigned again and not handed out is about its former run.
func (s *Scheduler) takeEnded(now time.Time, w *worker, ended []*wire.EndedTask, orders *wire.WorkerOrders, starts bool) []Action {
	var actions []Action
	for _, e := range ended {
		t, ok := s.tasks[e.GetTask()]
		if ok && t.worker == w && t.handedOut {
			actions = append(actions, s.takeEnd(now, w, t, e)...)
		} else if ok && t.worker == nil {
			actions = append(actions, s.takeLateEnd(now, w, t, e)...)
		}
		if !ok && s.complete {
			t, ok = s.noteEnd(now, w, e)
		}
		if starts && ((ok && s.secured(t)) || (!ok && s.complete)) {
			orders.Acknowledged = append(orders.Acknowledged, e.GetTask())
		}
	}
	return actions
}

// noteEnd records the end of a task that is not known, so that a copy which
// arrives later does not run it again. One that did not run needs no record.
func (s *Scheduler) noteEnd(now time.Time, w *worker, e *wire.EndedTask) (*task, bool) {
	if !final(e.GetState()) {
		return nil, false
	}
	t := s.newTask(&wire.Task{
		Id: e.GetTask(),
	}, now)
	t.ranOn = w.name
	t.incarnation = w.incarnation
	s.finish(now, t, e.GetState(), e.GetReason())
	return t, true
}

// takeEnd settles a task that its worker no longer runs.
func (s *Scheduler) takeEnd(now time.Time, w *worker, t *task, e *wire.EndedTask) []Action {
	switch e.GetState() {
	case wire.TaskState_TASK_STATE_SUCCEEDED:
		s.learn(t, e)
		w.succeeded(t)
		return []Action{s.finish(now, t, wire.TaskState_TASK_STATE_SUCCEEDED, "")}
	case wire.TaskState_TASK_STATE_FAILED:
		return s.takeFailure(now, w, t, e)
	case wire.TaskState_TASK_STATE_QUEUED:
		// It was never started, or it was checkpointed, which only
		// idempotent tasks are asked for.
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

// takeLateEnd takes in the end of a task that was given up on its worker. An
// unknown end becomes known, and a task that waits to run again need not.
func (s *Scheduler) takeLateEnd(now time.Time, w *worker, t *task, e *wire.EndedTask) []Action {
	known := t.state == wire.TaskState_TASK_STATE_UNKNOWN && t.ranOn == w.name && final(e.GetState())
	done := t.state == wire.TaskState_TASK_STATE_QUEUED && e.GetState() == wire.TaskState_TASK_STATE_SUCCEEDED
	if !known && !done {
		return nil
	}
	return []Action{s.finish(now, t, e.GetState(), e.GetReason())}
}

func (s *Scheduler) learn(t *task, e *wire.EndedTask) {
	peak := controller.AmountOf(e.GetPeak())
	if peak == (controller.Amount{}) {
		return
	}
	s.estimates.Learn(t.kind.key, estimator.Sample{
		Peak: peak,
		Run:  time.Duration(e.GetRunNanos()),
	})
}

// takeRunning updates what the worker runs, adopts what only it knows of and
// stops what it must not run.
func (s *Scheduler) takeRunning(now time.Time, w *worker, running []*wire.RunningTask, orders *wire.WorkerOrders) {
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
		t.handedOut = true
		t.confirmed = true
		s.measure(t, r)
	}
}

// measure takes in the reported use, once it is younger than the start by the lag.
func (s *Scheduler) measure(t *task, r *wire.RunningTask) {
	used := controller.AmountOf(r.GetUsed())
	young := time.Duration(r.GetRunNanos()) < UsageLag
	if young || r.GetUsed() == nil || (t.measured && used == t.used) {
		return
	}
	s.uncharge(t)
	t.used = used
	t.measured = true
	s.charge(t)
}

// takeAbsent settles the tasks that the worker should run and did not name.
func (s *Scheduler) takeAbsent(now time.Time, w *worker, p *wire.WorkerPoll) []Action {
	if p.GetEpoch() < s.opts.Epoch || len(w.tasks) == 0 {
		return nil
	}
	named := make(map[string]bool, len(p.GetRunning()))
	for _, r := range p.GetRunning() {
		named[r.GetTask()] = true
	}
	var actions []Action
	for _, t := range w.sorted() {
		if !t.handedOut || named[t.spec.GetId()] || t.sequence >= p.GetSequence() {
			continue
		}
		if t.confirmed || t.incarnation != w.incarnation {
			// A worker keeps an ended task until it is acknowledged, so
			// this one was lost by a fault or by a restart.
			actions = append(actions, s.lose(now, t, "worker "+w.name+" no longer knows it"))
			continue
		}
		if t.doubtful && !t.spec.GetIdempotent() {
			// The worker refuses to start it if it has run it before.
			t.handedOut = false
			continue
		}
		actions = append(actions, s.requeue(now, t, "its start order did not reach worker "+w.name))
	}
	return actions
}

// order fills in what the worker is to do with its tasks.
func (s *Scheduler) order(now time.Time, w *worker, orders *wire.WorkerOrders, starts bool) {
	roomy := !w.free().Negative()
	starts = starts && s.active(w) && !w.quarantined(now)
	for _, t := range w.sorted() {
		id := t.spec.GetId()
		if !t.handedOut {
			if starts && s.secured(t) {
				t.handedOut = true
				t.sequence = w.sequence
				t.attempts++
				orders.Start = append(orders.Start, startOrder(t))
			}
			continue
		}
		t.yielding = t.yielding && !roomy
		t.leaving = !s.active(w)
		switch {
		case t.cancelled:
			orders.Stop = append(orders.Stop, id)
		case t.spec.GetIdempotent() && (t.leaving || t.yielding):
			orders.Checkpoint = append(orders.Checkpoint, id)
		}
		if t.yielding {
			orders.Throttle = append(orders.Throttle, id)
		}
	}
}

// startOrder returns the task with the size that it is granted.
func startOrder(t *task) *wire.Task {
	order := withoutPayload(t.spec)
	order.Payload = t.spec.GetPayload()
	order.Size = t.grant.Wire()
	return order
}

// Knows reports whether all tasks that a poll names without detail are held.
func (s *Scheduler) Knows(p *wire.WorkerPoll) bool {
	for _, r := range p.GetRunning() {
		if _, ok := s.tasks[r.GetTask()]; !ok && r.GetDetail() == nil {
			return false
		}
	}
	return true
}

package scheduler

import (
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/estimator"
	"github.com/heathermux/heathermux/internal/wire"
)

func estimatorKey(spec *wire.Task) estimator.Key {
	return estimator.Key{
		Team:  spec.GetTeam(),
		Queue: spec.GetQueue(),
	}
}

// newTask registers a task without a state.
func (s *Scheduler) newTask(spec *wire.Task, acceptedAt time.Time) *task {
	s.number++
	key := estimatorKey(spec)
	k := s.kinds[key]
	if k == nil {
		k = &kind{
			key: key,
		}
		s.kinds[key] = k
	}
	t := &task{
		spec:       spec,
		account:    s.accountOf(spec.GetTeam()),
		kind:       k,
		number:     s.number,
		acceptedAt: acceptedAt,
	}
	s.tasks[spec.GetId()] = t
	return t
}

// enqueue puts a task into the state queued, ahead of others if it ran before.
func (s *Scheduler) enqueue(t *task, first bool) {
	t.state = wire.TaskState_TASK_STATE_QUEUED
	t.flags = flags{
		dirty: t.dirty,
	}
	s.touch(t)
	t.queued = true
	a := t.account
	t.pool = s.poolOf(t.spec.GetQueue())
	t.grant = s.sizeOf(t, t.pool)
	a.queued++
	a.waiting[t.pool] = a.waiting[t.pool].Plus(t.grant)
	c := class{
		pool:   t.pool,
		urgent: t.spec.GetUrgent(),
		size:   sizeClassOf(t.grant),
	}
	s.watchDeadline(t)
	q := a.classes[c]
	if q == nil {
		q = &classQueue{}
		a.classes[c] = q
	}
	if first {
		q.pushFront(t)
	} else {
		q.push(t)
	}
}

// unqueue takes the task out of the count of queued tasks; its entry is
// skipped when it is reached.
func (t *task) unqueue() {
	if !t.queued {
		return
	}
	t.queued = false
	t.account.queued--
	t.account.waiting[t.pool] = t.account.waiting[t.pool].Minus(t.grant)
}

// assign puts a queued or adopted task onto a worker.
func (s *Scheduler) assign(t *task, w *worker, grant controller.Amount) {
	if t.state == wire.TaskState_TASK_STATE_QUEUED {
		t.unqueue()
	}
	t.state = wire.TaskState_TASK_STATE_RUNNING
	t.flags = flags{
		dirty: t.dirty,
	}
	t.worker = w
	t.ranOn = w.name
	t.incarnation = w.incarnation
	t.grant = grant
	t.used = controller.Amount{}
	t.sequence = 0
	s.touch(t)
	w.tasks[t.spec.GetId()] = t
	s.charge(t)
}

func (s *Scheduler) charge(t *task) {
	cost := t.cost()
	s.charged = s.charged.Plus(cost)
	t.account.charged = t.account.charged.Plus(cost)
	t.account.usage = t.account.usage.Plus(t.usage())
	t.worker.charged = t.worker.charged.Plus(cost)
}

func (s *Scheduler) uncharge(t *task) {
	cost := t.cost()
	s.charged = s.charged.Minus(cost)
	t.account.charged = t.account.charged.Minus(cost)
	t.account.usage = t.account.usage.Minus(t.usage())
	t.worker.charged = t.worker.charged.Minus(cost)
}

// leave takes a running task off its worker.
func (s *Scheduler) leave(t *task) {
	if t.worker == nil {
		return
	}
	s.uncharge(t)
	delete(t.worker.tasks, t.spec.GetId())
	t.worker = nil
}

// requeue puts a running task that is proven not to run back into its queue,
// or ends it when it was to be cancelled.
func (s *Scheduler) requeue(now time.Time, t *task, reason string) Action {
	if t.cancelled {
		return s.finish(now, t, wire.TaskState_TASK_STATE_CANCELLED, "")
	}
	s.leave(t)
	s.enqueue(t, true)
	return Requeued{
		Task:   t.spec.GetId(),
		Reason: reason,
	}
}

// lose handles a task whose worker may have run any part of it.
func (s *Scheduler) lose(now time.Time, t *task, reason string) Action {
	switch {
	case !t.handedOut && !t.doubtful, t.spec.GetIdempotent():
		return s.requeue(now, t, reason)
	default:
		return s.finish(now, t, wire.TaskState_TASK_STATE_UNKNOWN, reason)
	}
}

// finish puts a task into its final state.
func (s *Scheduler) finish(now time.Time, t *task, state wire.TaskState, reason string) Action {
	if t.state == wire.TaskState_TASK_STATE_QUEUED {
		t.unqueue()
	}
	s.leave(t)
	if !final(t.state) {
		t.endedAt = now
		s.ended = append(s.ended, t)
	}
	t.state = state
	t.reason = reason
	t.flags = flags{
		dirty: t.dirty,
	}
	t.spec = withoutPayload(t.spec)
	t.failedOn = nil
	s.touch(t)
	return Ended{
		Task:   t.spec.GetId(),
		State:  state,
		Reason: reason,
	}
}

// forget drops ended tasks after their retention time.
func (s *Scheduler) forget(now time.Time) {
	n := 0
	for n < len(s.ended) && now.Sub(s.ended[n].endedAt) >= Retention {
		id := s.ended[n].spec.GetId()
		if s.tasks[id] == s.ended[n] {
			delete(s.tasks, id)
			s.changes.forgotten = append(s.changes.forgotten, id)
		}
		s.ended[n] = nil
		n++
	}
	s.ended = s.ended[n:]
}

func (s *Scheduler) poolOf(queue string) string {
	q, _ := s.facts.state.Queue(queue)
	return q.GetPool()
}

// sizeOf returns the size that the task is started with: the learned one, or
// the declared one where nothing is known or the learned one fits no host.
func (s *Scheduler) sizeOf(t *task, pool string) controller.Amount {
	declared := controller.AmountOf(t.spec.GetSize())
	learned := s.estimates.Estimate(t.kind.key, declared, 0).Size
	if learned != declared && !s.facts.runnable(pool, learned) {
		return declared
	}
	return learned
}

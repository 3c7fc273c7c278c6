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

// newTask registers a task. Its state is unspecified until it is queued,
// assigned or finished.
func (s *Scheduler) newTask(spec *wire.Task, acceptedAt time.Time) *task {
	s.lastNumber++
	key := estimatorKey(spec)
	k := s.kinds[key]
	if k == nil {
		k = &taskKind{
			key: key,
		}
		s.kinds[key] = k
	}
	t := &task{
		spec:       spec,
		account:    s.accountOf(spec.GetTeam()),
		kind:       k,
		number:     s.lastNumber,
		acceptedAt: acceptedAt,
	}
	s.tasks[spec.GetId()] = t
	return t
}

// enqueue puts a task into the state queued, at the front of its class if atFront
// is set.
func (s *Scheduler) enqueue(t *task, atFront bool) {
	t.state = wire.TaskState_TASK_STATE_QUEUED
	t.flags = flags{
		dirty: t.dirty,
	}
	s.recordChange(t)
	t.queued = true
	a := t.account
	t.pool = s.poolOf(t.spec.GetQueue())
	t.grant = s.sizeOf(t, t.pool)
	a.queuedTasks++
	a.queuedSizeByPool[t.pool] = a.queuedSizeByPool[t.pool].Plus(t.grant)
	c := taskClass{
		pool:   t.pool,
		urgent: t.spec.GetUrgent(),
		size:   sizeClassOf(t.grant),
	}
	s.trackDeadline(t)
	q := a.classes[c]
	if q == nil {
		q = &classQueue{}
		a.classes[c] = q
	}
	if atFront {
		q.pushFront(t)
	} else {
		q.push(t)
	}
}

// dequeue removes the task from the count of queued tasks. Its entry stays in the
// class queue and is skipped when it reaches the head.
func (t *task) dequeue() {
	if !t.queued {
		return
	}
	t.queued = false
	t.account.queuedTasks--
	t.account.queuedSizeByPool[t.pool] = t.account.queuedSizeByPool[t.pool].Minus(t.grant)
}

// assign puts a queued or adopted task on a worker and charges it with the grant.
func (s *Scheduler) assign(t *task, w *worker, grant controller.Amount) {
	if t.state == wire.TaskState_TASK_STATE_QUEUED {
		t.dequeue()
	}
	t.state = wire.TaskState_TASK_STATE_RUNNING
	t.flags = flags{
		dirty: t.dirty,
	}
	t.worker = w
	t.lastWorker = w.name
	t.incarnation = w.incarnation
	t.grant = grant
	t.used = controller.Amount{}
	t.startSequence = 0
	s.recordChange(t)
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

// unassign removes a running task from its worker, if it has one.
func (s *Scheduler) unassign(t *task) {
	if t.worker == nil {
		return
	}
	s.uncharge(t)
	delete(t.worker.tasks, t.spec.GetId())
	t.worker = nil
}

// requeue puts an assigned task that is known not to run, or may safely run
// again, back into its queue, or ends it if it was cancelled.
func (s *Scheduler) requeue(now time.Time, t *task, reason string) Action {
	if t.cancelled {
		return s.finish(now, t, wire.TaskState_TASK_STATE_CANCELLED, "")
	}
	s.unassign(t)
	s.enqueue(t, true)
	return Requeued{
		Task:   t.spec.GetId(),
		Reason: reason,
	}
}

// handleLost settles a task that its worker lost or can't report on. The task is
// requeued if its start was never sent or it is idempotent. Otherwise it may have
// run in part or whole, and its final state is unknown.
func (s *Scheduler) handleLost(now time.Time, t *task, reason string) Action {
	switch {
	case !t.startSent && !t.uncertain, t.spec.GetIdempotent():
		return s.requeue(now, t, reason)
	default:
		return s.finish(now, t, wire.TaskState_TASK_STATE_UNKNOWN, reason)
	}
}

// finish puts a task into a final state.
func (s *Scheduler) finish(now time.Time, t *task, state wire.TaskState, reason string) Action {
	if t.state == wire.TaskState_TASK_STATE_QUEUED {
		t.dequeue()
	}
	s.unassign(t)
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
	s.recordChange(t)
	return Ended{
		Task:   t.spec.GetId(),
		State:  state,
		Reason: reason,
	}
}

// purgeEnded deletes tasks that ended or were transferred Retention or longer ago.
func (s *Scheduler) purgeEnded(now time.Time) {
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
	q, _ := s.control.state.Queue(queue)
	return q.GetPool()
}

// sizeOf returns the size to start the task with: the estimate learned from
// earlier tasks of its kind, or the declared size if there is none or it fits no
// host of the pool.
func (s *Scheduler) sizeOf(t *task, pool string) controller.Amount {
	declared := controller.AmountOf(t.spec.GetSize())
	learned := s.estimates.Estimate(t.kind.key, declared, 0).Size
	if learned != declared && !s.control.fitsSomeHost(pool, learned) {
		return declared
	}
	return learned
}

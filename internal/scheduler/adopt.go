package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/wire"
)

// adopt takes over tasks of a former scheduler. What a worker or a newer copy
// already told takes precedence. The oldest tasks are queued first.
func (s *Scheduler) adopt(now time.Time, e Adopt) {
	s.unheardUntil = e.UnheardUntil
	tasks := slices.Clone(e.Tasks)
	slices.SortFunc(tasks, func(a, b *wire.TaskStatus) int {
		return cmp.Or(cmp.Compare(b.GetAgeNanos(), a.GetAgeNanos()), cmp.Compare(a.GetTask().GetId(), b.GetTask().GetId()))
	})
	for _, status := range tasks {
		known, ok := s.tasks[status.GetTask().GetId()]
		if ok {
			s.correct(now, known, status, e.Stale)
			continue
		}
		t := s.newTask(status.GetTask(), now.Add(-time.Duration(status.GetAgeNanos())))
		t.attempts = status.GetAttempts()
		t.ranOn = status.GetWorker()
		t.incarnation = status.GetIncarnation()
		s.restore(now, t, status, e)
	}
}

// correct completes a task that a worker reported before its copy was fetched.
func (s *Scheduler) correct(now time.Time, t *task, status *wire.TaskStatus, stale bool) {
	if stale {
		return
	}
	if t.spec.GetTeam() == "" {
		s.complement(now, t, status)
		return
	}
	if t.state == wire.TaskState_TASK_STATE_UNKNOWN && final(status.GetState()) {
		s.finish(now, t, status.GetState(), status.GetReason())
	}
	if !final(t.state) {
		// The worker knows only the granted size; the copy has the declared one.
		t.spec = status.GetTask()
		t.attempts = max(t.attempts, status.GetAttempts())
		t.acceptedAt = now.Add(-time.Duration(status.GetAgeNanos()))
		t.cancelled = t.cancelled || status.GetCancelled()
	}
}

// complement completes a task of which only the end was known. One that was
// put off is queued again if it is idempotent.
func (s *Scheduler) complement(now time.Time, t *task, status *wire.TaskStatus) {
	full := s.newTask(status.GetTask(), now.Add(-time.Duration(status.GetAgeNanos())))
	full.ranOn = t.ranOn
	full.incarnation = t.incarnation
	full.attempts = status.GetAttempts()
	if t.state != wire.TaskState_TASK_STATE_SUCCEEDED && full.spec.GetIdempotent() && !final(status.GetState()) {
		s.enqueue(full, false)
		return
	}
	s.finish(now, full, t.state, t.reason)
}

func (s *Scheduler) restore(now time.Time, t *task, status *wire.TaskStatus, e Adopt) {
	switch {
	case final(status.GetState()):
		s.finish(now, t, status.GetState(), status.GetReason())
	case e.Stale && !t.spec.GetIdempotent():
		s.finish(now, t, wire.TaskState_TASK_STATE_UNKNOWN, "the hosts that held its newest copy were lost")
	case status.GetState() == wire.TaskState_TASK_STATE_RUNNING && !e.Stale:
		w := s.workerNamed(status.GetWorker())
		s.assign(t, w, controller.AmountOf(status.GetGranted()))
		t.incarnation = status.GetIncarnation()
		t.handedOut = true
		t.doubtful = e.Partial
		t.cancelled = status.GetCancelled()
	case status.GetDataCentre() != "" && status.GetDataCentre() != s.opts.DataCentre:
		// Whether the other data centre holds it is found out by asking again.
		t.state = status.GetState()
		t.doubtful = true
		t.movingTo = status.GetDataCentre()
		s.moving[t.spec.GetId()] = t
		s.touch(t)
	default:
		s.enqueue(t, false)
	}
}

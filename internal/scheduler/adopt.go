package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/wire"
)

// adopt restores the tasks of a former scheduler from one replica. What a worker
// or a newer replica has already reported takes precedence. The oldest tasks are
// queued first.
func (s *Scheduler) adopt(now time.Time, e Adopt) {
	s.unpolledLeaseUntil = e.UnpolledLeaseUntil
	tasks := slices.Clone(e.Tasks)
	slices.SortFunc(tasks, func(a, b *wire.TaskStatus) int {
		return cmp.Or(cmp.Compare(b.GetAgeNanos(), a.GetAgeNanos()), cmp.Compare(a.GetTask().GetId(), b.GetTask().GetId()))
	})
	for _, status := range tasks {
		known, ok := s.tasks[status.GetTask().GetId()]
		if ok {
			s.mergeStatus(now, known, status, e.Stale)
			continue
		}
		t := s.newTask(status.GetTask(), now.Add(-time.Duration(status.GetAgeNanos())))
		t.attempts = status.GetAttempts()
		t.crashes = crashesOf(status.GetCrashes())
		t.lastWorker = status.GetWorker()
		t.incarnation = status.GetIncarnation()
		s.restore(now, t, status, e)
	}
}

// mergeStatus updates a task that a worker reported before the replica with its
// status was fetched.
func (s *Scheduler) mergeStatus(now time.Time, t *task, status *wire.TaskStatus, stale bool) {
	if stale {
		return
	}
	if t.spec.GetTeam() == "" {
		s.mergeIntoEnded(now, t, status)
		return
	}
	if t.state == wire.TaskState_TASK_STATE_UNKNOWN && final(status.GetState()) {
		s.finish(now, t, status.GetState(), status.GetReason())
	}
	if !final(t.state) {
		// The worker knows only the granted size; the replica has the declared one.
		t.spec = status.GetTask()
		t.attempts = max(t.attempts, status.GetAttempts())
		t.crashes = crashesOf(append(wireCrashes(t.crashes), status.GetCrashes()...))
		t.acceptedAt = now.Add(-time.Duration(status.GetAgeNanos()))
		t.cancelled = t.cancelled || status.GetCancelled()
	}
}

// mergeIntoEnded completes the record of a task of which only the end was known. An
// idempotent task that did not succeed is queued again, unless it has ended
// according to the replica too.
func (s *Scheduler) mergeIntoEnded(now time.Time, t *task, status *wire.TaskStatus) {
	merged := s.newTask(status.GetTask(), now.Add(-time.Duration(status.GetAgeNanos())))
	merged.lastWorker = t.lastWorker
	merged.incarnation = t.incarnation
	merged.attempts = status.GetAttempts()
	merged.crashes = crashesOf(status.GetCrashes())
	if t.state != wire.TaskState_TASK_STATE_SUCCEEDED && merged.spec.GetIdempotent() && !final(status.GetState()) {
		s.enqueue(merged, false)
		return
	}
	s.finish(now, merged, t.state, t.reason)
}

func (s *Scheduler) restore(now time.Time, t *task, status *wire.TaskStatus, e Adopt) {
	switch {
	case final(status.GetState()):
		s.finish(now, t, status.GetState(), status.GetReason())
	case e.Stale && !t.spec.GetIdempotent():
		s.finish(now, t, wire.TaskState_TASK_STATE_UNKNOWN, "the hosts that held its newest copy were lost")
	case status.GetState() == wire.TaskState_TASK_STATE_RUNNING && !e.Stale:
		w := s.getOrCreateWorker(status.GetWorker())
		s.assign(t, w, controller.AmountOf(status.GetGranted()))
		t.incarnation = status.GetIncarnation()
		t.startSent = true
		t.uncertain = e.Partial
		t.cancelled = status.GetCancelled()
	case status.GetDataCentre() != "" && status.GetDataCentre() != s.opts.DataCentre:
		// Offering the task again shows whether the other data centre holds it.
		t.state = status.GetState()
		t.uncertain = true
		t.movingTo = status.GetDataCentre()
		s.moving[t.spec.GetId()] = t
		s.recordChange(t)
	default:
		s.enqueue(t, false)
	}
}

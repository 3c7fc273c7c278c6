package scheduler

import (
	"slices"
	"time"

	"github.com/heathermux/heathermux/internal/estimator"
	"github.com/heathermux/heathermux/internal/wire"
)

// kind is what is known of the tasks of one team and queue.
type kind struct {
	key estimator.Key
	// failedOn lists workers on which the kind failed since its last success,
	// up to kindWorkers.
	failedOn []string
}

// kindWorkers is the number of workers on which a kind has to fail in a row
// before its failures say nothing about a worker any more.
const kindWorkers = 3

func (k *kind) failed(worker string) {
	if len(k.failedOn) < kindWorkers && !slices.Contains(k.failedOn, worker) {
		k.failedOn = append(k.failedOn, worker)
	}
}

// suspect reports whether the kind fails on every worker rather than on one.
func (k *kind) suspect() bool { return len(k.failedOn) >= kindWorkers }

// succeeded ends a series of failures and a trial.
func (w *worker) succeeded(t *task) {
	w.health = health{}
	t.kind.failedOn = nil
}

// takeFailure decides whether a failed task is tried elsewhere and whether
// its worker is at fault.
func (s *Scheduler) takeFailure(now time.Time, w *worker, t *task, e *wire.EndedTask) []Action {
	var actions []Action
	t.kind.failed(w.name)
	if !t.kind.suspect() {
		actions = s.blame(now, w)
	}
	if !t.failedOnWorker(w.name) {
		t.failedOn = append(t.failedOn, w.name)
	}
	switch {
	case t.cancelled:
		return append(actions, s.finish(now, t, wire.TaskState_TASK_STATE_CANCELLED, ""))
	case !t.spec.GetIdempotent():
		return append(actions, s.finish(now, t, wire.TaskState_TASK_STATE_FAILED, e.GetReason()))
	case len(t.failedOn) >= FailedWorkers:
		return append(actions, s.finish(now, t, wire.TaskState_TASK_STATE_STOPPED, "it failed on several workers: "+e.GetReason()))
	case !s.hasUntried(now, t, w.pool()):
		return append(actions, s.finish(now, t, wire.TaskState_TASK_STATE_STOPPED, "it failed on every worker: "+e.GetReason()))
	}
	return append(actions, s.requeue(now, t, e.GetReason()))
}

// hasUntried reports whether the pool has a live worker on which the task has
// not failed. At most FailedWorkers workers are passed over for one task.
func (s *Scheduler) hasUntried(now time.Time, t *task, pool string) bool {
	for _, w := range s.workers {
		if w.pool() == pool && now.Before(w.leaseUntil) && !t.failedOnWorker(w.name) {
			return true
		}
	}
	return false
}

// blame counts a failure of the worker and quarantines it after several.
func (s *Scheduler) blame(now time.Time, w *worker) []Action {
	if w.quarantined(now) {
		return nil // Tasks that ran before the quarantine say nothing new.
	}
	w.failures++
	if w.failures < quarantineAfter && !w.trial {
		return nil
	}
	if !w.trial && !s.mayQuarantine(now, w.pool()) {
		return nil
	}
	w.quarantine = min(max(2*w.quarantine, quarantineShortest), quarantineLongest)
	w.quarantinedUntil = now.Add(w.quarantine)
	w.trial = true
	return []Action{
		Quarantined{
			Worker: w.name,
			For:    w.quarantine,
		},
	}
}

// mayQuarantine keeps the largest part of each pool at work.
func (s *Scheduler) mayQuarantine(now time.Time, pool string) bool {
	live, away := 0, 0
	for _, w := range s.workers {
		if w.pool() == pool && now.Before(w.leaseUntil) {
			live++
			if w.trial {
				away++
			}
		}
	}
	return (away+1)*quarantineFraction <= max(live, quarantineFraction)
}

// quarantined reports whether the worker gets no task.
func (w *worker) quarantined(now time.Time) bool { return now.Before(w.quarantinedUntil) }

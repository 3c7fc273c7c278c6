package scheduler

import (
	"slices"
	"time"

	"github.com/heathermux/heathermux/internal/estimator"
	"github.com/heathermux/heathermux/internal/wire"
)

// taskKind holds what is known about the tasks of one team and queue.
type taskKind struct {
	key estimator.Key
	// failedOn lists the workers on which tasks of this kind failed since one
	// last succeeded, at most kindFailureWorkers of them.
	failedOn []string
}

// kindFailureWorkers is the number of workers on which tasks of one kind must fail,
// with no success in between, before their failures no longer count against a
// worker.
const kindFailureWorkers = 3

func (k *taskKind) recordFailure(worker string) {
	if len(k.failedOn) < kindFailureWorkers && !slices.Contains(k.failedOn, worker) {
		k.failedOn = append(k.failedOn, worker)
	}
}

// failsEverywhere reports whether the fault is likely to be in the tasks of this
// kind and not in a worker.
func (k *taskKind) failsEverywhere() bool { return len(k.failedOn) >= kindFailureWorkers }

// recordSuccess resets the failures of the worker and of the task's kind, and ends
// the worker's probation.
func (w *worker) recordSuccess(t *task) {
	w.health = health{}
	t.kind.failedOn = nil
}

// handleFailure requeues or ends a failed task, and counts the failure against the
// worker unless tasks of this kind fail everywhere.
func (s *Scheduler) handleFailure(now time.Time, w *worker, t *task, e *wire.EndedTask) []Action {
	var actions []Action
	t.kind.recordFailure(w.name)
	if !t.kind.failsEverywhere() {
		actions = s.countFailure(now, w)
	}
	if !t.failedOnWorker(w.name) {
		t.failedOn = append(t.failedOn, w.name)
	}
	switch {
	case t.cancelled:
		return append(actions, s.finish(now, t, wire.TaskState_TASK_STATE_CANCELLED, ""))
	case !t.spec.GetIdempotent():
		return append(actions, s.finish(now, t, wire.TaskState_TASK_STATE_FAILED, e.GetReason()))
	case len(t.failedOn) >= MaxFailedWorkers:
		return append(actions, s.finish(now, t, wire.TaskState_TASK_STATE_STOPPED, "it failed on several workers: "+e.GetReason()))
	case !s.hasUntriedWorker(now, t, w.pool()):
		return append(actions, s.finish(now, t, wire.TaskState_TASK_STATE_STOPPED, "it failed on every worker: "+e.GetReason()))
	}
	return append(actions, s.requeue(now, t, e.GetReason()))
}

// hasUntriedWorker reports whether the pool has a live worker on which the task has
// not failed. The search is short, because a task that may be tried again has
// failed on fewer than MaxFailedWorkers workers.
func (s *Scheduler) hasUntriedWorker(now time.Time, t *task, pool string) bool {
	for _, w := range s.workers {
		if w.pool() == pool && now.Before(w.leaseUntil) && !t.failedOnWorker(w.name) {
			return true
		}
	}
	return false
}

// countFailure counts a failure against the worker. It quarantines the worker after
// quarantineFailures in a row, or after a single one while on probation.
func (s *Scheduler) countFailure(now time.Time, w *worker) []Action {
	if w.quarantined(now) {
		return nil // Tasks started before the quarantine are no new evidence.
	}
	w.failures++
	if w.failures < quarantineFailures && !w.onProbation {
		return nil
	}
	if !w.onProbation && !s.mayQuarantine(now, w.pool()) {
		return nil
	}
	w.quarantineDuration = min(max(2*w.quarantineDuration, minQuarantine), maxQuarantine)
	w.quarantinedUntil = now.Add(w.quarantineDuration)
	w.onProbation = true
	return []Action{
		Quarantined{
			Worker: w.name,
			For:    w.quarantineDuration,
		},
	}
}

// mayQuarantine reports whether another worker of the pool may be quarantined
// within the limit of maxQuarantinedDivisor.
func (s *Scheduler) mayQuarantine(now time.Time, pool string) bool {
	live, quarantined := 0, 0
	for _, w := range s.workers {
		if w.pool() == pool && now.Before(w.leaseUntil) {
			live++
			if w.onProbation {
				quarantined++
			}
		}
	}
	return (quarantined+1)*maxQuarantinedDivisor <= max(live, maxQuarantinedDivisor)
}

// quarantined reports whether the worker is in quarantine and so gets no tasks.
func (w *worker) quarantined(now time.Time) bool { return now.Before(w.quarantinedUntil) }

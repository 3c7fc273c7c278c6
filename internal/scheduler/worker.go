package scheduler

import (
	"slices"
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/isolator"
	"github.com/heathermux/heathermux/internal/wire"
)

// worker is one host that runs tasks.
type worker struct {
	name string
	// host is the host's entry in the control state; nil when it has none.
	host        *wire.Host
	incarnation string
	// retiredIncarnations lists former processes of the worker, whose late polls
	// are refused.
	retiredIncarnations []string
	// Invariant: the highest poll sequence accepted from incarnation.
	lastSequence uint64
	poolEpoch    uint64
	leaving      bool
	lastPollAt   time.Time
	// leaseUntil is when the worker has stopped all its tasks, unless it polls
	// before.
	leaseUntil time.Time
	capacity   controller.Amount
	// Invariant: the sum of cost() over tasks.
	charged controller.Amount
	tasks   map[string]*task
	// lost holds the tasks that were taken from it with its lease, until it polls again.
	lost []lostTask
	// reservedTask is the isolated task that it is kept free for until reservedUntil, or
	// as long as it runs it; see reservedFor.
	reservedTask  string
	reservedUntil time.Time

	health
}

// health is the failure record of a worker.
type health struct {
	// failures counts failures without a success in between.
	failures           int
	quarantinedUntil   time.Time
	quarantineDuration time.Duration
	// onProbation: after a quarantine the worker gets one task at a time until
	// one succeeds. It is set from the start of the quarantine.
	onProbation bool
}

// maxRetiredIncarnations is the number of former processes remembered for a worker.
// Polls arrive seconds late at most, and no host restarts so often in that time.
const maxRetiredIncarnations = 4

// getOrCreateWorker returns the worker with the name. A new one has not polled yet;
// its lease lasts until unpolledLeaseUntil.
func (s *Scheduler) getOrCreateWorker(name string) *worker {
	w := s.workers[name]
	if w == nil {
		w = &worker{
			name:       name,
			leaseUntil: s.unpolledLeaseUntil,
			tasks:      make(map[string]*task),
		}
		w.host, _ = s.control.state.Host(name)
		s.workers[name] = w
		s.workersByName = nil
	}
	return w
}

func (w *worker) free() controller.Amount { return w.capacity.Minus(w.charged) }

// polledRecently reports whether the last poll is less than silentWorkerTimeout
// old.
func (w *worker) polledRecently(now time.Time) bool {
	return w.incarnation != "" && now.Sub(w.lastPollAt) < silentWorkerTimeout
}

// pool returns the pool that the control state gives the host.
func (w *worker) pool() string { return w.host.GetPool() }

// mayStartOn reports whether tasks may start on the worker: its host is active, it
// has seen its present pool, it is not shutting down, and data centre and pool are
// in service.
func (s *Scheduler) mayStartOn(w *worker) bool {
	return w.host.GetState() == wire.HostState_HOST_STATE_ACTIVE &&
		w.host.GetPoolEpoch() == w.poolEpoch &&
		!w.leaving && s.control.inService() && s.control.poolInService(w.pool())
}

// eligible reports whether tasks may be assigned to the worker now.
func (s *Scheduler) eligible(now time.Time, w *worker) bool {
	return s.mayTakeTasks(now, w) && s.reservedFor(now, w) == nil
}

// mayTakeTasks reports whether tasks may be assigned to the worker now, if none is kept
// free for another one.
func (s *Scheduler) mayTakeTasks(now time.Time, w *worker) bool {
	if !w.polledRecently(now) || !s.mayStartOn(w) || w.quarantined(now) {
		return false
	}
	return !w.onProbation || len(w.tasks) == 0
}

// setIncarnation records that a new process of the worker polls, and settles the
// tasks of the former one as lost.
func (s *Scheduler) setIncarnation(now time.Time, w *worker, incarnation string) []Action {
	if w.incarnation != "" {
		w.retiredIncarnations = append(w.retiredIncarnations, w.incarnation)
		w.retiredIncarnations = w.retiredIncarnations[max(0, len(w.retiredIncarnations)-maxRetiredIncarnations):]
	}
	// A worker that leaves ends by plan.
	crashed := !w.leaving
	w.incarnation = incarnation
	w.lastSequence = 0
	var actions []Action
	if crashed {
		actions = s.countLost(now, w)
	}
	w.lost = nil
	crashes := make(map[*task]isolator.Crash)
	for _, t := range w.tasks {
		crashes[t] = w.crashOf(t)
	}
	for _, t := range w.tasksByAcceptance() {
		if t.incarnation == incarnation {
			continue
		}
		if crashed && t.startedOn() != "" {
			s.countCrash(t, crashes[t])
		}
		actions = append(actions, s.handleLost(now, t, "its worker "+w.name+" restarted"))
		actions = append(actions, s.giveUp(now, t)...)
	}
	return actions
}

// tasksByAcceptance returns the worker's tasks in the order of acceptance, so that
// the actions are deterministic.
func (w *worker) tasksByAcceptance() []*task {
	tasks := make([]*task, 0, len(w.tasks))
	for _, t := range w.tasks {
		tasks = append(tasks, t)
	}
	slices.SortFunc(tasks, func(a, b *task) int { return int(int64(a.number) - int64(b.number)) })
	return tasks
}

// expireLeases settles the tasks of workers whose lease has ended as lost, and
// withdraws those not yet sent to a worker that is silent, quarantined or must not
// start tasks. It deletes a worker whose lease ended more than Retention ago.
func (s *Scheduler) expireLeases(now time.Time) []Action {
	var actions []Action
	for _, w := range s.sortedWorkers() {
		if now.Before(w.leaseUntil) {
			if !w.polledRecently(now) || !s.mayStartOn(w) || w.quarantined(now) {
				actions = append(actions, s.withdrawUnstarted(now, w)...)
			}
			continue
		}
		for _, t := range w.tasksByAcceptance() {
			w.noteLost(now, t)
		}
		for _, t := range w.tasksByAcceptance() {
			actions = append(actions, s.handleLost(now, t, "its worker "+w.name+" was lost"))
		}
		if now.Sub(w.leaseUntil) > Retention {
			delete(s.workers, w.name)
			s.workersByName = nil
		}
	}
	return actions
}

func (s *Scheduler) withdrawUnstarted(now time.Time, w *worker) []Action {
	if len(w.tasks) == 0 {
		return nil
	}
	var actions []Action
	for _, t := range w.tasksByAcceptance() {
		switch {
		case t.startSent:
		case t.uncertain:
			if !s.mayStartOn(w) {
				actions = append(actions, s.handleLost(now, t, "worker "+w.name+" can't be asked for it"))
			}
		default:
			actions = append(actions, s.requeue(now, t, "worker "+w.name+" does not accept tasks"))
		}
	}
	return actions
}

// sortedWorkers returns the workers sorted by name. The list is cached until a
// worker is added or removed; callers must not modify it.
func (s *Scheduler) sortedWorkers() []*worker {
	if s.workersByName != nil {
		return s.workersByName
	}
	workers := make([]*worker, 0, len(s.workers))
	for _, w := range s.workers {
		workers = append(workers, w)
	}
	slices.SortFunc(workers, func(a, b *worker) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	s.workersByName = workers
	return workers
}

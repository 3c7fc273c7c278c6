package scheduler

import (
	"slices"
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/wire"
)

// worker is one host that runs tasks.
type worker struct {
	name string
	// host is the host's entry in the control state; nil when it has none.
	host        *wire.Host
	incarnation string
	// retired lists former incarnations, whose polls come too late.
	retired []string
	// Invariant: the highest poll sequence taken in from incarnation.
	sequence  uint64
	poolEpoch uint64
	leaving   bool
	heardAt   time.Time
	// leaseUntil is when the worker has stopped everything unless it polls.
	leaseUntil time.Time
	capacity   controller.Amount
	// Invariant: the sum of cost over tasks.
	charged controller.Amount
	tasks   map[string]*task

	health
}

// health is the record of a worker's failures.
type health struct {
	// failures in a row, without a success between them.
	failures         int
	quarantinedUntil time.Time
	quarantine       time.Duration
	// trial: the worker gets one task at a time until one succeeds.
	trial bool
}

// retiredKept is the number of former incarnations remembered for a worker. A
// poll is late by seconds at most, and no host restarts that often.
const retiredKept = 4

// workerNamed returns a worker and makes one that has not polled yet.
func (s *Scheduler) workerNamed(name string) *worker {
	w := s.workers[name]
	if w == nil {
		w = &worker{
			name:       name,
			leaseUntil: s.unheardUntil,
			tasks:      make(map[string]*task),
		}
		w.host, _ = s.facts.state.Host(name)
		s.workers[name] = w
		s.roster = nil
	}
	return w
}

func (w *worker) free() controller.Amount { return w.capacity.Minus(w.charged) }

// heard reports whether the worker polled recently enough to get tasks.
func (w *worker) heard(now time.Time) bool {
	return w.incarnation != "" && now.Sub(w.heardAt) < silentAfter
}

// pool returns the pool of the host.
func (w *worker) pool() string { return w.host.GetPool() }

// active reports whether the control state lets tasks start on the host.
func (s *Scheduler) active(w *worker) bool {
	return w.host.GetState() == wire.HostState_HOST_STATE_ACTIVE &&
		w.host.GetPoolEpoch() == w.poolEpoch &&
		!w.leaving && s.facts.inService() && s.facts.poolInService(w.pool())
}

// eligible reports whether the worker may be given tasks now.
func (s *Scheduler) eligible(now time.Time, w *worker) bool {
	if !w.heard(now) || !s.active(w) || w.quarantined(now) {
		return false
	}
	return !w.trial || len(w.tasks) == 0
}

// setIncarnation retires the worker's former process and settles its tasks.
func (s *Scheduler) setIncarnation(now time.Time, w *worker, incarnation string) []Action {
	if w.incarnation != "" {
		w.retired = append(w.retired, w.incarnation)
		w.retired = w.retired[max(0, len(w.retired)-retiredKept):]
	}
	w.incarnation = incarnation
	w.sequence = 0
	var actions []Action
	for _, t := range w.sorted() {
		if t.incarnation != incarnation {
			actions = append(actions, s.lose(now, t, "its worker "+w.name+" restarted"))
		}
	}
	return actions
}

// sorted returns the worker's tasks in the order of acceptance, so that equal
// events give equal actions.
func (w *worker) sorted() []*task {
	tasks := make([]*task, 0, len(w.tasks))
	for _, t := range w.tasks {
		tasks = append(tasks, t)
	}
	slices.SortFunc(tasks, func(a, b *task) int { return int(int64(a.number) - int64(b.number)) })
	return tasks
}

// expire settles the tasks of workers whose lease has ended, and withdraws
// those that a silent or inactive worker was never told of.
func (s *Scheduler) expire(now time.Time) []Action {
	var actions []Action
	for _, w := range s.sortedWorkers() {
		if now.Before(w.leaseUntil) {
			if !w.heard(now) || !s.active(w) || w.quarantined(now) {
				actions = append(actions, s.withdraw(now, w)...)
			}
			continue
		}
		for _, t := range w.sorted() {
			actions = append(actions, s.lose(now, t, "its worker "+w.name+" was lost"))
		}
		if now.Sub(w.leaseUntil) > Retention {
			delete(s.workers, w.name)
			s.roster = nil
		}
	}
	return actions
}

func (s *Scheduler) withdraw(now time.Time, w *worker) []Action {
	if len(w.tasks) == 0 {
		return nil
	}
	var actions []Action
	for _, t := range w.sorted() {
		switch {
		case t.handedOut:
		case t.doubtful:
			if !s.active(w) {
				actions = append(actions, s.lose(now, t, "worker "+w.name+" can't be asked for it"))
			}
		default:
			actions = append(actions, s.requeue(now, t, "worker "+w.name+" takes no tasks"))
		}
	}
	return actions
}

// sortedWorkers returns the workers by name. The list is kept until a worker
// comes or goes; callers must not change it.
func (s *Scheduler) sortedWorkers() []*worker {
	if s.roster != nil {
		return s.roster
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
	s.roster = workers
	return workers
}

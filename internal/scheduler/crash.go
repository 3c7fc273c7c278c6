package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/heathermux/heathermux/internal/isolator"
	"github.com/heathermux/heathermux/internal/wire"
)

// An idempotent task is started again after its worker has crashed. A worker has crashed
// when another incarnation of it polls. The count of crashes travels with the status of
// the task, so a later scheduler goes on with it.

const (
	// reservationTime is how long a worker is kept free for an isolated task that has
	// not been assigned to it.
	reservationTime = 30 * time.Second
	// crashNewsTime is how long after the end of its lease a restart of a worker counts
	// as a crash under the tasks that it had.
	crashNewsTime = 30 * time.Second
)

// lostTask is a task that was taken from a worker whose lease had ended. Whether the
// worker has crashed is not known.
type lostTask struct {
	id     string
	crash  isolator.Crash
	lostAt time.Time
	// startedOn is the incarnation of the worker that had started it.
	startedOn string
}

// crashOf returns the record of a crash of the worker that runs the task.
func (w *worker) crashOf(t *task) isolator.Crash {
	return isolator.Crash{
		Run: uint64(t.attempts),
		Circumstances: isolator.Circumstances{
			Alone: len(w.tasks) == 1,
			Begun: true,
		},
	}
}

// startedOn returns the incarnation of the worker that has certainly been sent the start
// of the task; empty if there is none. A former scheduler may have sent it.
func (t *task) startedOn() string {
	if !t.startSent || t.uncertain {
		return ""
	}
	return t.incarnation
}

// noteLost notes a task that is taken from the worker because its lease has ended.
func (w *worker) noteLost(now time.Time, t *task) {
	if t.startedOn() == "" {
		return
	}
	w.lost = append(w.lost, lostTask{
		id:        t.spec.GetId(),
		crash:     w.crashOf(t),
		lostAt:    now,
		startedOn: t.startedOn(),
	})
}

// countLost counts the crash of a worker for the tasks that were taken from it before
// the crash was known.
func (s *Scheduler) countLost(now time.Time, w *worker) []Action {
	var actions []Action
	for _, l := range w.lost {
		if t, ok := s.tasks[l.id]; ok && l.startedOn != w.incarnation && now.Sub(l.lostAt) <= crashNewsTime {
			s.countCrash(t, l.crash)
			actions = append(actions, s.giveUp(now, t)...)
		}
	}
	w.lost = nil
	return actions
}

// countCrash counts a crash of a worker for a task that it ran. A queued task is queued
// anew, because its entry in the queue is that of its last change.
func (s *Scheduler) countCrash(t *task, crash isolator.Crash) {
	if final(t.state) || !t.spec.GetIdempotent() {
		return
	}
	t.crashes = t.crashes.WithCrash(crash)
	if t.queued {
		t.dequeue()
		s.enqueue(t, true)
	}
}

// giveUp stops a queued task that workers crash under.
func (s *Scheduler) giveUp(now time.Time, t *task) []Action {
	if final(t.state) || t.crashes.Treatment() != isolator.GivenUp {
		return nil
	}
	return []Action{s.finish(now, t, wire.TaskState_TASK_STATE_STOPPED, "workers crash that run it")}
}

// isolated reports whether the task has to run alone on a worker.
func (t *task) isolated() bool { return t.crashes.Treatment() == isolator.Isolated }

// reservedFor reports whether the worker is kept free for an isolated task: one that it
// runs, or one that waits for it.
func (s *Scheduler) reservedFor(now time.Time, w *worker) *task {
	t, ok := s.tasks[w.reservedTask]
	if !ok || !t.isolated() || final(t.state) || t.worker != w && (t.worker != nil || now.After(w.reservedUntil)) {
		w.reservedTask = ""
		return nil
	}
	return t
}

// takeIdle returns the worker for an isolated task: one without tasks. If there is none,
// it reserves the one with the fewest and returns nil.
func (s *Scheduler) takeIdle(p *placement, t *task, pool string) *worker {
	var best *worker
	for _, w := range s.sortedWorkers() {
		reserved := s.reservedFor(p.now, w)
		if w.pool() != pool || reserved != nil && reserved != t || !s.mayTakeTasks(p.now, w) ||
			!s.sizeOf(t, pool).FitsIn(w.capacity) || t.failedOnWorker(w.name) {
			continue
		}
		if best == nil || reserved == t || cmp.Compare(len(w.tasks), len(best.tasks)) < 0 && s.reservedFor(p.now, best) != t {
			best = w
		}
	}
	if best == nil {
		return nil
	}
	if best.reservedTask != t.spec.GetId() {
		p.index(pool).remove(best)
		best.reservedTask, best.reservedUntil = t.spec.GetId(), p.now.Add(reservationTime)
	}
	if len(best.tasks) > 0 {
		return nil
	}
	return best
}

// wireCrashes and crashesOf translate the record of a task for other hosts.
func wireCrashes(r *isolator.Record) []*wire.TaskCrash {
	var list []*wire.TaskCrash
	for _, c := range r.Crashes() {
		list = append(list, &wire.TaskCrash{
			Attempt: int64(c.Run),
			Alone:   c.Alone,
		})
	}
	return list
}

func crashesOf(list []*wire.TaskCrash) *isolator.Record {
	if len(list) == 0 {
		return nil
	}
	crashes := make([]isolator.Crash, 0, len(list))
	for _, c := range list {
		crashes = append(crashes, isolator.Crash{
			Run: uint64(c.GetAttempt()),
			Circumstances: isolator.Circumstances{
				Alone: c.GetAlone(),
				Begun: true,
			},
		})
	}
	return isolator.NewRecord(slices.Clip(crashes), isolator.Placement{})
}

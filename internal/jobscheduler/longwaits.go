package jobscheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// longWait is how long a task with a place waits before the log says what for. Starts
	// and stops that are answered take far less.
	longWait = 2 * time.Second
	// longWaitInterval is the minimum time between two looks at all waiting tasks.
	longWaitInterval = time.Second
	// maxLoggedWaits bounds the lines of one look. When a data centre is lost, thousands of
	// tasks wait for the same cause.
	maxLoggedWaits = 32
)

// longWaits remembers what was logged about the tasks that wait. The zero value is ready for
// use.
type longWaits struct {
	lookedAt time.Time
	// Invariant: holds only tasks that waited at lookedAt.
	tasks map[taskKey]*taskWait
}

// taskWait is one wait of a task. It goes on through several causes, and ends when the task
// is at work or another run of it is ordered.
type taskWait struct {
	// since is when the wait began, as far as the cause tells, or when it was first seen.
	since time.Time
	// run is the number of the last run that was ordered; 0 if none was seen.
	run uint64
	// logged holds the causes that were logged.
	logged map[waitCause]bool
}

// loggableWait is a wait that has a line to come.
type loggableWait struct {
	wait

	key  taskKey
	task *taskWait
}

// compare puts tasks of long-running steps first, then those that have waited the longest.
func (l loggableWait) compare(other loggableWait) int {
	if l.lasting != other.lasting {
		if l.lasting {
			return -1
		}
		return 1
	}
	return cmp.Or(l.task.since.Compare(other.task.since), cmp.Compare(l.key.Job, other.key.Job), cmp.Compare(l.key.Occurrence, other.key.Occurrence),
		cmp.Compare(l.key.Step, other.key.Step), cmp.Compare(l.key.index, other.key.index))
}

// logLongWaits logs, once for each wait and cause, the tasks that have a place and have
// waited for long.
func (s *Scheduler) logLongWaits() {
	if s.now.Sub(s.longWaits.lookedAt) < longWaitInterval {
		return
	}
	s.longWaits.lookedAt = s.now
	list := s.longWaits.update(s.currentWaits(), s.now)
	slices.SortFunc(list, loggableWait.compare)
	for _, l := range list[:min(len(list), maxLoggedWaits)] {
		s.logLongWait(l)
	}
	if left := len(list) - maxLoggedWaits; left > 0 {
		s.logger.Info("scheduler: more tasks have waited longer than 2 s; those that still wait are logged later", "left-out", left)
	}
}

// update takes over what tasks wait for now, and returns the waits to log.
func (l *longWaits) update(waits map[taskKey]wait, now time.Time) []loggableWait {
	maps.DeleteFunc(l.tasks, func(key taskKey, _ *taskWait) bool { return waits[key].cause == waitNone })
	if l.tasks == nil {
		l.tasks = make(map[taskKey]*taskWait)
	}
	var list []loggableWait
	for key, w := range waits {
		task := l.tasks[key]
		if task == nil || w.ordered && w.run > task.run {
			task = &taskWait{
				since: now,
			}
			l.tasks[key] = task
		}
		if w.ordered {
			task.run = w.run
		}
		if !w.since.IsZero() && w.since.Before(task.since) {
			task.since = w.since
		}
		if now.Sub(task.since) >= longWait && !task.logged[w.cause] {
			list = append(list, loggableWait{
				wait: w,
				key:  key,
				task: task,
			})
		}
	}
	return list
}

func (s *Scheduler) logLongWait(l loggableWait) {
	if l.task.logged == nil {
		l.task.logged = make(map[waitCause]bool)
		s.counters.LongWaits++
	}
	l.task.logged[l.cause] = true
	args := []any{"task", taskName(l.key), "cause", l.cause.String(), "waited", s.now.Sub(l.task.since)}
	if l.until.After(s.now) {
		args = append(args, "ends-within", l.until.Sub(s.now))
	}
	if l.run > 0 {
		args = append(args, "run", l.run)
	}
	if l.worker != nil {
		args = append(args, "worker", l.worker.info.GetId(), "born", l.worker.info.GetBorn(), "silent", s.now.Sub(l.worker.heardAt))
	}
	s.logger.Info("scheduler: task has waited longer than 2 s; it starts when the cause ends", args...)
}

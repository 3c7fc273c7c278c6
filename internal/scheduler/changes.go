package scheduler

import (
	"time"

	"github.com/heathermux/heathermux/internal/wire"
)

// changeLog numbers the changes of tasks, so that the acceptance, start or end of
// a task takes effect outside only after a second entry host holds the change.
type changeLog struct {
	// Invariant: the number of the newest change.
	last uint64
	// Invariant: the replica holder has every change up to this number.
	replicated uint64
	dirty      []*task
	// forgotten lists the IDs of purged tasks, which the replica may delete too.
	forgotten []string
}

// Changes are the tasks that changed since the last call of TakeChanges.
type Changes struct {
	Tasks []*wire.TaskStatus
	// Forgotten lists the IDs of tasks that were purged since the last call.
	Forgotten []string
	// Through is the number of the newest change, to be passed to
	// ConfirmReplicated once the changes are stored.
	Through uint64
}

// recordChange gives the task the next change number and marks it dirty.
func (s *Scheduler) recordChange(t *task) {
	s.changes.last++
	t.lastChange = s.changes.last
	if !t.dirty {
		t.dirty = true
		s.changes.dirty = append(s.changes.dirty, t)
	}
}

// replicated reports whether the replica holder has the task's newest change.
func (s *Scheduler) replicated(t *task) bool { return t.lastChange <= s.changes.replicated }

// TakeChanges returns and clears the changes that have not been sent to the
// replica holder. If they can't be delivered, the next replica has to be sent
// whole, from AllTasks.
func (s *Scheduler) TakeChanges(now time.Time) Changes {
	changes := Changes{
		Forgotten: s.changes.forgotten,
		Through:   s.changes.last,
	}
	if len(s.changes.dirty) > 0 {
		changes.Tasks = make([]*wire.TaskStatus, 0, len(s.changes.dirty))
	}
	for _, t := range s.changes.dirty {
		t.dirty = false
		changes.Tasks = append(changes.Tasks, s.status(now, t))
	}
	s.changes.dirty = nil
	s.changes.forgotten = nil
	return changes
}

// AllTasks returns every task, for a new replica holder. It clears the pending
// changes too.
func (s *Scheduler) AllTasks(now time.Time) Changes {
	changes := s.TakeChanges(now)
	changes.Forgotten = nil
	changes.Tasks = make([]*wire.TaskStatus, 0, len(s.tasks))
	for _, t := range s.tasks {
		changes.Tasks = append(changes.Tasks, s.status(now, t))
	}
	return changes
}

// Pending reports whether there are changes that ConfirmReplicated has not
// confirmed, or purged tasks that have not been sent.
func (s *Scheduler) Pending() bool {
	return s.changes.replicated < s.changes.last || len(s.changes.forgotten) > 0
}

// Replicated reports whether the replica holder has the newest change of a task.
func (s *Scheduler) Replicated(id string) bool {
	t, ok := s.tasks[id]
	return ok && s.replicated(t)
}

// ConfirmReplicated records that the replica holder has all changes up to
// the number.
func (s *Scheduler) ConfirmReplicated(through uint64) {
	s.changes.replicated = max(s.changes.replicated, through)
}

// ReplicaLost records that the replica is lost, so that no change counts as
// replicated until ConfirmReplicated is called with a later one.
func (s *Scheduler) ReplicaLost() { s.changes.replicated = 0 }

package scheduler

import (
	"time"

	"github.com/heathermux/heathermux/internal/wire"
)

// changeLog numbers the changes of tasks, so that a start, an acceptance or
// the end of a task is acted on only after a second entry host holds it.
type changeLog struct {
	// Invariant: the number of the newest change.
	last uint64
	// Invariant: every change up to this one is held by the copy holder.
	copied uint64
	dirty  []*task
	// forgotten lists ended tasks whose copy may be dropped.
	forgotten []string
}

// Changes are the tasks that changed since the last call of TakeChanges.
type Changes struct {
	Tasks []*wire.TaskStatus
	// Forgotten lists the IDs of tasks that are no longer kept.
	Forgotten []string
	// Through is the number of the newest change; see Copied.
	Through uint64
}

// touch numbers a change of the task.
func (s *Scheduler) touch(t *task) {
	s.changes.last++
	t.change = s.changes.last
	if !t.dirty {
		t.dirty = true
		s.changes.dirty = append(s.changes.dirty, t)
	}
}

// secured reports whether the task's newest change is held elsewhere.
func (s *Scheduler) secured(t *task) bool { return t.change <= s.changes.copied }

// TakeChanges returns what the copy holder does not hold yet. When it can't
// be delivered the next copy has to be one of AllTasks.
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

// AllTasks returns the whole content for a new copy holder.
func (s *Scheduler) AllTasks(now time.Time) Changes {
	changes := s.TakeChanges(now)
	changes.Forgotten = nil
	changes.Tasks = make([]*wire.TaskStatus, 0, len(s.tasks))
	for _, t := range s.tasks {
		changes.Tasks = append(changes.Tasks, s.status(now, t))
	}
	return changes
}

// Pending reports whether there are changes that Copied has not confirmed.
func (s *Scheduler) Pending() bool {
	return s.changes.copied < s.changes.last || len(s.changes.forgotten) > 0
}

// Secured reports whether the newest change of a task is held elsewhere.
func (s *Scheduler) Secured(id string) bool {
	t, ok := s.tasks[id]
	return ok && s.secured(t)
}

// Copied states that the copy holder has all changes through the number.
func (s *Scheduler) Copied(through uint64) { s.changes.copied = max(s.changes.copied, through) }

// Uncopied states that no host holds the copy any more, so that only changes
// in a later copy count as held.
func (s *Scheduler) Uncopied() { s.changes.copied = 0 }

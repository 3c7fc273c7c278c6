package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/heathermux/heathermux/internal/wire"
)

// move marks queued tasks for transfer. The mark is replicated before the task is
// offered, so that a later scheduler offers it to the same data centre.
func (s *Scheduler) move(e Move) {
	if s.control.inService() || !s.rebuilt {
		return
	}
	for _, team := range slices.Sorted(maps.Keys(s.accounts)) {
		for _, q := range s.accounts[team].classes {
			for t := q.peek(); t != nil && len(s.moving) < e.Max && e.Fits(t.spec); t = q.peek() {
				q.popFront()
				t.dequeue()
				t.movingTo = e.To
				s.moving[t.spec.GetId()] = t
				s.recordChange(t)
			}
		}
	}
}

// Moving returns the tasks to offer to other data centres, by ID. The status names
// the data centre.
func (s *Scheduler) Moving(now time.Time) map[string]*wire.TaskStatus {
	offers := make(map[string]*wire.TaskStatus)
	for id, t := range s.moving {
		if s.replicated(t) {
			offers[id] = s.status(now, t)
		}
	}
	return offers
}

// moved keeps the task for Retention, so that its status still tells which data
// centre has it.
func (s *Scheduler) moved(now time.Time, id string) {
	t := s.moving[id]
	if t == nil {
		return
	}
	delete(s.moving, id)
	t.spec = withoutPayload(t.spec)
	t.endedAt = now
	s.ended = append(s.ended, t)
}

func (s *Scheduler) moveRefused(id string) {
	t := s.moving[id]
	if t == nil || t.uncertain {
		return
	}
	delete(s.moving, id)
	t.movingTo = ""
	s.enqueue(t, true)
}

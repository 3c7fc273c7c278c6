package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/heathermux/heathermux/internal/wire"
)

// move marks queued tasks for a hand-over. The mark is copied before the task
// is offered, so that a later scheduler goes on with the same data centre.
func (s *Scheduler) move(e Move) {
	if s.facts.inService() || !s.complete {
		return
	}
	for _, team := range slices.Sorted(maps.Keys(s.accounts)) {
		for _, q := range s.accounts[team].classes {
			for t := q.peek(); t != nil && len(s.moving) < e.Max && e.Fits(t.spec); t = q.peek() {
				q.drop()
				t.unqueue()
				t.movingTo = e.To
				s.moving[t.spec.GetId()] = t
				s.touch(t)
			}
		}
	}
}

// Moving returns the tasks to offer to other data centres, and to which one.
func (s *Scheduler) Moving(now time.Time) map[string]*wire.TaskStatus {
	offers := make(map[string]*wire.TaskStatus)
	for id, t := range s.moving {
		if s.secured(t) {
			offers[id] = s.status(now, t)
		}
	}
	return offers
}

// moved keeps the task for Retention, so that it can be found where it went.
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
	if t == nil || t.doubtful {
		return
	}
	delete(s.moving, id)
	t.movingTo = ""
	s.enqueue(t, true)
}

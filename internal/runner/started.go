package runner

import "time"

// restartBarPeriod is how long a task must not be started again after its end was
// acknowledged. It is long enough, because a scheduler keeps an ended task for ten
// minutes, and the orders of any scheduler are carried out within seconds or not
// at all.
const restartBarPeriod = time.Hour

// startedTasks is the set of tasks that were started and must not be started
// again. The zero value is empty.
type startedTasks struct {
	ids map[string]struct{}
	// barred has the IDs that expire removes. Invariant: in the order of at.
	barred []barredID
}

type barredID struct {
	id string
	at time.Time
}

func (s *startedTasks) has(id string) bool {
	_, ok := s.ids[id]
	return ok
}

func (s *startedTasks) add(now time.Time, id string) {
	if s.ids == nil {
		s.ids = make(map[string]struct{})
	}
	s.ids[id] = struct{}{}
	s.expire(now)
}

// barRestart schedules the removal of the ID after restartBarPeriod.
func (s *startedTasks) barRestart(now time.Time, id string) {
	s.barred = append(s.barred, barredID{
		id: id,
		at: now,
	})
}

// allowRestart removes the ID, so that the task may be started again.
func (s *startedTasks) allowRestart(id string) { delete(s.ids, id) }

func (s *startedTasks) expire(now time.Time) {
	n := 0
	for n < len(s.barred) && now.Sub(s.barred[n].at) >= restartBarPeriod {
		delete(s.ids, s.barred[n].id)
		n++
	}
	s.barred = s.barred[n:]
}

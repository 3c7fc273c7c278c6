package runner

import "time"

// seenFor is how long the ID of an ended task is barred. A scheduler keeps an
// ended task for ten minutes, and the orders of any scheduler are carried out
// within seconds or not at all.
const seenFor = time.Hour

// seenTasks remembers the tasks that were started. The zero value has seen none.
type seenTasks struct {
	ids map[string]struct{}
	// Invariant: in the order of at.
	barred []barredTask
}

type barredTask struct {
	id string
	at time.Time
}

func (s *seenTasks) has(id string) bool {
	_, ok := s.ids[id]
	return ok
}

func (s *seenTasks) add(now time.Time, id string) {
	if s.ids == nil {
		s.ids = make(map[string]struct{})
	}
	s.ids[id] = struct{}{}
	s.expire(now)
}

// bar keeps the ID for seenFor more.
func (s *seenTasks) bar(now time.Time, id string) {
	s.barred = append(s.barred, barredTask{
		id: id,
		at: now,
	})
}

// release lets the task be started again.
func (s *seenTasks) release(id string) { delete(s.ids, id) }

func (s *seenTasks) expire(now time.Time) {
	n := 0
	for n < len(s.barred) && now.Sub(s.barred[n].at) >= seenFor {
		delete(s.ids, s.barred[n].id)
		n++
	}
	s.barred = s.barred[n:]
}

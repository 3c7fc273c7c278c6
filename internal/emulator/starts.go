package emulator

import (
	"sync"
	"time"
)

// Start is one start of a task on a worker.
type Start struct {
	Task, Worker, DataCentre, Team string
	At                             time.Time
}

// Starts records the starts of tasks on all workers. It is safe for concurrent
// use; the zero value is ready to use.
type Starts struct {
	mu   sync.Mutex
	list []Start
}

// Add records a start.
func (s *Starts) Add(start Start) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, start)
}

// All returns a copy of the recorded starts, in the order in which they were added.
func (s *Starts) All() []Start {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Start(nil), s.list...)
}

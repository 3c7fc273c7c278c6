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

// Starts lists the starts of tasks on all workers. It may be used from any
// number of goroutines; the zero value is empty.
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

// All returns a copy of the list in the order of the starts.
func (s *Starts) All() []Start {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Start(nil), s.list...)
}

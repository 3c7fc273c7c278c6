package admitter

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// stopper counts the work that a planned stop waits for.
type stopper struct {
	mu sync.Mutex
	// Invariant: number of Enter calls that returned true without a Leave yet.
	inside   int64
	stopping bool
	// Invariant: closed once stopping and nothing is inside.
	empty chan struct{}
}

func newStopper() stopper {
	return stopper{
		empty: make(chan struct{}),
	}
}

// Enter counts one piece of work, from its arrival to the end of its answer.
// It reports false when the entry host is stopping: the work is refused then.
func (a *Admitter) Enter() bool {
	s := &a.stop
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.inside++
	return true
}

// Leave ends a piece of work that Enter has counted.
func (a *Admitter) Leave() {
	s := &a.stop
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inside--
	if s.stopping && s.inside == 0 {
		close(s.empty)
	}
}

// Drain makes Enter refuse new work and waits until all work inside has ended.
// It returns an error when the context ends first.
func (a *Admitter) Drain(ctx context.Context) error {
	s := &a.stop
	s.mu.Lock()
	if !s.stopping && s.inside == 0 {
		close(s.empty)
	}
	s.stopping = true
	s.mu.Unlock()
	select {
	case <-s.empty:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "admitter: work is left at the end of the drain")
	}
}

package admitter

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// drainState counts the requests that a graceful shutdown waits for.
type drainState struct {
	mu sync.Mutex
	// inProgress is the number of requests to wait for. Invariant: equals the
	// number of Enter calls that returned true minus that of Leave calls.
	inProgress int64
	stopping   bool
	// Invariant: closed once stopping is set and inProgress is 0.
	idle chan struct{}
}

func newDrainState() drainState {
	return drainState{
		idle: make(chan struct{}),
	}
}

// Enter registers a request, from its arrival to the end of its response. It
// reports false when the entry host is shutting down; the caller must then refuse
// the request.
func (a *Admitter) Enter() bool {
	s := &a.drain
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.inProgress++
	return true
}

// Leave ends a request that Enter has registered.
func (a *Admitter) Leave() {
	s := &a.drain
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inProgress--
	if s.stopping && s.inProgress == 0 {
		close(s.idle)
	}
}

// Drain makes Enter refuse new requests and waits until all registered ones have
// ended. It returns an error when ctx ends first.
func (a *Admitter) Drain(ctx context.Context) error {
	s := &a.drain
	s.mu.Lock()
	if !s.stopping && s.inProgress == 0 {
		close(s.idle)
	}
	s.stopping = true
	s.mu.Unlock()
	select {
	case <-s.idle:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "admitter: requests are still in progress at the end of the drain")
	}
}

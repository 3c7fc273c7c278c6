package timer

import (
	"sync"
	"time"
)

// Fake is a clock for tests that moves only when Advance is called. It is safe
// for concurrent use; make one with NewFake.
type Fake struct {
	mu  sync.Mutex
	now time.Time
	// Invariant: contains the timers that have neither fired nor been stopped.
	pending map[*fakeTimer]struct{}
}

// NewFake returns a fake clock that shows the given time.
func NewFake(now time.Time) *Fake {
	return &Fake{
		now:     now,
		pending: make(map[*fakeTimer]struct{}),
	}
}

// Now returns the time that the clock shows.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// NewTimer returns a timer that fires once the clock has advanced by d; if d is not
// positive, it fires immediately.
func (f *Fake) NewTimer(d time.Duration) Timer {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := &fakeTimer{
		clock: f,
		due:   f.now.Add(d),
		c:     make(chan time.Time, 1),
	}
	f.pending[t] = struct{}{}
	f.fireDue()
	return t
}

// Advance moves the clock forward by d and fires the timers that are due.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
	f.fireDue()
}

// fireDue fires the timers that are due. The caller must hold f.mu.
func (f *Fake) fireDue() {
	for t := range f.pending {
		if !t.due.After(f.now) {
			delete(f.pending, t)
			t.c <- f.now
		}
	}
}

type fakeTimer struct {
	clock *Fake
	due   time.Time
	c     chan time.Time
}

func (t *fakeTimer) C() <-chan time.Time { return t.c }

func (t *fakeTimer) Stop() bool {
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	_, ok := t.clock.pending[t]
	delete(t.clock.pending, t)
	return ok
}

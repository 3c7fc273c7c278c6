package timer

import (
	"sync"
	"time"
)

// Fake is a clock that stands still until Advance is called. It may be used
// from any number of goroutines; make one with NewFake.
type Fake struct {
	mu  sync.Mutex
	now time.Time
	// Invariant: holds the timers that have neither fired nor been stopped.
	pending map[*fakeTimer]struct{}
}

// NewFake returns a clock that shows the given time.
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

// NewTimer returns a timer that fires when the clock has advanced by d.
func (f *Fake) NewTimer(d time.Duration) Timer {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := &fakeTimer{
		clock: f,
		at:    f.now.Add(d),
		c:     make(chan time.Time, 1),
	}
	f.pending[t] = struct{}{}
	f.fire()
	return t
}

// Advance moves the clock forward by d and fires the timers that are due.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
	f.fire()
}

// fire fires due timers; f.mu is held.
func (f *Fake) fire() {
	for t := range f.pending {
		if !t.at.After(f.now) {
			delete(f.pending, t)
			t.c <- f.now
		}
	}
}

type fakeTimer struct {
	clock *Fake
	at    time.Time
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

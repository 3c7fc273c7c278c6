// Package timer defines the clock that all time-dependent code takes as an
// argument, so that tests can control time. Only differences between readings of
// the same clock are meaningful; readings of System include Go's monotonic time.
package timer

import "time"

// Clock tells the time and creates timers. Implementations are safe for concurrent
// use.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// NewTimer returns a timer that fires once after d.
	NewTimer(d time.Duration) Timer
}

// Timer is a timer that fires once.
type Timer interface {
	// C returns the channel that receives the current time when the timer fires.
	C() <-chan time.Time
	// Stop prevents the timer from firing. It returns false if the timer has
	// already fired or been stopped.
	Stop() bool
}

// System returns the clock of the time package.
func System() Clock { return systemClock{} }

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

func (systemClock) NewTimer(d time.Duration) Timer {
	return systemTimer{
		timer: time.NewTimer(d),
	}
}

type systemTimer struct {
	timer *time.Timer
}

func (t systemTimer) C() <-chan time.Time { return t.timer.C }

func (t systemTimer) Stop() bool { return t.timer.Stop() }

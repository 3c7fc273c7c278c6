// Package timer defines the clock that all time-dependent parts take, so that
// tests advance time by hand. Only differences between readings of one clock
// are meaningful; readings of System carry Go's monotonic time.
package timer

import "time"

// Clock tells the time and waits. Implementations may be used from any number
// of goroutines.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// NewTimer returns a timer that fires once after d.
	NewTimer(d time.Duration) Timer
}

// Timer fires once.
type Timer interface {
	// C returns the channel that receives the time of firing.
	C() <-chan time.Time
	// Stop prevents firing; it reports false when the timer has fired or was stopped.
	Stop() bool
}

// System returns the clock of the machine.
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

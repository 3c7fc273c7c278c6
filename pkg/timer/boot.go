package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock returns a clock that shows the time since the machine was booted, including
// the time during which the machine or the process was suspended. It is not
// affected by changes of the wall clock, and its readings are not times of day.
// Leases need it: with a monotonic clock that stops during a suspension, an
// expired lease would look valid afterwards. Its timers are those of System.
func BootClock() Clock { return bootClock{} }

type bootClock struct{}

func (bootClock) Now() time.Time {
	var ts unix.Timespec
	// CLOCK_BOOTTIME exists on every supported kernel.
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("timer: read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Unix(ts.Sec, ts.Nsec)
}

func (bootClock) NewTimer(d time.Duration) Timer { return System().NewTimer(d) }

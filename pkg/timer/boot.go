package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns a clock that counts the time in which the machine or the
// process is suspended. It is unaffected by changes of the time of day; its
// readings are no times of day. Leases need it: a steady clock that stands
// still during a suspension makes an old confirmation look new.
func Boot() Clock { return bootClock{} }

type bootClock struct{}

func (bootClock) Now() time.Time {
	var ts unix.Timespec
	// CLOCK_BOOTTIME exists on every supported kernel.
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("timer: no boot time clock: " + err.Error())
	}
	return time.Unix(ts.Sec, ts.Nsec)
}

func (bootClock) NewTimer(d time.Duration) Timer { return System().NewTimer(d) }

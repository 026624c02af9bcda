package cassiaboottime

import (
	"time"

	"golang.org/x/sys/unix"

	"cassiasaddle/core/cassiaclock"
)

// Clock is the cassiaclock.BootClock of the operating system.
type Clock struct{}

// Now returns the time since the machine booted.
func (Clock) Now() cassiaclock.BootTime {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has had the clock since 2.6.39; without it the steady clock is the best that there is.
		return cassiaclock.BootTime(time.Since(processStart))
	}
	return cassiaclock.BootTime(t.Nano())
}

var processStart = time.Now()

package cassiaclock

import "time"

// BootTime is the time since this machine booted, including the time for which it was suspended. Other clocks either stop while a machine
// is suspended or are set forward and back.
type BootTime time.Duration

// Add returns the time a duration later.
func (t BootTime) Add(d time.Duration) BootTime { return t + BootTime(d) }

// Sub returns the duration since another time.
func (t BootTime) Sub(other BootTime) time.Duration { return time.Duration(t - other) }

// BootClock returns the current boot time.
type BootClock interface{ Now() BootTime }

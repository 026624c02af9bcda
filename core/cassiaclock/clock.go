package cassiaclock

import "time"

// Clock returns the current time.
type Clock interface{ Now() time.Time }

// System is the Clock that reads the operating system's time.
type System struct{}

// Now returns the current time.
func (System) Now() time.Time { return time.Now() }

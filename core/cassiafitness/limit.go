package cassiafitness

import "time"

const (
	// stallFactor is the multiple of the usual duration after which the target of a running attempt counts as stalled.
	stallFactor = 2.5
	// minStallLimit is the lower bound of StallLimit; a shorter stall can't be distinguished from a scheduling delay.
	minStallLimit = 12 * time.Millisecond
)

// StallLimit returns how long an attempt with the given usual duration may run before its target counts as stalled.
func StallLimit(typical time.Duration) time.Duration {
	return max(minStallLimit, time.Duration(stallFactor*float64(typical)))
}

package cassiafitness

import "time"

const (
	// limitFactor is how many times the usual duration an attempt may take before its target counts as stalled.
	stallFactor = 2.5
	// minLimit is the least age of an attempt that counts as a stall; less is lost in scheduling delays.
	minStallLimit = 12 * time.Millisecond
)

// StallLimit returns how long an attempt that usually takes so long may run before its target counts as stalled.
func StallLimit(usual time.Duration) time.Duration {
	return max(minStallLimit, time.Duration(stallFactor*float64(usual)))
}

package cassiabackoff

import "time"

// Pause returns how long to wait after some failures in a row: first, doubled with each failure, up to most.
func Pause(initial, maximum time.Duration, failures int) time.Duration {
	backoff := initial
	for ; failures > 0 && backoff < maximum; failures-- {
		backoff *= 2
	}
	return min(backoff, maximum)
}

package cassiabackoff

import "time"

// Delay returns the backoff before the next try after a number of consecutive failures: initial, doubled for each
// failure, and at most maximum.
func Delay(initial, maximum time.Duration, failures int) time.Duration {
	backoff := initial
	for ; failures > 0 && backoff < maximum; failures-- {
		backoff *= 2
	}
	return min(backoff, maximum)
}

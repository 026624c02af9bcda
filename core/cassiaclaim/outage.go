package cassiaclaim

import (
	"time"

	"cassiasaddle/core/cassiabackoff"
)

// Pauses between calls to a key-value service that fails.
const (
	firstBackoff = 10 * time.Millisecond
	maxBackoff   = 5 * time.Second
	// failuresToOutage is how many calls in a row fail before new claims are refused at once.
	failuresToOutage = 3
)

// outage tells whether the key-value service answers, and when to try it again.
type outage struct {
	failures int
	retryAt  time.Time
}

// recordFailure notes a failed call; jitter from 0 to 1 spreads the VMs' next calls.
func (o *outage) recordFailure(now time.Time, jitter float64) {
	pause := cassiabackoff.Pause(firstBackoff, maxBackoff, 2*o.failures)
	o.failures++
	o.retryAt = now.Add(time.Duration((0.5 + jitter/2) * float64(pause)))
}

func (o *outage) recordSuccess() { *o = outage{} }

func (o *outage) active() bool { return o.failures >= failuresToOutage }

// untilRetry returns the time until the next call.
func (o *outage) untilRetry(now time.Time) time.Duration { return max(o.retryAt.Sub(now), 0) }

package cassiaclaim

import (
	"time"

	"cassiasaddle/core/cassiabackoff"
)

// Bounds on the backoff between calls to a key-value service that fails.
const (
	firstBackoff = 10 * time.Millisecond
	maxBackoff   = 5 * time.Second
	// failuresToOutage is how many calls in a row have to fail for new claims to be refused at once.
	failuresToOutage = 3
)

// outage counts the failed calls to the key-value service and holds the time of the next one.
type outage struct {
	failures int
	retryAt  time.Time
}

// recordFailure counts a failed call and sets the time of the next one; jitter from 0 to 1 spreads the calls of the
// VMs.
func (o *outage) recordFailure(now time.Time, jitter float64) {
	delay := cassiabackoff.Delay(firstBackoff, maxBackoff, 2*o.failures)
	o.failures++
	o.retryAt = now.Add(time.Duration((0.5 + jitter/2) * float64(delay)))
}

func (o *outage) recordSuccess() { *o = outage{} }

func (o *outage) active() bool { return o.failures >= failuresToOutage }

// untilRetry returns the time until the next call.
func (o *outage) untilRetry(now time.Time) time.Duration { return max(o.retryAt.Sub(now), 0) }

package cassiagateway

import (
	"time"

	"cassiasaddle/core/cassiaid"
)

const (
	// minCheckTimeout is the least time that the answer to a health check may take; checks wait for a slot of the target like requests.
	minCheckTimeout = 500 * time.Millisecond
	// checkLatencyFactor is how many times as long as the last ones a check may take.
	checkLatencyFactor = 2
	// patientCheckTimeout is the time for the one check that tells targets which answer checks slowly from targets out of reach.
	patientCheckTimeout = 8 * time.Second
)

// checks decides how long health checks may take. Once some were not answered, one at a time may take much longer, so that the time that
// checks take is measured however long it is. The zero value is ready for use.
type checks struct {
	// latency follows the time that answered checks took.
	latency time.Duration
	// unanswered is true if no check has been answered since one was not.
	unanswered bool
	// patient is the target of the check that may take patientCheckTimeout; empty if none runs.
	patient cassiaid.TargetName
}

// begin returns how long a check of a target may take.
func (c *checks) begin(target cassiaid.TargetName) time.Duration {
	if c.unanswered && c.patient == "" {
		c.patient = target
		return patientCheckTimeout
	}
	return c.timeout()
}

// timeout returns how long a check may take that must not take patientCheckTimeout.
func (c *checks) timeout() time.Duration { return max(minCheckTimeout, checkLatencyFactor*c.latency) }

// end records that the probe of a target has ended.
func (c *checks) end(target cassiaid.TargetName) {
	if c.patient == target {
		c.patient = ""
	}
}

// observe records the result of a check and the time that it took.
func (c *checks) observe(elapsed time.Duration, answered bool) {
	c.unanswered = !answered
	if answered {
		c.latency = max(elapsed, c.latency/2)
	}
}

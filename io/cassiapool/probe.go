package cassiapool

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cassiasaddle/core/cassiagateway"
	"cassiasaddle/io/cassialiveness"
)

// Probe is a check whether a target can be reached.
type Probe struct {
	Address string
	// Instance identifies the target's process, for which the connection is kept.
	Instance string
	// HealthPath is the path of a health check; without one, an accepted connection is enough.
	HealthPath string
	// HealthTimeout is how long the answer to the health check may take.
	HealthTimeout time.Duration
	// Once is true if the connection must not be kept for requests.
	Once bool
}

// ProbeResult is the result of a probe.
type ProbeResult struct {
	// Reached is true if the connection was accepted and the health check answered, Reset if the connection ended instead.
	Reached, Reset bool
	// Broken is true if the reply to the health check is unusable. The target is reached, but not healthy.
	Broken bool
	// Cold is how long the target stays cold according to its answer; 0 if it does not tell. ColdMalformed is true if what it tells is
	// no time.
	Cold          time.Duration
	ColdMalformed bool
}

// maxCold is longer than any target stays cold.
const maxCold = 24 * time.Hour

// setCold sets what the values of the header tell about the time for which a target stays cold: the longest of them.
func (r *ProbeResult) setCold(values []string) {
	for _, value := range values {
		millis, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		// A comparison with NaN is false.
		if err != nil || !(millis >= 0 && millis <= float64(maxCold.Milliseconds())) {
			r.ColdMalformed = true
			continue
		}
		r.Cold = max(r.Cold, time.Duration(millis*float64(time.Millisecond)))
	}
}

// Probe opens a connection to a target and reports whether that succeeded within connectTimeout, and the target answered the health check,
// if one is asked for, within its time. Any answer will do, also one by which the target refuses the check or says that it is not well.
// A connection that can be used is kept for the next request, unless the probe says otherwise.
func (p *Pool) Probe(probe Probe) ProbeResult {
	raw, err := net.DialTimeout("tcp", probe.Address, connectTimeout)
	if err != nil {
		return ProbeResult{}
	}
	p.reportOpened()
	time.Sleep(resetDelay)
	if !cassialiveness.IsQuiet(raw) {
		raw.Close() //nolint:errcheck // it has ended
		return ProbeResult{Reached: true, Reset: true}
	}
	c := newConnection(raw, probe.Instance, p.now().Add(maxIdleTime))
	if probe.HealthPath == "" {
		p.putIdle(probe.Address, c)
		return ProbeResult{Reached: true}
	}
	var result ProbeResult
	outcome, reusable := p.checkHealth(probe, c, &result)
	if reusable && !probe.Once {
		p.putIdle(probe.Address, c)
	} else {
		c.Close() //nolint:errcheck // it is not used any more
	}
	result.Reached, result.Reset, result.Broken = outcome != cassiagateway.OutcomeSilent, outcome == cassiagateway.OutcomeLost,
		outcome == cassiagateway.OutcomeBroken
	return result
}

// checkHealth asks for the health of a target and reports whether the connection can be used again. The outcome is OutcomeAnswered for any answer.
// It sets what the answer states in result.
func (p *Pool) checkHealth(probe Probe, c *connection, result *ProbeResult) (outcome cassiagateway.Outcome, reusable bool) {
	c.SetDeadline(p.now().Add(probe.HealthTimeout)) //nolint:errcheck // a closed connection fails at the write
	if _, err := io.WriteString(c, "GET "+probe.HealthPath+" HTTP/1.1\r\nHost: "+probe.Address+"\r\n\r\n"); err != nil {
		return cassiagateway.OutcomeLost, false
	}
	response, err := p.readHead(Call{Method: http.MethodGet, Instance: probe.Instance}, c)
	if err != nil {
		return classifyReadError(err), false
	}
	if p.Headers.ColdMillis != "" {
		result.setCold(response.Header.Values(p.Headers.ColdMillis))
	}
	c.bounded.left = maxBodyWireBytes
	if _, err := p.bodies.Receive(response.Body, response.ContentLength); err != nil {
		// The head was an answer.
		return cassiagateway.OutcomeAnswered, false
	}
	return cassiagateway.OutcomeAnswered, c.updateExpiry(response, p.now())
}

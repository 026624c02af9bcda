package cassiagateway

import (
	"time"

	"cassiasaddle/core/cassiabackoff"
	"cassiasaddle/core/cassiabudget"
	"cassiasaddle/core/cassiadirectory"
	"cassiasaddle/core/cassiafitness"
)

const (
	// latencyWeight is the weight of the newest sample in a target's relative latency.
	latencyWeight = 0.25
	// failureWeight is the weight of the newest attempt in a target's failure rate.
	failureWeight = 0.3
	// zoneLatencyWeight is the weight of the newest sample in the relative latency of a zone.
	zoneLatencyWeight = 0.03
	// Without new samples, a target's failure rate and the deviation of its relative latency from that of its zone halve in each
	// decay interval: decayRequests times the mean time between requests, within these limits.
	minDecayInterval = 2 * time.Second
	maxDecayInterval = 15 * time.Second
	decayRequests    = 10
	// intervalWeight is the weight of the newest sample in the mean time between requests.
	intervalWeight = 0.1
	// coldLatencyFactor is the least relative latency that is expected of a target that has just started.
	coldLatencyFactor = 1.6
	// failureFactor raises the expected latency of a failing target: at a failure rate of 1 it is multiplied by
	// 1+failureFactor.
	failureFactor = 6.0
	// unregisteredFactor multiplies the expected latency of a target whose registration has disappeared.
	unregisteredFactor = 3.0
	// unfitBackoff is how long a target counts as stalled after an aggregator declined it as unfit.
	unfitBackoff = 100 * time.Millisecond
	// minEjection is the time from the ejection of a target to its first probe; it doubles with each failure up to
	// maxEjection.
	minEjection = 250 * time.Millisecond
	maxEjection = 2 * time.Second
	// unansweredToEject is how many consecutive attempts a target must leave unanswered before it is ejected; a single
	// one may be a lost answer.
	unansweredToEject = 2
)

// target is a target of the directory, with this VM's measurements of it.
type target struct {
	cassiadirectory.Target
	service *service
	// slice is the rendezvous key of the slice of its zone that the target belongs to.
	slice   string
	running []*attempt
	// relativeLatency is the moving average of the target's latency divided by the typical latency of the route.
	relativeLatency float64
	zone            *zoneLatency
	failureRate     float64
	decayedAt       time.Time
	// ejections is the number of ejections, by attempts, probes or a silent zone, since the target was last reached;
	// the target is ejected while it is above 0.
	ejections  int
	unanswered int
	// ejectedUntil is the earliest time of the next probe of an ejected target.
	ejectedUntil time.Time
	unfitUntil   time.Time
	probing      bool
	// checked is true if the last probe was a health check.
	checked bool
	// silent is true from a failure of the link to its zone until a target of the zone has answered. That connections are accepted tells
	// nothing then.
	silent bool
	// probedAt is when the last probe began.
	probedAt time.Time
	// wantsProbe is true if a connection should be opened before a request needs it; warmed is true once that was
	// requested.
	wantsProbe, warmed bool
	// watched is true while the gateway's list of watched targets holds this one.
	watched bool
	// heard is true once the target has answered this VM.
	heard bool
	// limit is this VM's part of the rate of requests that the target accepts; rank is this VM's rank in the fleet of that number.
	limit cassiabudget.RateLimit
	rank  rank
	// reportedAcceptance is the statement of the target about the rate of requests that it accepts that was reported last.
	reportedAcceptance cassiabudget.Acceptance
	// leaving is true once the target has stated that it leaves; until pausedUntil it wants no requests.
	leaving     bool
	pausedUntil time.Time
	// onTrial is true from a pause until the target has run an attempt that was sent after it.
	onTrial bool
	// malformedPause is true once a malformed pause of the target was reported.
	malformedPause bool
	// cold holds what bounds the requests to the target while it is cold.
	cold coldState
	// replaced is true if a different process was found at the target's address.
	replaced bool
}

func newTarget(t cassiadirectory.Target, s *service, slice string, zone *zoneLatency) *target {
	return &target{Target: t, service: s, slice: slice, zone: zone, relativeLatency: zone.relative()}
}

// zoneLatency is the moving average of the relative latency of all targets of a zone, as seen from this VM. It tells the distance of the
// zone, and stands in for targets without samples.
type zoneLatency struct {
	// deviation is the average less 1, the value before any sample.
	deviation float64
}

func (z *zoneLatency) relative() float64 { return 1 + z.deviation }

// observe adds a sample. A target that is slow for reasons of its own counts as maxZoneSample.
func (z *zoneLatency) observe(relative float64) {
	z.deviation += zoneLatencyWeight * (min(relative, maxZoneSample) - z.relative())
}

// maxZoneSample bounds a sample of a zone's relative latency.
const maxZoneSample = 3.0

// decay moves the measurements towards normal as time passes without samples, so that a target that was avoided is tried
// again.
func (t *target) decay(now time.Time, decayInterval time.Duration) {
	for now.Sub(t.decayedAt) >= decayInterval {
		t.relativeLatency = t.zone.relative() + (t.relativeLatency-t.zone.relative())/2
		t.failureRate /= 2
		if t.decayedAt = t.decayedAt.Add(decayInterval); now.Sub(t.decayedAt) > 10*decayInterval {
			t.decayedAt = now
		}
	}
}

// succeeded records a successful attempt; relative is its latency divided by the typical one.
func (t *target) succeeded(now time.Time, relative float64, decayInterval time.Duration) {
	t.decay(now, decayInterval)
	t.relativeLatency += latencyWeight * (relative - t.relativeLatency)
	t.zone.observe(relative)
	t.failureRate -= failureWeight * t.failureRate
	t.ejections, t.unanswered, t.ejectedUntil, t.silent = 0, 0, time.Time{}, false
	t.decayedAt = now
}

// failed records an attempt without a usable answer.
func (t *target) failed(now time.Time, outcome Outcome, decayInterval time.Duration) {
	t.decay(now, decayInterval)
	t.failureRate += failureWeight * (1 - t.failureRate)
	t.decayedAt = now
	switch outcome {
	case OutcomeWrongTarget:
		t.replaced = true
	case OutcomeUnsent:
		t.eject(now)
	case OutcomeSilent:
		if t.unanswered++; t.unanswered >= unansweredToEject {
			t.eject(now)
		}
	default:
		t.ejections, t.unanswered = 0, 0
	}
}

// eject takes the target out of use until a probe reaches it.
func (t *target) eject(now time.Time) {
	t.ejectedUntil = now.Add(cassiabackoff.Delay(minEjection, maxEjection, t.ejections))
	t.ejections++
}

// ejected reports whether the target is out of use. A replaced target stays ejected, since a probe would reach the other
// process.
func (t *target) ejected() bool { return t.ejections > 0 || t.replaced }

// probed records the result of a probe. A target that accepts the connection but left requests unanswered before is
// ejected again by its next unanswered one.
func (t *target) probed(now time.Time, reached bool) {
	t.probing = false
	if !reached {
		t.eject(now)
		return
	}
	t.ejections, t.ejectedUntil, t.silent = 0, time.Time{}, false
	t.unanswered = min(t.unanswered, unansweredToEject-1)
}

// expected estimates the target's latency for an attempt with the given typical latency.
func (t *target) expected(now time.Time, typical, decayInterval time.Duration) time.Duration {
	t.decay(now, decayInterval)
	factor := t.relativeLatency
	if now.Before(t.coldUntil()) {
		factor = max(factor, coldLatencyFactor)
	}
	factor *= 1 + failureFactor*t.failureRate
	if t.Unregistered {
		factor *= unregisteredFactor
	}
	return time.Duration(factor * float64(typical))
}

// remaining estimates how long it takes until the first of the running attempts ends. An attempt that has exceeded the
// expected duration is assumed to take as long again as it has already taken.
func (t *target) remaining(now time.Time, duration time.Duration) time.Duration {
	first := duration
	for _, a := range t.running {
		age := now.Sub(a.sentAt)
		left := duration - age
		if left < 0 {
			left = age
		}
		first = min(first, left)
	}
	return first
}

// stalled reports whether an attempt on the target has been running for much longer than is typical, or an aggregator
// recently declined the target as unfit.
func (t *target) stalled(now time.Time) bool {
	for _, a := range t.running {
		if now.Sub(a.sentAt) > cassiafitness.StallLimit(time.Duration(max(1, t.relativeLatency)*float64(a.typical))) {
			return true
		}
	}
	return now.Before(t.unfitUntil)
}

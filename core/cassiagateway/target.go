package cassiagateway

import (
	"time"

	"cassiasaddle/core/cassiabackoff"
	"cassiasaddle/core/cassiadirectory"
	"cassiasaddle/core/cassiafitness"
)

const (
	// latencyWeight is the weight of the newest sample in a target's pace.
	latencyWeight = 0.25
	// failureWeight is the weight of the newest attempt in a target's share of failures.
	failureWeight = 0.3
	// What is known of a target's pace and failures is halved when nothing new is learned for so long: forgetRequests times the
	// mean time between requests, within bounds.
	minDecayInterval = 2 * time.Second
	maxDecayInterval = 15 * time.Second
	decayRequests    = 10
	// intervalWeight is the weight of the newest time between requests in its mean.
	intervalWeight = 0.1
	// coldLatencyFactor is the pace that is expected of a target that has just started.
	coldLatencyFactor = 1.6
	// failureFactor is how many times longer a target that always fails is taken to need.
	failureFactor = 6.0
	// doubtfulFactor is how many times longer a target whose registration is gone is taken to need.
	doubtfulFactor = 3.0
	// unfitBackoff is how long a target is left alone after the VM that sends to it for all has found it unfit.
	unfitBackoff = 100 * time.Millisecond
	// Pauses between probes of a target that can't be reached, doubled with each failure.
	minEjection = 250 * time.Millisecond
	maxEjection = 2 * time.Second
	// unansweredToEject is how many attempts in a row a target leaves without an answer before it counts as unreachable;
	// a single one may be a lost answer.
	unansweredToEject = 2
)

// target is what this VM has seen of a target.
type target struct {
	cassiadirectory.Target
	service *service
	running []*attempt
	// relativeLatency is how long the target takes, relative to the usual duration of a route.
	relativeLatency float64
	failureRate     float64
	decayedAt       time.Time
	// unreachedCount counts attempts in a row that found nobody.
	unreachedCount int
	unanswered     int
	ejectedUntil   time.Time
	unfitUntil     time.Time
	probing        bool
	// wantsProbe is true when a connection should be opened before a request needs it, warmed once that was asked for.
	wantsProbe, warmed bool
	// replaced is true when another process was found at the target's address.
	replaced bool
}

func newTarget(t cassiadirectory.Target, s *service) *target {
	return &target{Target: t, service: s, relativeLatency: 1}
}

// decay moves what was learned towards the usual, so that a target that is left alone is tried again.
func (t *target) decay(now time.Time, decayInterval time.Duration) {
	for now.Sub(t.decayedAt) >= decayInterval {
		t.relativeLatency = 1 + (t.relativeLatency-1)/2
		t.failureRate /= 2
		if t.decayedAt = t.decayedAt.Add(decayInterval); now.Sub(t.decayedAt) > 10*decayInterval {
			t.decayedAt = now
		}
	}
}

// succeeded learns from a whole answer.
func (t *target) succeeded(now time.Time, relative float64, decayInterval time.Duration) {
	t.decay(now, decayInterval)
	t.relativeLatency += latencyWeight * (relative - t.relativeLatency)
	t.failureRate -= failureWeight * t.failureRate
	t.unreachedCount, t.unanswered, t.ejectedUntil = 0, 0, time.Time{}
	t.decayedAt = now
}

// failed learns from an attempt without a usable answer.
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
		t.unreachedCount, t.unanswered = 0, 0
	}
}

// eject takes the target out of use until a probe has reached it.
func (t *target) eject(now time.Time) {
	t.ejectedUntil = now.Add(cassiabackoff.Pause(minEjection, maxEjection, t.unreachedCount))
	t.unreachedCount++
}

// ejected is true while the target counts as unreachable. One that was replaced is never reached again: a probe would reach
// the other process.
func (t *target) ejected() bool { return t.unreachedCount > 0 || t.replaced }

// probed learns from a probe. A target that took the connection but left requests without an answer before is ejected again
// by the next one.
func (t *target) probed(now time.Time, reached bool) {
	t.probing = false
	if !reached {
		t.eject(now)
		return
	}
	t.unreachedCount, t.ejectedUntil = 0, time.Time{}
	t.unanswered = min(t.unanswered, unansweredToEject-1)
}

// expected estimates how long an attempt would take that usually takes so long.
func (t *target) expected(now time.Time, typical, decayInterval time.Duration) time.Duration {
	t.decay(now, decayInterval)
	factor := t.relativeLatency
	if now.Before(t.ColdUntil) {
		factor = max(factor, coldLatencyFactor)
	}
	factor *= 1 + failureFactor*t.failureRate
	if t.Doubtful {
		factor *= doubtfulFactor
	}
	return time.Duration(factor * float64(typical))
}

// remaining estimates when the first of the running attempts ends. One that takes longer than expected is taken to go on for
// as long again.
func (t *target) remaining(now time.Time, duration time.Duration) time.Duration {
	first := duration
	for _, a := range t.running {
		age := now.Sub(a.sent)
		left := duration - age
		if left < 0 {
			left = age
		}
		first = min(first, left)
	}
	return first
}

// stalled tells whether an attempt on the target has been running for much longer than it usually takes, or the VM that sends to
// it for all has found it unfit.
func (t *target) stalled(now time.Time) bool {
	for _, a := range t.running {
		if now.Sub(a.sent) > cassiafitness.StallLimit(time.Duration(max(1, t.relativeLatency)*float64(a.typical))) {
			return true
		}
	}
	return now.Before(t.unfitUntil)
}

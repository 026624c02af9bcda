package cassiagateway

import (
	"time"

	"cassiasaddle/core/cassiabackoff"
	"cassiasaddle/core/cassiadirectory"
	"cassiasaddle/core/cassiafitness"
)

const (
	// paceWeight is the weight of the newest sample in a target's pace.
	paceWeight = 0.25
	// failureWeight is the weight of the newest attempt in a target's share of failures.
	failureWeight = 0.3
	// What is known of a target's pace and failures is halved when nothing new is learned for so long: forgetRequests times the
	// mean time between requests, within bounds.
	minForget      = 2 * time.Second
	maxForget      = 15 * time.Second
	forgetRequests = 10
	// intervalWeight is the weight of the newest time between requests in its mean.
	intervalWeight = 0.1
	// coldPace is the pace that is expected of a target that has just started.
	coldPace = 1.6
	// failurePenalty is how many times longer a target that always fails is taken to need.
	failurePenalty = 6.0
	// doubtPenalty is how many times longer a target whose registration is gone is taken to need.
	doubtPenalty = 3.0
	// unfitHold is how long a target is left alone after the VM that sends to it for all has found it unfit.
	unfitHold = 100 * time.Millisecond
	// Pauses between probes of a target that can't be reached, doubled with each failure.
	firstEjection = 250 * time.Millisecond
	maxEjection   = 2 * time.Second
	// silencesToEject is how many attempts in a row a target leaves without an answer before it counts as unreachable;
	// a single one may be a lost answer.
	silencesToEject = 2
)

// target is what this VM has seen of a target.
type target struct {
	cassiadirectory.Target
	service *service
	running []*attempt
	// pace is how long the target takes, relative to the usual duration of a route.
	pace     float64
	failures float64
	learned  time.Time
	// unreached counts attempts in a row that found nobody.
	unreached    int
	silences     int
	ejectedUntil time.Time
	unfitUntil   time.Time
	probing      bool
	// wantsProbe is true when a connection should be opened before a request needs it, warmed once that was asked for.
	wantsProbe, warmed bool
	// replaced is true when another process was found at the target's address.
	replaced bool
}

func newTarget(t cassiadirectory.Target, s *service) *target {
	return &target{Target: t, service: s, pace: 1}
}

// fade moves what was learned towards the usual, so that a target that is left alone is tried again.
func (t *target) fade(now time.Time, forgetAfter time.Duration) {
	for now.Sub(t.learned) >= forgetAfter {
		t.pace = 1 + (t.pace-1)/2
		t.failures /= 2
		if t.learned = t.learned.Add(forgetAfter); now.Sub(t.learned) > 10*forgetAfter {
			t.learned = now
		}
	}
}

// succeeded learns from a whole answer.
func (t *target) succeeded(now time.Time, relative float64, forgetAfter time.Duration) {
	t.fade(now, forgetAfter)
	t.pace += paceWeight * (relative - t.pace)
	t.failures -= failureWeight * t.failures
	t.unreached, t.silences, t.ejectedUntil = 0, 0, time.Time{}
	t.learned = now
}

// failed learns from an attempt without a usable answer.
func (t *target) failed(now time.Time, outcome Outcome, forgetAfter time.Duration) {
	t.fade(now, forgetAfter)
	t.failures += failureWeight * (1 - t.failures)
	t.learned = now
	switch outcome {
	case OutcomeWrongTarget:
		t.replaced = true
	case OutcomeUnsent:
		t.eject(now)
	case OutcomeSilent:
		if t.silences++; t.silences >= silencesToEject {
			t.eject(now)
		}
	default:
		t.unreached, t.silences = 0, 0
	}
}

// eject takes the target out of use until a probe has reached it.
func (t *target) eject(now time.Time) {
	t.ejectedUntil = now.Add(cassiabackoff.Pause(firstEjection, maxEjection, t.unreached))
	t.unreached++
}

// ejected is true while the target counts as unreachable. One that was replaced is never reached again: a probe would reach
// the other process.
func (t *target) ejected() bool { return t.unreached > 0 || t.replaced }

// probed learns from a probe. A target that took the connection but left requests without an answer before is ejected again
// by the next one.
func (t *target) probed(now time.Time, reached bool) {
	t.probing = false
	if !reached {
		t.eject(now)
		return
	}
	t.unreached, t.ejectedUntil = 0, time.Time{}
	t.silences = min(t.silences, silencesToEject-1)
}

// expected estimates how long an attempt would take that usually takes so long.
func (t *target) expected(now time.Time, usual, forgetAfter time.Duration) time.Duration {
	t.fade(now, forgetAfter)
	pace := t.pace
	if now.Before(t.ColdUntil) {
		pace = max(pace, coldPace)
	}
	pace *= 1 + failurePenalty*t.failures
	if t.Doubtful {
		pace *= doubtPenalty
	}
	return time.Duration(pace * float64(usual))
}

// remaining estimates when the first of the running attempts ends. One that takes longer than expected is taken to go on for
// as long again.
func (t *target) remaining(now time.Time, needs time.Duration) time.Duration {
	first := needs
	for _, a := range t.running {
		age := now.Sub(a.sent)
		left := needs - age
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
		if now.Sub(a.sent) > cassiafitness.StallLimit(time.Duration(max(1, t.pace)*float64(a.usual))) {
			return true
		}
	}
	return now.Before(t.unfitUntil)
}

package cassiagateway

import (
	"time"

	"cassiasaddle/core/cassiaavailability"
)

// process returns the process of the target that is registered.
func (t *target) process() cassiaavailability.Process {
	return cassiaavailability.Process{Target: t.Name, StartUnixMillis: t.StartUnixMillis}
}

// usable reports whether requests may be sent to the target, now or after its pause.
func (t *target) usable() bool { return !t.ejected() && !t.leaving }

// pause returns how long the target wants no requests.
func (t *target) pause(now time.Time) time.Duration { return max(0, t.pausedUntil.Sub(now)) }

// restricted reports whether the target has stated that it accepts few requests, or none for now.
func (t *target) restricted(now time.Time) bool { return t.hasRate(now) || t.pause(now) > 0 }

// observeStatement applies what an answer of a target states about further requests.
func (g *Gateway) observeStatement(now time.Time, t *target, s cassiaavailability.Statement) {
	if s.Malformed && !t.malformedPause {
		t.malformedPause = true
		g.emit(ViewChanged{Event: EventMalformedPause, Target: t.Name, Zone: t.Zone})
	}
	if !g.availability.Observe(now, t.process(), s) {
		return
	}
	wasLeaving := t.leaving
	wasPaused := t.pause(now) > 0
	t.leaving, t.pausedUntil = g.availability.Leaving(t.process()), g.availability.PausedUntil(t.process())
	if t.leaving && !wasLeaving {
		g.emit(ViewChanged{Event: EventLeaving, Target: t.Name, Zone: t.Zone})
	}
	if t.pause(now) == 0 {
		return
	}
	if !wasPaused {
		g.emit(ViewChanged{Event: EventPaused, Target: t.Name, Zone: t.Zone, Pause: t.pause(now)})
	}
	t.onTrial = true
	g.watch(t)
	g.dropRestricted(now, t.service)
}

// observeStated records what a target has stated to another VM.
func (g *Gateway) observeStated(now time.Time, s TargetStatement) {
	if t := g.targets[s.Process.Target]; t != nil && t.process() == s.Process {
		g.observeStatement(now, t, s.Statement)
	} else {
		g.availability.Observe(now, s.Process, s.Statement)
	}
}

// endTrial ends the trial of a target that has run an attempt sent after its pause.
func (t *target) endTrial(sentAt time.Time, outcome Outcome) {
	if (outcome == OutcomeAnswered || outcome == OutcomeFailed) && !sentAt.Before(t.pausedUntil) {
		t.onTrial = false
	}
}

// pauseEnded reports whether the pause of a target is over and no attempt has been run since.
func (t *target) pauseEnded(now time.Time) bool { return t.onTrial && t.pause(now) == 0 }

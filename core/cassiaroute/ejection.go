package cassiaroute

import (
	"time"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

const (
	// slowFactor is the multiple of the peer median, the median latency of its front's targets, above which a target is
	// slow.
	slowFactor = 4
	// slowMargin is added to that limit. It keeps fast fronts from ejecting targets over
	// differences that no caller notices.
	slowMargin = 10 * time.Millisecond
	// minSlowSamples is how many results a target needs before it can be ejected as slow.
	minSlowSamples = 8
	// peerMedianInterval is how many results of a front pass before the median latency of its targets is computed
	// again.
	peerMedianInterval = 64
	// baseTrialInterval is the time between two trial attempts of one VM at an ejected target in a small cluster. The
	// interval grows in proportion to the number of members, so that a large cluster sends no more trial attempts in
	// total; up to 2*trialIntervalMembers-1 members it is baseTrialInterval.
	baseTrialInterval    = 5 * time.Second
	trialIntervalMembers = 8
)

func (t *Table) trialInterval() time.Duration {
	return baseTrialInterval * time.Duration(max(1, t.memberCount/trialIntervalMembers))
}

func (t *Table) handleResult(now time.Time, m ResultSeen) []Effect {
	r := m.Result
	state := t.targets[cassiaid.TargetName(r.GetTarget())]
	if state == nil {
		return nil
	}
	state.setSnapshots(r.GetHeldSnapshots(), r.GetShardMapEpoch())
	state.recordShed(now, r.GetOutcome() == cassiaschema.ShardOutcome_overloaded)
	t.recordLatency(m, state)
	if r.GetDraining() || r.GetOutcome() == cassiaschema.ShardOutcome_draining {
		return t.markLeaving(now, TargetLeaving{Target: state.name, Source: SourceReply})
	}
	return t.checkEjection(now, m, state)
}

// recordLatency adds the attempt's duration to the latency estimates of its target and its front. An attempt that was
// stopped early counts when it already took longer than the estimate, since it would have taken longer still.
func (t *Table) recordLatency(m ResultSeen, state *target) {
	r := m.Result
	elapsed := r.GetElapsed().AsDuration()
	took := m.Took
	if took == 0 {
		took = elapsed + r.GetQueued().AsDuration()
	}
	f := t.fronts[m.Front]
	switch r.GetOutcome() {
	case cassiaschema.ShardOutcome_answered:
		state.recordLatency(elapsed)
		if f != nil {
			f.recordLatency(took)
		}
	case cassiaschema.ShardOutcome_cancelled, cassiaschema.ShardOutcome_timedOut:
		if r.GetStarted() && elapsed > state.medianLatency {
			state.recordLatency(elapsed)
		}
		if f != nil && took > f.hedgeDelay() {
			f.recordLatency(took)
		}
	}
}

// checkEjection ejects a target that fails, or that is far slower than the other targets of its front.
func (t *Table) checkEjection(now time.Time, m ResultSeen, state *target) []Effect {
	r := m.Result
	switch {
	case r.GetTargetLost():
		return t.eject(now, state, EjectLost, firstFailureEjection)
	case r.GetOutcome() == cassiaschema.ShardOutcome_unreachable:
		return t.eject(now, state, EjectUnreachable, firstUnreachableEjection)
	case isTargetFailure(r):
		state.failures++
		if state.failures >= failuresToEject {
			return t.eject(now, state, EjectFailing, firstFailureEjection)
		}
		return nil
	case r.GetOutcome() == cassiaschema.ShardOutcome_answered:
		state.failures, state.unanswered = 0, 0
	}
	if t.isSlow(m.Front, state) {
		return t.eject(now, state, EjectSlow, firstSlowEjection)
	}
	return nil
}

func (t *Table) isSlow(key cassiaid.FrontKey, state *target) bool {
	f := t.fronts[key]
	if f == nil {
		return false
	}
	if f.resultsUntilPeerMedian--; f.resultsUntilPeerMedian <= 0 {
		f.resultsUntilPeerMedian = peerMedianInterval
		f.peerMedian = f.medianOfTargets(t.targets)
	}
	return f.peerMedian > 0 && state.latency.Samples() >= minSlowSamples && state.medianLatency > slowFactor*f.peerMedian+slowMargin
}

// eject ejects a target that is not ejected yet. For slowness, failures and unanswered attempts it does so only if
// enough other replicas stay in use; a lost or unreachable target is always ejected and then avoided while its shard
// has an open replica.
func (t *Table) eject(now time.Time, state *target, reason EjectReason, base time.Duration) []Effect {
	if now.Before(state.ejectedUntil) {
		return nil
	}
	if reason == EjectSlow || reason == EjectFailing || reason == EjectUnanswered {
		if !state.mayAvoid(now) {
			return []Effect{EjectionSkipped{Target: state.name, Reason: reason}}
		}
	}
	hold := state.eject(now, reason, base, t.trialInterval())
	return []Effect{Ejected{Target: state.name, Reason: reason, For: hold}}
}

func (t *Table) handleKnowledge(now time.Time, known []*cassiaschema.TargetKnowledge) []Effect {
	var effects []Effect
	for _, k := range known {
		state := t.targets[cassiaid.TargetName(k.GetTarget())]
		if state == nil {
			continue
		}
		state.setSnapshots(k.GetHeldSnapshots(), k.GetShardMapEpoch())
		switch {
		case k.GetDraining() || !k.GetReachable():
			state.wasUnreachable = state.wasUnreachable || !k.GetReachable()
			effects = append(effects, t.avoidForHealth(now, state, k.GetDraining())...)
		case state.wasUnreachable:
			effects = append(effects, t.markRestarted(now, state)...)
		default:
			state.avoidedForHealth = false
		}
	}
	return effects
}

// avoidForHealth avoids a target that its health endpoint reports as draining or that is unreachable, if enough other
// replicas stay in use.
func (t *Table) avoidForHealth(now time.Time, state *target, draining bool) []Effect {
	if state.avoidedForHealth {
		return nil
	}
	if !state.mayAvoid(now) {
		return []Effect{EjectionSkipped{Target: state.name, Reason: EjectHealth}}
	}
	state.avoidedForHealth = true
	effects := []Effect{Ejected{Target: state.name, Reason: EjectHealth}}
	if draining {
		effects = append(effects, ShareLeaving{Target: state.name, Leaving: true, Remaining: defaultLeavingDuration})
	}
	return effects
}

// markRestarted puts a target back into use that was unreachable and can be reached again: it is a new process, and
// what was known of the old one no longer applies.
func (t *Table) markRestarted(now time.Time, state *target) []Effect {
	wasLeaving := now.Before(state.leavingUntil)
	state.reopen()
	if !wasLeaving {
		return nil
	}
	return []Effect{ShareLeaving{Target: state.name, Remaining: defaultLeavingDuration}}
}

// forgetUnreached puts the targets back into use that this VM avoids because they could not be reached. None of them counts as
// restarted when it can be reached again.
func (t *Table) forgetUnreached() {
	for _, state := range t.targets {
		if state.wasUnreachable {
			state.wasUnreachable, state.avoidedForHealth = false, false
		}
		if state.lastEjectReason == EjectUnreachable {
			state.ejectedUntil = time.Time{}
		}
	}
}

func (t *Table) markLeaving(now time.Time, m TargetLeaving) []Effect {
	state := t.targets[m.Target]
	if state == nil {
		return nil
	}
	remaining := m.Remaining
	if remaining <= 0 {
		remaining = defaultLeavingDuration
	}
	switch m.Source {
	case SourceRefused:
		return t.eject(now, state, EjectUnreachable, firstUnreachableEjection)
	case SourceHealth:
		return t.avoidForHealth(now, state, true)
	case SourceNotice:
		state.peerNoticeUntil = later(state.peerNoticeUntil, now.Add(remaining))
		return nil
	}
	newlyClosed := state.condition(now) != conditionClosed
	state.leavingUntil = later(state.leavingUntil, now.Add(remaining))
	state.wasUnreachable = false
	if !newlyClosed {
		return nil
	}
	return []Effect{ShareLeaving{Target: m.Target, Leaving: true, Remaining: remaining}}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (t *Table) markAvailable(name cassiaid.TargetName) {
	if state := t.targets[name]; state != nil {
		state.reopen()
	}
}

// setPlatformLeaving replaces the platform's list of leaving targets.
func (t *Table) setPlatformLeaving(now time.Time, names []cassiaid.TargetName) []Effect {
	listed := make(map[cassiaid.TargetName]bool, len(names))
	var effects []Effect
	for _, name := range names {
		listed[name] = true
		if state := t.targets[name]; state != nil && state.condition(now) != conditionClosed {
			effects = append(effects, ShareLeaving{Target: name, Leaving: true, Remaining: defaultLeavingDuration})
		}
	}
	for name, state := range t.targets {
		state.onPlatformList = listed[name]
	}
	return effects
}

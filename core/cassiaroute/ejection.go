package cassiaroute

import (
	"time"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

const (
	// slowFactor is how many times the median latency of its front's targets a target has to exceed to be ejected as
	// slow.
	slowFactor = 4
	// slowMargin is added to the limit that slowFactor gives. It keeps fast fronts from ejecting targets over
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
	s := t.targets[cassiaid.TargetName(r.GetTarget())]
	if s == nil {
		return nil
	}
	s.setSnapshots(r.GetHeldSnapshots(), r.GetShardMapEpoch())
	s.recordShed(now, r.GetOutcome() == cassiaschema.ShardOutcome_overloaded)
	t.recordLatency(m, s)
	if r.GetDraining() || r.GetOutcome() == cassiaschema.ShardOutcome_draining {
		return t.markLeaving(now, TargetLeaving{Target: s.name, Source: SourceReply})
	}
	return t.checkEjection(now, m, s)
}

// recordLatency adds the attempt's duration to the latency estimates of its target and its front. An attempt that was
// stopped early counts when it already took longer than the estimate, since it would have taken longer still.
func (t *Table) recordLatency(m ResultSeen, s *target) {
	r := m.Result
	elapsed := r.GetElapsed().AsDuration()
	took := m.Took
	if took == 0 {
		took = elapsed + r.GetQueued().AsDuration()
	}
	f := t.fronts[m.Front]
	switch r.GetOutcome() {
	case cassiaschema.ShardOutcome_answered:
		s.recordLatency(elapsed)
		if f != nil {
			f.recordLatency(took)
		}
	case cassiaschema.ShardOutcome_cancelled, cassiaschema.ShardOutcome_timedOut:
		if r.GetStarted() && elapsed > s.medianLatency {
			s.recordLatency(elapsed)
		}
		if f != nil && took > f.hedgeDelay() {
			f.recordLatency(took)
		}
	}
}

// checkEjection ejects a target that fails, or that is far slower than the other targets of its front.
func (t *Table) checkEjection(now time.Time, m ResultSeen, s *target) []Effect {
	r := m.Result
	switch {
	case r.GetTargetLost():
		return t.eject(now, s, EjectLost, firstFailureEjection)
	case r.GetOutcome() == cassiaschema.ShardOutcome_unreachable:
		return t.eject(now, s, EjectUnreachable, firstUnreachableEjection)
	case isTargetFailure(r):
		s.failures++
		if s.failures >= failuresToEject {
			return t.eject(now, s, EjectFailing, firstFailureEjection)
		}
		return nil
	case r.GetOutcome() == cassiaschema.ShardOutcome_answered:
		s.failures, s.unanswered = 0, 0
	}
	if t.isSlow(m.Front, s) {
		return t.eject(now, s, EjectSlow, firstSlowEjection)
	}
	return nil
}

func (t *Table) isSlow(key cassiaid.FrontKey, s *target) bool {
	f := t.fronts[key]
	if f == nil {
		return false
	}
	if f.resultsUntilPeerMedian--; f.resultsUntilPeerMedian <= 0 {
		f.resultsUntilPeerMedian = peerMedianInterval
		f.peerMedian = f.medianOfTargets(t.targets)
	}
	return f.peerMedian > 0 && s.latency.Samples() >= minSlowSamples && s.medianLatency > slowFactor*f.peerMedian+slowMargin
}

// eject ejects a target that is not ejected yet. For slowness, failures and unanswered attempts it does so only if
// enough other replicas stay in use; a lost or unreachable target is always ejected and then avoided while its shard
// has an open replica.
func (t *Table) eject(now time.Time, s *target, reason EjectReason, base time.Duration) []Effect {
	if now.Before(s.ejectedUntil) {
		return nil
	}
	if reason == EjectSlow || reason == EjectFailing || reason == EjectUnanswered {
		if !s.mayAvoid(now) {
			return []Effect{EjectionSkipped{Target: s.name, Reason: reason}}
		}
	}
	hold := s.eject(now, reason, base, t.trialInterval())
	return []Effect{Ejected{Target: s.name, Reason: reason, For: hold}}
}

func (t *Table) handleKnowledge(now time.Time, known []*cassiaschema.TargetKnowledge) []Effect {
	var effects []Effect
	for _, k := range known {
		s := t.targets[cassiaid.TargetName(k.GetTarget())]
		if s == nil {
			continue
		}
		s.setSnapshots(k.GetHeldSnapshots(), k.GetShardMapEpoch())
		switch {
		case k.GetDraining() || !k.GetReachable():
			s.wasUnreachable = s.wasUnreachable || !k.GetReachable()
			effects = append(effects, t.avoidForHealth(now, s, k.GetDraining())...)
		case s.wasUnreachable:
			effects = append(effects, t.markRestarted(now, s)...)
		default:
			s.avoidedForHealth = false
		}
	}
	return effects
}

// avoidForHealth avoids a target that its health endpoint reports as draining or that is unreachable, if enough other
// replicas stay in use.
func (t *Table) avoidForHealth(now time.Time, s *target, draining bool) []Effect {
	if s.avoidedForHealth {
		return nil
	}
	if !s.mayAvoid(now) {
		return []Effect{EjectionSkipped{Target: s.name, Reason: EjectHealth}}
	}
	s.avoidedForHealth = true
	effects := []Effect{Ejected{Target: s.name, Reason: EjectHealth}}
	if draining {
		effects = append(effects, ShareLeaving{Target: s.name, Leaving: true, Remaining: defaultLeavingDuration})
	}
	return effects
}

// markRestarted puts a target back into use that was unreachable and can be reached again: it is a new process, and
// what was known of the old one no longer applies.
func (t *Table) markRestarted(now time.Time, s *target) []Effect {
	left := now.Before(s.leavingUntil)
	s.reopen()
	if !left {
		return nil
	}
	return []Effect{ShareLeaving{Target: s.name, Remaining: defaultLeavingDuration}}
}

func (t *Table) markLeaving(now time.Time, m TargetLeaving) []Effect {
	s := t.targets[m.Target]
	if s == nil {
		return nil
	}
	remaining := m.Remaining
	if remaining <= 0 {
		remaining = defaultLeavingDuration
	}
	switch m.Source {
	case SourceRefused:
		return t.eject(now, s, EjectUnreachable, firstUnreachableEjection)
	case SourceHealth:
		return t.avoidForHealth(now, s, true)
	case SourceNotice:
		s.peerNoticeUntil = later(s.peerNoticeUntil, now.Add(remaining))
		return nil
	}
	fresh := s.condition(now) != conditionClosed
	s.leavingUntil = later(s.leavingUntil, now.Add(remaining))
	s.wasUnreachable = false
	if !fresh {
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
	if s := t.targets[name]; s != nil {
		s.reopen()
	}
}

// setPlatformLeaving replaces the platform's list of leaving targets.
func (t *Table) setPlatformLeaving(now time.Time, names []cassiaid.TargetName) []Effect {
	listed := make(map[cassiaid.TargetName]bool, len(names))
	var effects []Effect
	for _, name := range names {
		listed[name] = true
		if s := t.targets[name]; s != nil && s.condition(now) != conditionClosed {
			effects = append(effects, ShareLeaving{Target: name, Leaving: true, Remaining: defaultLeavingDuration})
		}
	}
	for name, s := range t.targets {
		s.onPlatformList = listed[name]
	}
	return effects
}

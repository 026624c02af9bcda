package cassiaroute

import (
	"time"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

const (
	// slowFactor is how many times slower than its peers a target has to be to be ejected.
	slowFactor = 4
	// slowMargin keeps fast fronts from ejecting targets over differences that no caller notices.
	slowMargin = 10 * time.Millisecond
	// slowSamples is how many results a target needs before it can be called slow.
	slowSamples = 8
	// peersEvery is how many results pass before the peers' latency is computed again.
	peersEvery = 64
	// trickleBase is how often a small cluster sends one attempt to a target in doubt; the interval grows with
	// the members so that a large cluster sends no more.
	trickleBase    = 5 * time.Second
	trickleMembers = 8
)

func (t *Table) trickleEvery() time.Duration {
	return trickleBase * time.Duration(max(1, t.count/trickleMembers))
}

func (t *Table) seeResult(now time.Time, m ResultSeen) []Effect {
	r := m.Result
	s := t.targets[cassiaid.TargetName(r.GetTarget())]
	if s == nil {
		return nil
	}
	s.learn(r.GetHeldSnapshots(), r.GetShardMapEpoch())
	s.note(now, r.GetOutcome() == cassiaschema.ShardOutcome_overloaded)
	t.observe(m, s)
	if r.GetDraining() || r.GetOutcome() == cassiaschema.ShardOutcome_draining {
		return t.markLeaving(now, TargetLeaving{Target: s.name, Source: SourceReply})
	}
	return t.judge(now, m, s)
}

// observe adds the attempt's durations to the estimates; an attempt that was stopped early counts when it is slower
// than what is known, since it would have taken longer still.
func (t *Table) observe(m ResultSeen, s *target) {
	r := m.Result
	elapsed := r.GetElapsed().AsDuration()
	took := m.Took
	if took == 0 {
		took = elapsed + r.GetQueued().AsDuration()
	}
	f := t.fronts[m.Front]
	switch r.GetOutcome() {
	case cassiaschema.ShardOutcome_answered:
		s.observe(elapsed)
		if f != nil {
			f.observe(took)
		}
	case cassiaschema.ShardOutcome_cancelled, cassiaschema.ShardOutcome_timedOut:
		if r.GetStarted() && elapsed > s.typical {
			s.observe(elapsed)
		}
		if f != nil && took > f.hedgeAfter() {
			f.observe(took)
		}
	}
}

// judge ejects a target that fails, or that is far slower than its peers.
func (t *Table) judge(now time.Time, m ResultSeen, s *target) []Effect {
	r := m.Result
	switch {
	case r.GetTargetLost():
		return t.eject(now, s, EjectLost, ejectBase)
	case r.GetOutcome() == cassiaschema.ShardOutcome_unreachable:
		return t.eject(now, s, EjectUnreachable, unreachableHold)
	case failed(r):
		s.failures++
		if s.failures >= failuresToEject {
			return t.eject(now, s, EjectFailing, ejectBase)
		}
		return nil
	case r.GetOutcome() == cassiaschema.ShardOutcome_answered:
		s.failures, s.unanswered = 0, 0
	}
	if t.isSlow(m.Front, s) {
		return t.eject(now, s, EjectSlow, slowBase)
	}
	return nil
}

func (t *Table) isSlow(key cassiaid.FrontKey, s *target) bool {
	f := t.fronts[key]
	if f == nil {
		return false
	}
	if f.peersDue--; f.peersDue <= 0 {
		f.peersDue = peersEvery
		f.peers = f.medianOfTargets(t.targets)
	}
	return f.peers > 0 && s.latency.Samples() >= slowSamples && s.typical > slowFactor*f.peers+slowMargin
}

// eject takes a target out of use unless its shard has too few others; a target that cannot be reached is always
// avoided while another one is open.
func (t *Table) eject(now time.Time, s *target, reason EjectReason, base time.Duration) []Effect {
	if now.Before(s.ejectedUntil) {
		return nil
	}
	if reason == EjectSlow || reason == EjectFailing || reason == EjectUnanswered {
		if !s.mayDoubt(now) {
			return []Effect{EjectKept{Target: s.name, Reason: reason}}
		}
	}
	hold := s.eject(now, reason, base, t.trickleEvery())
	return []Effect{Ejected{Target: s.name, Reason: reason, For: hold}}
}

func (t *Table) seeKnowledge(now time.Time, known []*cassiaschema.TargetKnowledge) []Effect {
	var effects []Effect
	for _, k := range known {
		s := t.targets[cassiaid.TargetName(k.GetTarget())]
		if s == nil {
			continue
		}
		s.learn(k.GetHeldSnapshots(), k.GetShardMapEpoch())
		switch {
		case k.GetDraining() || !k.GetReachable():
			s.wasDown = s.wasDown || !k.GetReachable()
			effects = append(effects, t.doubt(now, s, k.GetDraining())...)
		case s.wasDown:
			effects = append(effects, t.markRestarted(now, s)...)
		default:
			s.healthDoubt = false
		}
	}
	return effects
}

// doubt avoids a target that its health endpoint speaks against while its shard has enough others.
func (t *Table) doubt(now time.Time, s *target, draining bool) []Effect {
	if s.healthDoubt {
		return nil
	}
	if !s.mayDoubt(now) {
		return []Effect{EjectKept{Target: s.name, Reason: EjectHealth}}
	}
	s.healthDoubt = true
	effects := []Effect{Ejected{Target: s.name, Reason: EjectHealth}}
	if draining {
		effects = append(effects, ShareLeaving{Target: s.name, Leaving: true, Remaining: leavingHold})
	}
	return effects
}

// markRestarted opens a target that was unreachable and answers again: what was known of the old process is over.
func (t *Table) markRestarted(now time.Time, s *target) []Effect {
	left := now.Before(s.leavingUntil)
	s.reopen()
	if !left {
		return nil
	}
	return []Effect{ShareLeaving{Target: s.name, Remaining: leavingHold}}
}

func (t *Table) markLeaving(now time.Time, m TargetLeaving) []Effect {
	s := t.targets[m.Target]
	if s == nil {
		return nil
	}
	remaining := m.Remaining
	if remaining <= 0 {
		remaining = leavingHold
	}
	switch m.Source {
	case SourceRefused:
		return t.eject(now, s, EjectUnreachable, unreachableHold)
	case SourceHealth:
		return t.doubt(now, s, true)
	case SourceNotice:
		s.noticedUntil = later(s.noticedUntil, now.Add(remaining))
		return nil
	}
	fresh := s.condition(now) != conditionClosed
	s.leavingUntil = later(s.leavingUntil, now.Add(remaining))
	s.wasDown = false
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

func (t *Table) markBack(name cassiaid.TargetName) {
	if s := t.targets[name]; s != nil {
		s.reopen()
	}
}

// setPlatformList replaces the platform's list of leaving targets.
func (t *Table) setPlatformList(now time.Time, names []cassiaid.TargetName) []Effect {
	listed := make(map[cassiaid.TargetName]bool, len(names))
	var effects []Effect
	for _, name := range names {
		listed[name] = true
		if s := t.targets[name]; s != nil && s.condition(now) != conditionClosed {
			effects = append(effects, ShareLeaving{Target: name, Leaving: true, Remaining: leavingHold})
		}
	}
	for name, s := range t.targets {
		s.onPlatformList = listed[name]
	}
	return effects
}

package cassiaroute

import (
	"slices"
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
	slowSamples = 16
	// peersEvery is how many results pass before the peers' latency is computed again.
	peersEvery = 256
	// trickleBase is how often a small cluster sends one attempt to a target in doubt; the interval grows with
	// the members so that a large cluster sends no more.
	trickleBase    = time.Second
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
		s.failures = 0
		s.healthDoubt = false
	}
	if t.isSlow(m.Front, s) {
		return t.eject(now, s, EjectSlow, ejectBase)
	}
	return nil
}

func (t *Table) isSlow(key cassiaid.FrontKey, s *target) bool {
	f := t.fronts[key]
	if f == nil {
		return false
	}
	if f.peersCountup--; f.peersCountup <= 0 {
		f.peersCountup = peersEvery
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
	if reason == EjectSlow || reason == EjectFailing {
		if !s.mayDoubt(now) {
			return []Effect{EjectKept{Target: s.name, Reason: reason}}
		}
	}
	hold := s.eject(now, base, t.trickleEvery())
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
		doubt := k.GetDraining() || !k.GetReachable()
		switch {
		case !doubt:
			s.healthDoubt = false
		case !s.healthDoubt && s.mayDoubt(now):
			s.healthDoubt = true
			s.trickleAt = now.Add(t.trickleEvery())
			effects = append(effects, Ejected{Target: s.name, Reason: EjectHealth})
		case !s.healthDoubt:
			effects = append(effects, EjectKept{Target: s.name, Reason: EjectHealth})
		}
	}
	return effects
}

func (t *Table) markLeaving(now time.Time, m TargetLeaving) []Effect {
	s := t.targets[m.Target]
	if s == nil {
		return nil
	}
	if !m.Source.certain() {
		return t.markDoubtful(now, m.Source, s)
	}
	remaining := m.Remaining
	if remaining <= 0 {
		remaining = leavingHold
	}
	fresh := s.condition(now) != conditionClosed
	if until := now.Add(remaining); until.After(s.leavingUntil) {
		s.leavingUntil = until
	}
	if !fresh || m.Source == SourceNotice {
		return nil
	}
	return []Effect{ShareLeaving{Target: m.Target, Leaving: true, Remaining: remaining}}
}

func (t *Table) markDoubtful(now time.Time, source LeavingSource, s *target) []Effect {
	if source == SourceRefused {
		return t.eject(now, s, EjectUnreachable, unreachableHold)
	}
	return t.seeKnowledge(now, []*cassiaschema.TargetKnowledge{{Target: string(s.name), Draining: true, Reachable: true}})
}

func (t *Table) markBack(name cassiaid.TargetName) {
	if s := t.targets[name]; s != nil {
		s.leavingUntil = time.Time{}
		s.healthDoubt = false
		s.ejectedUntil = time.Time{}
		s.failures = 0
	}
}

// setPlatformList replaces the platform's list of leaving targets.
func (t *Table) setPlatformList(names []cassiaid.TargetName) []Effect {
	now := t.clock.Now()
	var effects []Effect
	for name, s := range t.targets {
		listed := slices.Contains(names, name)
		if listed && s.condition(now) != conditionClosed {
			effects = append(effects, ShareLeaving{Target: name, Leaving: true, Remaining: leavingHold})
		}
		s.onPlatformList = listed
	}
	return effects
}

package cassiamember

import (
	"slices"
	"time"

	"cassiasaddle/core/cassiaid"
)

func (m *Membership) tick() {
	now := m.clock.Now()
	m.compensatePause(now)
	if m.suspicionTimers > 0 {
		m.expireSuspects(now)
	}
	if len(m.dead.names) > 0 && !now.Before(m.nextForgetCheck) {
		m.nextForgetCheck = now.Add(m.tuning.ReviveInterval)
		m.forgetDead(now)
	}
	m.quarantines.expire(now)
	m.targets.expire(now)
	m.join(now)
	m.probe(now)
	m.lastTick = now
}

// compensatePause keeps a VM that was paused from blaming others for the answers that it missed: after two probe
// intervals without a tick, it ends the outstanding probe and extends all suspicion timers by the length of the pause.
func (m *Membership) compensatePause(now time.Time) {
	pause := now.Sub(m.lastTick)
	if m.lastTick.IsZero() || pause < 2*m.tuning.ProbeInterval {
		return
	}
	m.count(CountPaused)
	m.prober.clear()
	for _, r := range m.members {
		if !r.suspicionExpiry.IsZero() {
			r.suspicionExpiry = r.suspicionExpiry.Add(pause)
		}
	}
}

// expireSuspects declares the members dead that did not refute in time.
func (m *Membership) expireSuspects(now time.Time) {
	for _, name := range m.namesWhere(func(r *record) bool {
		return !r.suspicionExpiry.IsZero() && !now.Before(r.suspicionExpiry)
	}) {
		u := m.members[name].brief()
		u.State = Dead
		m.count(CountDeclaredDead)
		m.learn(u)
	}
}

// forgetDead removes the members that have been dead for ForgetAfter.
func (m *Membership) forgetDead(now time.Time) {
	for _, name := range m.namesWhere(func(r *record) bool {
		return r.State == Dead && now.Sub(r.deadSince) >= m.tuning.ForgetAfter
	}) {
		m.dead.remove(name)
		delete(m.members, name)
	}
}

// namesWhere returns the names of the members that meet a condition, sorted.
func (m *Membership) namesWhere(condition func(*record) bool) []cassiaid.VMName {
	var names []cassiaid.VMName
	for name, r := range m.members {
		if condition(r) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

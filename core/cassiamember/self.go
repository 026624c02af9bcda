package cassiamember

import (
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// learnSelf handles an update about this VM. It corrects a sender that has an older incarnation, refutes a wrong state,
// and starts a new run when a later run or another VM of the same name exists.
func (m *Membership) learnSelf(u *cassiaschema.MemberUpdate) {
	reported := Incarnation(u.GetIncarnation())
	if reported < m.self.Incarnation {
		m.correctSender(reported)
		return
	}
	conflicting := isFull(u) && Address(u.GetGossipAddress()) != m.self.GossipAddress
	if conflicting {
		m.count(CountNameConflict)
	}
	if conflicting || reported.run() > m.self.Incarnation.run() {
		m.renewRun(reported.nextRun())
		return
	}
	if reported == m.self.Incarnation && u.GetState() <= m.self.State {
		return
	}
	m.count(CountRefuted)
	m.setSelf(m.self.State, reported+1)
	m.disseminate(m.self.brief())
	m.correctSender(reported)
}

// correctSender sets the correction for the sender of the packet being handled: a full update when that sender knows
// another run of this VM.
func (m *Membership) correctSender(reported Incarnation) {
	m.correction = m.self.brief()
	if reported.run() != m.self.Incarnation.run() {
		m.correction = m.self.full()
	}
}

// renewRun starts a new run of this VM, which replaces any other run of the same name.
func (m *Membership) renewRun(incarnation Incarnation) {
	m.setSelf(m.self.State, incarnation)
	m.disseminate(m.self.full())
}

func (m *Membership) setSelf(state State, incarnation Incarnation) {
	m.digest.toggle(m.self)
	m.self.State, m.self.Incarnation = state, incarnation
	m.digest.toggle(m.self)
	m.emit(MembersChanged{})
}

// leave announces that this VM takes no new work, directly to each member of its own zone.
func (m *Membership) leave() {
	m.stopping = true
	m.takeNoWork()
}

func (m *Membership) takeNoWork() {
	if m.self.State == Leaving {
		return
	}
	m.setSelf(Leaving, m.self.Incarnation)
	m.pushSelf()
}

// setIsolated announces this VM like a leaving one while it reaches no target. Its return needs a new incarnation, since at the same
// one others keep the later state.
func (m *Membership) setIsolated(isolated bool) {
	switch {
	case isolated:
		m.takeNoWork()
	case m.self.State == Leaving && !m.stopping:
		m.setSelf(Alive, m.self.Incarnation+1)
		m.pushSelf()
	}
}

// stop announces that this VM is dead and makes Update ignore later messages.
func (m *Membership) stop() {
	m.setSelf(Dead, m.self.Incarnation)
	m.pushSelf()
	m.stopped = true
}

// pushSelf pushes this VM's state to each live member of the own zone and to some random members of any zone.
func (m *Membership) pushSelf() {
	m.pendingPush = noPush
	for _, name := range m.local.names {
		m.push(name)
	}
	for _, name := range m.randomMembers(2*m.tuning.PushFanout, "") {
		m.push(name)
	}
}

func (m *Membership) changeSettings(generation cassiaid.Generation) {
	if generation == m.self.SettingsGeneration {
		return
	}
	m.self.SettingsGeneration = generation
	m.pendingPush = urgentPush
}

package cassiamember

import (
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// hearOfSelf refutes what others wrongly say of this VM.
func (m *Membership) hearOfSelf(u *cassiaschema.MemberUpdate) {
	said := Incarnation(u.GetIncarnation())
	if said < m.self.Incarnation {
		m.defend(said)
		return
	}
	foreign := isFull(u) && Address(u.GetGossipAddress()) != m.self.GossipAddress
	if foreign {
		m.count(CountNameConflict)
	}
	if foreign || said.run() > m.self.Incarnation.run() {
		m.reintroduce(said.nextRun())
		return
	}
	if said == m.self.Incarnation && u.GetState() <= m.self.State {
		return
	}
	m.count(CountRefuted)
	m.setSelf(m.self.State, said+1)
	m.disseminate(m.self.brief())
	m.defend(said)
}

// defend tells the sender of the packet in hand what this VM is, in full when it knows another run.
func (m *Membership) defend(said Incarnation) {
	m.defence = m.self.brief()
	if said.run() != m.self.Incarnation.run() {
		m.defence = m.self.full()
	}
}

// reintroduce starts a new run of this VM, which replaces any other run of the same name.
func (m *Membership) reintroduce(incarnation Incarnation) {
	m.setSelf(m.self.State, incarnation)
	m.disseminate(m.self.full())
}

func (m *Membership) setSelf(state State, incarnation Incarnation) {
	m.digest.toggle(m.self)
	m.self.State, m.self.Incarnation = state, incarnation
	m.digest.toggle(m.self)
	m.emit(MembersChanged{})
}

// leave announces that this VM takes no new work, first-hand to its own zone.
func (m *Membership) leave() {
	if m.self.State == Leaving {
		return
	}
	m.setSelf(Leaving, m.self.Incarnation)
	m.tellZone()
}

// stop announces that this VM is gone.
func (m *Membership) stop() {
	m.setSelf(Dead, m.self.Incarnation)
	m.tellZone()
	m.stopped = true
}

// tellZone sends the news to each live member of the own zone and to some of the others.
func (m *Membership) tellZone() {
	m.pushDue = noNews
	for _, name := range m.local.names {
		m.push(name)
	}
	for _, name := range m.pickMembers(2*m.tuning.PushFanout, "") {
		m.push(name)
	}
}

func (m *Membership) changeSettings(generation cassiaid.Generation) {
	if generation == m.self.SettingsGeneration {
		return
	}
	m.self.SettingsGeneration = generation
	m.pushDue = urgent
}

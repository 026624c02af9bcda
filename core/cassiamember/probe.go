package cassiamember

import (
	"slices"
	"time"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// prober holds the probe under way, those relayed for others and when the next ones are due.
type prober struct {
	target     cassiaid.VMName
	sequence   uint64
	sentAt     time.Time
	indirect   bool
	turn       int
	nextRevive time.Time
	relays     []relay
}

// relay is a probe sent for another member.
type relay struct {
	sequence  uint64
	probed    cassiaid.VMName
	requester Address
	// requested is the sequence that the requester waits for.
	requested uint64
	until     time.Time
}

// forget drops the probe under way without a verdict.
func (b *prober) forget() { b.target = "" }

// probe moves the probe under way on and starts the next one when it is due.
func (m *Membership) probe(now time.Time) {
	b := &m.prober
	b.relays = slices.DeleteFunc(b.relays, func(r relay) bool { return now.After(r.until) })
	if b.target != "" && !b.indirect && now.Sub(b.sentAt) >= m.tuning.AckTimeout {
		m.probeIndirectly()
	}
	if now.Sub(b.sentAt) >= m.tuning.ProbeInterval {
		m.judgeProbe()
		m.startProbe(now)
	}
	if !now.Before(b.nextRevive) {
		b.nextRevive = now.Add(m.tuning.ReviveInterval)
		m.probeDead()
		m.probeStranger()
	}
}

// startProbe probes the next member in turn, mostly of the own zone.
func (m *Membership) startProbe(now time.Time) {
	b := &m.prober
	b.sentAt = now
	first, second := &m.local, &m.remote
	if b.turn++; b.turn%m.tuning.RemoteProbePeriod == 0 {
		first, second = second, first
	}
	name, ok := first.take(m.config.Random)
	if !ok {
		name, ok = second.take(m.config.Random)
	}
	if !ok {
		return
	}
	b.target, b.sequence, b.indirect = name, m.nextSequence(), false
	m.count(CountProbe)
	m.ping(m.members[name], b.sequence)
}

func (m *Membership) ping(r *record, sequence uint64) {
	m.send(r.GossipAddress, &cassiaschema.GossipPacket{Kind: cassiaschema.GossipKind_ping, Sequence: sequence}, r)
}

// probeIndirectly asks other members to probe one that did not answer.
func (m *Membership) probeIndirectly() {
	b := &m.prober
	b.indirect = true
	for _, name := range m.pickMembers(m.tuning.IndirectProbes, b.target) {
		m.count(CountProbeIndirect)
		m.send(m.members[name].GossipAddress, &cassiaschema.GossipPacket{
			Kind:     cassiaschema.GossipKind_pingRequest,
			Sequence: b.sequence,
			Probed:   string(b.target),
		}, m.members[name])
	}
}

// judgeProbe suspects a member that neither answered nor was reached by others.
func (m *Membership) judgeProbe() {
	r, ok := m.members[m.prober.target]
	m.prober.forget()
	if !ok || !r.Live() {
		return
	}
	m.count(CountProbeFailed)
	switch r.State {
	case Alive:
		u := r.brief()
		u.State = Suspect
		m.count(CountSuspected)
		m.learn(u)
	case Leaving:
		if r.suspectUntil.IsZero() {
			m.setSuspectUntil(r, m.clock.Now().Add(m.tuning.suspicionTimeout(m.size())))
		}
	}
}

// relayProbe probes a member for another one that got no answer.
func (m *Membership) relayProbe(requester Address, p *cassiaschema.GossipPacket) {
	r, ok := m.members[cassiaid.VMName(p.GetProbed())]
	if !ok {
		return
	}
	sequence := m.nextSequence()
	m.prober.relays = append(m.prober.relays, relay{
		sequence:  sequence,
		probed:    r.Name,
		requester: requester,
		requested: p.GetSequence(),
		until:     m.clock.Now().Add(m.tuning.ProbeInterval),
	})
	m.ping(r, sequence)
}

// takeAck ends the probe under way or passes the answer on to the member that asked for it.
func (m *Membership) takeAck(from cassiaid.VMName, p *cassiaschema.GossipPacket) {
	b := &m.prober
	answered := from
	if p.GetProbed() != "" {
		answered = cassiaid.VMName(p.GetProbed())
	}
	if p.GetSequence() == b.sequence && answered == b.target {
		b.forget()
		return
	}
	at := slices.IndexFunc(b.relays, func(r relay) bool { return r.sequence == p.GetSequence() && r.probed == from })
	if at < 0 {
		return
	}
	r := b.relays[at]
	b.relays = slices.Delete(b.relays, at, at+1)
	m.send(r.requester, &cassiaschema.GossipPacket{
		Kind:     cassiaschema.GossipKind_ack,
		Sequence: r.requested,
		Probed:   string(r.probed),
	}, nil)
}

// probeDead probes a member held for dead, so that a healed cut is noticed without the platform.
func (m *Membership) probeDead() {
	if name, ok := m.dead.take(m.config.Random); ok {
		m.ping(m.members[name], m.nextSequence())
	}
}

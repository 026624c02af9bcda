package cassiamember

import (
	"slices"
	"time"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// prober holds the outstanding probe, the probes relayed for other members, and when the next ones are due.
type prober struct {
	// probed is the member of the outstanding probe, empty when there is none.
	probed   cassiaid.VMName
	sequence uint64
	// startedAt is when the last probe was started, and probeCount counts all of them.
	startedAt    time.Time
	indirectSent bool
	probeCount   int
	// nextRevive is when a dead member and an unknown seed are probed next.
	nextRevive time.Time
	relays     []relayedProbe
}

// relayedProbe is a probe sent on behalf of another member.
type relayedProbe struct {
	sequence  uint64
	probed    cassiaid.VMName
	requester Address
	// requesterSequence is the sequence number of the requester's own probe.
	requesterSequence uint64
	expiry            time.Time
}

// clear ends the outstanding probe without a suspicion.
func (b *prober) clear() { b.probed = "" }

// probe advances the outstanding probe and starts the next one when it is due.
func (m *Membership) probe(now time.Time) {
	b := &m.prober
	b.relays = slices.DeleteFunc(b.relays, func(r relayedProbe) bool { return now.After(r.expiry) })
	if b.probed != "" && !b.indirectSent && now.Sub(b.startedAt) >= m.tuning.AckTimeout {
		m.probeIndirectly()
	}
	if now.Sub(b.startedAt) >= m.tuning.ProbeInterval {
		m.endProbe()
		m.startProbe(now)
	}
	if !now.Before(b.nextRevive) {
		b.nextRevive = now.Add(m.tuning.ReviveInterval)
		m.probeDead()
		m.probeUnknownSeed()
	}
}

// startProbe probes the next member, usually one of this VM's zone and every RemoteProbePeriod-th time one of another
// zone. If the chosen side has no members, it probes one of the other.
func (m *Membership) startProbe(now time.Time) {
	b := &m.prober
	b.startedAt = now
	first, second := &m.local, &m.remote
	if b.probeCount++; b.probeCount%m.tuning.RemoteProbePeriod == 0 {
		first, second = second, first
	}
	name, ok := first.advance(m.config.Random)
	if !ok {
		name, ok = second.advance(m.config.Random)
	}
	if !ok {
		return
	}
	b.probed, b.sequence, b.indirectSent = name, m.nextSequence(), false
	m.count(CountProbe)
	m.ping(m.members[name], b.sequence)
}

func (m *Membership) ping(r *record, sequence uint64) {
	m.send(r.GossipAddress, &cassiaschema.GossipPacket{Kind: cassiaschema.GossipKind_ping, Sequence: sequence}, r)
}

// probeIndirectly asks other members to probe one that did not answer.
func (m *Membership) probeIndirectly() {
	b := &m.prober
	b.indirectSent = true
	for _, name := range m.randomMembers(m.tuning.IndirectProbes, b.probed) {
		m.count(CountProbeIndirect)
		m.send(m.members[name].GossipAddress, &cassiaschema.GossipPacket{
			Kind:     cassiaschema.GossipKind_pingRequest,
			Sequence: b.sequence,
			Probed:   string(b.probed),
		}, m.members[name])
	}
}

// endProbe ends the outstanding probe and suspects its member if neither a direct nor an indirect probe was
// acknowledged. A leaving member keeps its state and gets a suspicion timer.
func (m *Membership) endProbe() {
	r, ok := m.members[m.prober.probed]
	m.prober.clear()
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
		if r.suspicionExpiry.IsZero() {
			m.setSuspicionExpiry(r, m.clock.Now().Add(m.tuning.suspicionTimeout(m.size())))
		}
	}
}

// relayProbe probes a member on behalf of one that got no answer.
func (m *Membership) relayProbe(requester Address, p *cassiaschema.GossipPacket) {
	r, ok := m.members[cassiaid.VMName(p.GetProbed())]
	if !ok {
		return
	}
	sequence := m.nextSequence()
	m.prober.relays = append(m.prober.relays, relayedProbe{
		sequence:          sequence,
		probed:            r.Name,
		requester:         requester,
		requesterSequence: p.GetSequence(),
		expiry:            m.clock.Now().Add(m.tuning.ProbeInterval),
	})
	m.ping(r, sequence)
}

// handleAck ends the outstanding probe, or forwards the acknowledgement of a relayed probe to its requester.
func (m *Membership) handleAck(from cassiaid.VMName, p *cassiaschema.GossipPacket) {
	b := &m.prober
	answered := from
	if p.GetProbed() != "" {
		answered = cassiaid.VMName(p.GetProbed())
	}
	if p.GetSequence() == b.sequence && answered == b.probed {
		b.clear()
		return
	}
	at := slices.IndexFunc(b.relays, func(r relayedProbe) bool { return r.sequence == p.GetSequence() && r.probed == from })
	if at < 0 {
		return
	}
	r := b.relays[at]
	b.relays = slices.Delete(b.relays, at, at+1)
	m.send(r.requester, &cassiaschema.GossipPacket{
		Kind:     cassiaschema.GossipKind_ack,
		Sequence: r.requesterSequence,
		Probed:   string(r.probed),
	}, nil)
}

// probeDead probes a dead member, so that the end of a network partition is noticed without the platform's list of VMs.
func (m *Membership) probeDead() {
	if name, ok := m.dead.advance(m.config.Random); ok {
		m.ping(m.members[name], m.nextSequence())
	}
}

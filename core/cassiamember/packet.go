package cassiamember

import (
	"time"

	"google.golang.org/protobuf/proto"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// PacketOverhead is the number of bytes around an encoded packet: IP and UDP headers, format byte, nonce and seal.
const PacketOverhead = 28 + 1 + 24 + 16

// send completes a packet, attaches broadcasts and notices where the budget allows, and sends it. Broadcasts leave the
// bytes of one packet in the budget for syncs. The receiver is nil when it is not a known member.
func (m *Membership) send(to Address, p *cassiaschema.GossipPacket, receiver *record) {
	p.From = string(m.self.Name)
	p.SettingsGeneration = uint64(m.self.SettingsGeneration)
	p.Digest = m.digest.root()
	p.SentUnixMillis = m.clock.Now().UnixMilli()
	if receiver != nil && receiver.State != Alive {
		p.Updates = append(p.Updates, receiver.brief())
	}
	if m.correction != nil {
		p.Updates = append(p.Updates, m.correction)
		m.correction = nil
	} else if m.self.State != Alive {
		p.Updates = append(p.Updates, m.self.brief())
	}
	size := proto.Size(p) + PacketOverhead
	freeBytes := min(m.tuning.MaxPacketBytes, m.budget.available()-m.tuning.MaxPacketBytes) - size
	filled := m.broadcasts.fill(p, freeBytes, m.tuning.retransmitLimit(m.size(), len(m.broadcasts.queue)))
	m.budget.spend(size + filled + m.attachNotices(p, freeBytes-filled))
	m.emit(SendPacket{To: to, Packet: p})
}

// nextSequence returns the sequence number for a packet that expects an answer.
func (m *Membership) nextSequence() uint64 {
	m.sequence++
	return m.sequence
}

// receive handles a packet of a peer.
func (m *Membership) receive(message Packet) {
	p := message.Packet
	from := cassiaid.VMName(p.GetFrom())
	if from == "" || from == m.self.Name {
		m.count(CountBadPacket)
		return
	}
	m.inJoinReply = p.GetKind() == cassiaschema.GossipKind_joinReply
	for _, u := range p.GetUpdates() {
		if u.GetName() == "" || u.GetState() > Dead {
			m.count(CountBadPacket)
			continue
		}
		m.learn(u)
	}
	m.learnNotices(p)
	m.updateSender(from, cassiaid.Generation(p.GetSettingsGeneration()))
	m.compareDigest(p.GetDigest())
	m.respond(from, message.Source, p)
	if m.correction != nil {
		m.send(message.Source, &cassiaschema.GossipPacket{Kind: cassiaschema.GossipKind_push}, m.members[from])
	}
	m.inJoinReply = false
}

// updateSender records what the arrival of a packet shows about its sender: its settings generation and, for a leaving
// member, that it still runs.
func (m *Membership) updateSender(name cassiaid.VMName, generation cassiaid.Generation) {
	r, ok := m.members[name]
	if !ok {
		return
	}
	if r.State == Leaving {
		m.setSuspicionExpiry(r, time.Time{})
	}
	if r.SettingsGeneration != generation {
		r.SettingsGeneration = generation
		m.emit(PeerSettings{Name: name, Generation: generation})
	}
}

// respond handles a packet by its kind.
func (m *Membership) respond(from cassiaid.VMName, source Address, p *cassiaschema.GossipPacket) {
	switch p.GetKind() {
	case cassiaschema.GossipKind_ping:
		m.answerPing(from, source, p)
	case cassiaschema.GossipKind_ack:
		m.handleAck(from, p)
		if len(p.GetBucketDigests()) > 0 {
			m.sendSync(from, source, cassiaschema.GossipKind_sync, p)
		}
	case cassiaschema.GossipKind_pingRequest:
		m.relayProbe(source, p)
	case cassiaschema.GossipKind_join:
		m.sendSync(from, source, cassiaschema.GossipKind_joinReply, p)
	case cassiaschema.GossipKind_joinReply, cassiaschema.GossipKind_sync:
		m.replyToSync(from, source, p)
	case cassiaschema.GossipKind_push:
	default:
		m.count(CountBadPacket)
	}
}

// answerPing acknowledges a probe. The acknowledgement also requests a sync when the sender is not known, or when its
// digest differs after MismatchLimit mismatches. Equal digests in between do not reset that count, since the peers of
// one zone may all lack the same members.
func (m *Membership) answerPing(from cassiaid.VMName, source Address, p *cassiaschema.GossipPacket) {
	ack := &cassiaschema.GossipPacket{Kind: cassiaschema.GossipKind_ack, Sequence: p.GetSequence()}
	receiver, known := m.members[from]
	digestDiffers := p.GetDigest() != m.digest.root()
	if !known || digestDiffers && m.mismatches >= m.tuning.MismatchLimit {
		m.requestSync(ack)
	}
	m.send(source, ack, receiver)
}

// pushUrgency is how soon updates have to be sent to other members.
type pushUrgency uint8

const (
	noPush pushUrgency = iota
	// routinePush sends updates at once while more than half of the budget is available, and otherwise with probes.
	routinePush
	// urgentPush sends updates at once while any budget is available.
	urgentPush
)

// pushPending pushes the updates learned in this call of Update to PushFanout random members where the budget allows.
func (m *Membership) pushPending() {
	due := m.pendingPush
	m.pendingPush = noPush
	switch {
	case due == noPush:
		return
	case due == routinePush && !m.budget.overHalfFull(), m.budget.available() == 0:
		m.count(CountPushSkipped)
		return
	}
	for _, name := range m.randomMembers(m.tuning.PushFanout, "") {
		m.push(name)
	}
}

// push sends a member the queued broadcasts without expecting an answer.
func (m *Membership) push(name cassiaid.VMName) {
	m.count(CountPush)
	m.send(m.members[name].GossipAddress, &cassiaschema.GossipPacket{Kind: cassiaschema.GossipKind_push}, m.members[name])
}

// randomMembers returns random live members of all zones, except one.
func (m *Membership) randomMembers(count int, except cassiaid.VMName) []cassiaid.VMName {
	local := len(m.local.names)
	return sampleNames(local+len(m.remote.names), count, m.config.Random, except, func(i int) cassiaid.VMName {
		if i < local {
			return m.local.names[i]
		}
		return m.remote.names[i-local]
	})
}

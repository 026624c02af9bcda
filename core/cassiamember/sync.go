package cassiamember

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// compareDigest counts the packets since the last sync request whose sender had another view. An equal view completes
// the join.
func (m *Membership) compareDigest(root uint64) {
	if root == m.digest.root() {
		m.joiner.joined = !m.Alone()
		return
	}
	m.mismatches++
}

// requestSync makes a packet ask its receiver for the members of the buckets that differ.
func (m *Membership) requestSync(p *cassiaschema.GossipPacket) {
	m.mismatches = 0
	m.count(CountSyncAsked)
	p.BucketDigests = m.digest.encode(p.GetSequence())
}

// sendSync sends the members of the buckets that differ, as many as fit into a packet. It begins at a random bucket, so
// that the same buckets are not left out each time.
func (m *Membership) sendSync(to cassiaid.VMName, address Address, kind cassiaschema.GossipKind, request *cassiaschema.GossipPacket) {
	p := &cassiaschema.GossipPacket{Kind: kind, Sequence: request.GetSequence()}
	differing := m.digest.differing(request.GetBucketDigests(), request.GetSequence())
	freeBytes := m.syncCapacity(kind, p)
	if kind == cassiaschema.GossipKind_joinReply {
		// A VM that starts has to know them before it sends to targets; the members that do not fit any more follow.
		freeBytes -= m.targets.attachAll(m, p, freeBytes/joinNoticeShare)
		freeBytes -= m.quarantines.attachAll(m, p, freeBytes/joinNoticeShare)
	}
	if len(differing) > 0 {
		start := m.config.Random.IntN(len(differing))
		for i := range differing {
			m.addBucket(p, differing[(start+i)%len(differing)], &freeBytes)
		}
	}
	m.count(CountSyncSent)
	m.send(address, p, m.members[to])
}

// joinNoticeShare is the part of the free space of a joinReply that notices of each kind may take, as a divisor.
const joinNoticeShare = 4

// fieldReserveBytes is the number of bytes kept free in a packet for the fields that send sets.
const fieldReserveBytes = 150

// syncCapacity returns the bytes available for members in a packet. A joinReply may exceed the budget, unless that is
// overdrawn.
func (m *Membership) syncCapacity(kind cassiaschema.GossipKind, p *cassiaschema.GossipPacket) int {
	freeBytes := m.tuning.MaxPacketBytes - PacketOverhead - fieldReserveBytes - proto.Size(p)
	if kind == cassiaschema.GossipKind_joinReply && !m.budget.overdrawn() {
		return freeBytes
	}
	return min(freeBytes, m.budget.available())
}

// addBucket adds the live members of a bucket, and lists the bucket as whole when all of them fit.
func (m *Membership) addBucket(p *cassiaschema.GossipPacket, bucket uint32, freeBytes *int) {
	for _, member := range m.bucketMembers(bucket) {
		u := member.full()
		size := embeddedSize(u)
		if size > *freeBytes {
			return
		}
		*freeBytes -= size
		p.Updates = append(p.Updates, u)
	}
	p.WholeBuckets = append(p.WholeBuckets, bucket)
	*freeBytes -= 2
}

// bucketMembers returns the live members of a bucket, including this VM, sorted by name.
func (m *Membership) bucketMembers(bucket uint32) []Member {
	var members []Member
	if bucketOf(m.self.Name) == bucket && m.self.Live() {
		members = append(members, m.self)
	}
	for name, r := range m.members {
		if r.Live() && bucketOf(name) == bucket {
			members = append(members, r.Member)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

// replyToSync sends the peer the members that it lacks in the buckets that it sent completely (WholeBuckets), and those
// of which this VM has a newer state than the peer's updates.
func (m *Membership) replyToSync(from cassiaid.VMName, source Address, p *cassiaschema.GossipPacket) {
	peerUpdates := make(map[cassiaid.VMName]*cassiaschema.MemberUpdate, len(p.GetUpdates()))
	for _, u := range p.GetUpdates() {
		peerUpdates[cassiaid.VMName(u.GetName())] = u
	}
	reply := &cassiaschema.GossipPacket{Kind: cassiaschema.GossipKind_push}
	freeBytes := m.syncCapacity(cassiaschema.GossipKind_sync, reply)
	for _, bucket := range p.GetWholeBuckets() {
		m.addMissing(reply, bucket, peerUpdates, &freeBytes)
	}
	for _, u := range p.GetUpdates() {
		m.addNewer(reply, u, &freeBytes)
	}
	if len(reply.GetUpdates()) > 0 {
		m.count(CountSyncSent)
		m.send(source, reply, m.members[from])
	}
}

// addMissing adds the live members of a bucket that the peer's updates do not list.
func (m *Membership) addMissing(reply *cassiaschema.GossipPacket, bucket uint32, peerUpdates map[cassiaid.VMName]*cassiaschema.MemberUpdate, freeBytes *int) {
	for _, member := range m.bucketMembers(bucket) {
		if peerUpdates[member.Name] == nil {
			addUpdate(reply, member.full(), freeBytes)
		}
	}
}

// addNewer adds what this VM knows of a member when that is newer than the peer's update.
func (m *Membership) addNewer(reply *cassiaschema.GossipPacket, u *cassiaschema.MemberUpdate, freeBytes *int) {
	if u.GetName() == string(m.self.Name) && Incarnation(u.GetIncarnation()) < m.self.Incarnation {
		addUpdate(reply, m.self.full(), freeBytes)
		return
	}
	known, ok := m.members[cassiaid.VMName(u.GetName())]
	if !ok || !supersedes(known.brief(), memberOf(u)) {
		return
	}
	if known.Live() {
		addUpdate(reply, known.full(), freeBytes)
	} else {
		addUpdate(reply, known.brief(), freeBytes)
	}
}

func addUpdate(p *cassiaschema.GossipPacket, u *cassiaschema.MemberUpdate, freeBytes *int) {
	if size := embeddedSize(u); size <= *freeBytes {
		*freeBytes -= size
		p.Updates = append(p.Updates, u)
	}
}

package cassiamember

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"cassiasaddle/core/cassiaschema"
)

// broadcastKind keeps the keys of members, fingerprints and targets apart.
type broadcastKind uint8

const (
	memberBroadcast broadcastKind = iota
	quarantineBroadcast
	targetBroadcast
)

// broadcastKey identifies what a broadcast is about.
type broadcastKey struct {
	kind        broadcastKind
	name        string
	fingerprint uint64
}

// broadcast is an update queued for the other members.
type broadcast struct {
	key broadcastKey
	// transmits is the number of packets that have carried the update, size the number of bytes it takes in a packet.
	transmits int
	size      int
	// attach adds the update to a packet; a notice gets the time that it has left at that moment.
	attach func(*cassiaschema.GossipPacket)
}

// broadcastQueue holds the updates still to be sent, those sent least often first.
type broadcastQueue struct{ queue []broadcast }

// add inserts a broadcast at the front and removes an older one with the same key.
func (q *broadcastQueue) add(item broadcast) {
	q.remove(item.key)
	q.queue = slices.Insert(q.queue, 0, item)
}

// remove drops the broadcast with a key.
func (q *broadcastQueue) remove(key broadcastKey) {
	q.queue = slices.DeleteFunc(q.queue, func(item broadcast) bool { return item.key == key })
}

// fill attaches the updates that fit into the free bytes to a packet and returns the bytes added. It then drops the
// updates that have been sent in limit packets.
func (q *broadcastQueue) fill(p *cassiaschema.GossipPacket, freeBytes, limit int) int {
	added, attached := 0, 0
	for i := range q.queue {
		item := &q.queue[i]
		if added+item.size > freeBytes {
			continue
		}
		item.attach(p)
		item.transmits++
		added += item.size
		attached++
	}
	if attached > 0 {
		q.queue = slices.DeleteFunc(q.queue, func(item broadcast) bool { return item.transmits >= limit })
		slices.SortStableFunc(q.queue, func(a, b broadcast) int { return cmp.Compare(a.transmits, b.transmits) })
	}
	return added
}

// fieldOverhead is the number of bytes that an embedded message needs besides its content: one for the tag, one for a
// length below 128, and one to spare.
const fieldOverhead = 3

// embeddedSize returns the number of bytes that a message takes inside a packet.
func embeddedSize(message proto.Message) int { return proto.Size(message) + fieldOverhead }

// newMemberBroadcast returns the broadcast of an update about a member.
func newMemberBroadcast(u *cassiaschema.MemberUpdate) broadcast {
	return broadcast{
		key:    broadcastKey{kind: memberBroadcast, name: u.GetName()},
		size:   embeddedSize(u),
		attach: func(p *cassiaschema.GossipPacket) { p.Updates = append(p.Updates, u) },
	}
}

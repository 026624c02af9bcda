package cassiamember

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"cassiasaddle/core/cassiaschema"
)

// rumourKind separates the names of members, fingerprints and targets.
type rumourKind uint8

const (
	memberRumour rumourKind = iota
	quarantineRumour
	targetRumour
)

// rumourKey identifies what a rumour is about.
type rumourKey struct {
	kind        rumourKind
	name        string
	fingerprint uint64
}

// rumour is one update on its way to the other members.
type rumour struct {
	key   rumourKey
	sends int
	size  int
	// attach adds the update to a packet, with the remaining time as of now where it has one.
	attach func(*cassiaschema.GossipPacket)
}

// rumours are the updates still to be sent on, those sent least often first.
type rumours struct{ queue []rumour }

// add puts an update at the front; it replaces an older one about the same.
func (r *rumours) add(item rumour) {
	r.remove(item.key)
	r.queue = slices.Insert(r.queue, 0, item)
}

// remove drops the update about a key.
func (r *rumours) remove(key rumourKey) {
	r.queue = slices.DeleteFunc(r.queue, func(item rumour) bool { return item.key == key })
}

// fill attaches updates to a packet while they fit into the room, and returns the bytes added.
func (r *rumours) fill(p *cassiaschema.GossipPacket, room, limit int) int {
	added, taken := 0, 0
	for i := range r.queue {
		item := &r.queue[i]
		if added+item.size > room {
			continue
		}
		item.attach(p)
		item.sends++
		added += item.size
		taken++
	}
	if taken > 0 {
		r.queue = slices.DeleteFunc(r.queue, func(item rumour) bool { return item.sends >= limit })
		slices.SortStableFunc(r.queue, func(a, b rumour) int { return cmp.Compare(a.sends, b.sends) })
	}
	return added
}

// fieldOverhead is the tag and the length of an embedded message below 128 bytes, and one byte to spare.
const fieldOverhead = 3

// embeddedSize returns the bytes that a message takes inside a packet.
func embeddedSize(message proto.Message) int { return proto.Size(message) + fieldOverhead }

// rumourOf returns the rumour that spreads an update of a member.
func rumourOf(u *cassiaschema.MemberUpdate) rumour {
	return rumour{
		key:    rumourKey{kind: memberRumour, name: u.GetName()},
		size:   embeddedSize(u),
		attach: func(p *cassiaschema.GossipPacket) { p.Updates = append(p.Updates, u) },
	}
}

package cassiamember

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"cassiasaddle/core/cassiaid"
)

const (
	// bucketCount is the number of buckets that members are hashed into; views are compared bucket by bucket.
	bucketCount = 128
	// bucketDigestBytes is the length of the digest of one bucket in a packet.
	bucketDigestBytes = 2
)

// digest holds a hash of the live members of each bucket. It does not depend on the order in which they were added.
type digest struct{ buckets [bucketCount]uint64 }

// toggle adds a live member, or removes it when it was added before with the same incarnation and leaving state. It
// ignores a dead member.
func (d *digest) toggle(member Member) {
	if member.Live() {
		d.buckets[bucketOf(member.Name)] ^= hashOf(member)
	}
}

// root returns one hash of the whole view.
func (d *digest) root() uint64 {
	var root uint64
	for _, b := range d.buckets {
		root ^= b
	}
	return root
}

// encode returns the digests of all buckets. Two different views that yield equal digests under one salt will most
// likely differ under the next.
func (d *digest) encode(salt uint64) []byte {
	encoded := make([]byte, 0, bucketCount*bucketDigestBytes)
	for _, b := range d.buckets {
		encoded = binary.LittleEndian.AppendUint16(encoded, salted(b, salt))
	}
	return encoded
}

// differing returns the buckets in which an encoded digest differs from this one, none when its length is wrong.
func (d *digest) differing(encoded []byte, salt uint64) []uint32 {
	var buckets []uint32
	if len(encoded) != bucketCount*bucketDigestBytes {
		return nil
	}
	for i, b := range d.buckets {
		if binary.LittleEndian.Uint16(encoded[i*bucketDigestBytes:]) != salted(b, salt) {
			buckets = append(buckets, uint32(i))
		}
	}
	return buckets
}

func bucketOf(name cassiaid.VMName) uint32 {
	return uint32(xxhash.Sum64String(string(name)) % bucketCount)
}

// hashOf returns a hash of a member's name, incarnation and whether it is leaving. A suspect counts as alive, since a
// suspicion ends by itself.
func hashOf(member Member) uint64 {
	encoded := append([]byte(member.Name), byte(0))
	if member.State == Leaving {
		encoded = append(encoded, 1)
	}
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(encoded, uint64(member.Incarnation)))
}

// salted returns the upper 16 bits of the hash of a bucket's sum and a salt.
func salted(sum, salt uint64) uint16 {
	var encoded [16]byte
	binary.LittleEndian.PutUint64(encoded[:], sum)
	binary.LittleEndian.PutUint64(encoded[8:], salt)
	return uint16(xxhash.Sum64(encoded[:]) >> 48)
}

package cassiaroute

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// MaxPeerMessages bounds the messages that one query sends to other VMs, and those that it receives.
const MaxPeerMessages = 12

// plannedMessages is the part of MaxPeerMessages for first attempts; hedges, retries and split replies use the rest.
const plannedMessages = MaxPeerMessages / 2

// Slices returns into how many contiguous slices the shards of a front are cut in each zone.
func Slices(front *cassiaschema.Front) int {
	zones := make(map[string]struct{})
	for _, s := range front.GetShards() {
		for _, t := range s.GetTargets() {
			zones[t.GetAvailabilityZone()] = struct{}{}
		}
	}
	if len(zones) == 0 {
		return 1
	}
	slices := max(1, plannedMessages/len(zones))
	return min(slices, max(1, len(front.GetShards())))
}

// sliceOf returns the slice that a shard belongs to.
func sliceOf(shard cassiaid.ShardIndex, shards, slices int) int {
	if shards == 0 {
		return 0
	}
	return int(shard) * slices / shards
}

// sliceID names the targets of one zone in one slice of a front.
type sliceID struct {
	front cassiaid.FrontKey
	zone  cassiaid.Zone
	slice int
}

// key returns the slice's hash for the choice of owners.
func (s sliceID) key() uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range []string{string(s.front.Team), string(s.front.Front), string(s.zone)} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], uint64(s.slice))
	_, _ = digest.Write(number[:])
	return digest.Sum64()
}

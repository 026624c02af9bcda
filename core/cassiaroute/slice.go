package cassiaroute

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// MaxPeerMessages limits the messages that one query sends to other VMs, and also those that it receives.
const MaxPeerMessages = 12

const (
	// fewZonesMessages is the part of MaxPeerMessages for the first attempts of a query that asks as few zones as
	// possible.
	fewZonesMessages = MaxPeerMessages / 2
	// allZonesMessages is the part for the first attempts of a query that asks every zone; hedges, retries and
	// cancellations have the rest.
	allZonesMessages = MaxPeerMessages * 2 / 3
)

// Slices returns the number of contiguous slices into which a front's shards are divided in each zone. More slices
// spread the work over more owners; their number is limited so that a query's first attempts stay within
// fewZonesMessages and allZonesMessages.
func Slices(front *cassiaschema.Front) int {
	zones := zonesOf(front)
	if len(zones) == 0 {
		return 1
	}
	count := min(fewZonesMessages/maxZonesAsked(front, zones), allZonesMessages/len(zones))
	return min(max(1, count), len(front.GetShards()))
}

func zonesOf(front *cassiaschema.Front) []string {
	seen := make(map[string]bool)
	var zones []string
	for _, s := range front.GetShards() {
		for _, t := range s.GetTargets() {
			if zone := t.GetAvailabilityZone(); !seen[zone] {
				seen[zone] = true
				zones = append(zones, zone)
			}
		}
	}
	return zones
}

// maxZonesAsked returns how many zones a query of the front has to ask if it comes from the least favorable zone.
func maxZonesAsked(front *cassiaschema.Front, zones []string) int {
	needed := 1
	for _, local := range zones {
		needed = max(needed, len(zonesAskedFrom(front, zones, local)))
	}
	return needed
}

// zonesAskedFrom returns the zones that a query asks: the local one, then always the zone that serves the most of the
// remaining shards.
func zonesAskedFrom(front *cassiaschema.Front, zones []string, local string) []string {
	left := front.GetShards()
	cover := []string{}
	for zone := local; len(left) > 0; zone = zoneWithMostShards(left, zones) {
		cover = append(cover, zone)
		left = shardsNotIn(left, zone)
	}
	return cover
}

func zoneWithMostShards(shards []*cassiaschema.Shard, zones []string) string {
	var widest string
	fewest := len(shards)
	for _, zone := range zones {
		if left := len(shardsNotIn(shards, zone)); left < fewest {
			widest, fewest = zone, left
		}
	}
	return widest
}

// shardsNotIn returns the shards that have targets, but none in a zone.
func shardsNotIn(shards []*cassiaschema.Shard, zone string) []*cassiaschema.Shard {
	var left []*cassiaschema.Shard
	for _, s := range shards {
		if len(s.GetTargets()) > 0 && !hasTargetIn(s, zone) {
			left = append(left, s)
		}
	}
	return left
}

func hasTargetIn(s *cassiaschema.Shard, zone string) bool {
	return slices.ContainsFunc(s.GetTargets(), func(t *cassiaschema.Target) bool { return t.GetAvailabilityZone() == zone })
}

// sliceOf returns the slice that a shard belongs to.
func sliceOf(shard cassiaid.ShardIndex, shards, count int) int {
	if shards == 0 {
		return 0
	}
	return int(shard) * count / shards
}

// sliceID returns the slice of a shard's targets in a zone; key is the front's own.
func (f *front) sliceID(key cassiaid.FrontKey, index cassiaid.ShardIndex, zone cassiaid.Zone) sliceID {
	return sliceID{front: key, zone: zone, slice: sliceOf(index, len(f.settings.GetShards()), f.slices)}
}

// sliceID identifies the targets of one zone in one slice of a front.
type sliceID struct {
	front cassiaid.FrontKey
	zone  cassiaid.Zone
	slice int
}

// key returns the slice's key for rendezvous hashing.
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

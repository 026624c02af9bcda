package cassiaplan

import (
	"slices"

	"cassiasaddle/core/cassiaid"
)

// shardCandidates is a shard with the replicas that may be asked for it.
type shardCandidates struct {
	shard      *shard
	candidates []candidate
}

// bestInZone returns the candidate in a zone with the least expected latency, and false if the zone has none.
func (c shardCandidates) bestInZone(zone cassiaid.Zone) (candidate, bool) {
	var best candidate
	for _, o := range c.candidates {
		if o.zone == zone && (best.target == "" || o.latency < best.latency) {
			best = o
		}
	}
	return best, best.target != ""
}

// pickCandidates picks one candidate for each shard so that few owners get a message: one in the local zone if there is
// one, otherwise one in the zone that serves the most of the remaining shards. rotation breaks ties between zones. Each
// shard must have at least one candidate, or pickCandidates does not return.
func pickCandidates(shards []shardCandidates, local cassiaid.Zone, rotation uint64) []candidate {
	picked := make([]candidate, len(shards))
	zones := rotate(candidateZones(shards), rotation)
	unpicked := len(shards)
	for zone := local; unpicked > 0; zone = zoneOfMost(shards, picked, zones) {
		for i, c := range shards {
			if picked[i].target != "" {
				continue
			}
			if o, ok := c.bestInZone(zone); ok {
				picked[i] = o
				unpicked--
			}
		}
	}
	return picked
}

// zoneOfMost returns the zone that has candidates for the most shards that have no picked candidate yet; the first such
// zone in zones wins a tie.
func zoneOfMost(shards []shardCandidates, picked []candidate, zones []cassiaid.Zone) cassiaid.Zone {
	var best cassiaid.Zone
	most := 0
	for _, zone := range zones {
		count := 0
		for i, c := range shards {
			if picked[i].target != "" {
				continue
			}
			if _, ok := c.bestInZone(zone); ok {
				count++
			}
		}
		if count > most {
			best, most = zone, count
		}
	}
	return best
}

// candidateZones returns the distinct zones of all candidates, sorted.
func candidateZones(shards []shardCandidates) []cassiaid.Zone {
	var zones []cassiaid.Zone
	for _, c := range shards {
		for _, o := range c.candidates {
			if !slices.Contains(zones, o.zone) {
				zones = append(zones, o.zone)
			}
		}
	}
	slices.Sort(zones)
	return zones
}

// rotate returns zones rotated left by the given count.
func rotate(zones []cassiaid.Zone, by uint64) []cassiaid.Zone {
	if len(zones) == 0 {
		return zones
	}
	at := int(by % uint64(len(zones)))
	return append(slices.Clone(zones[at:]), zones[:at]...)
}

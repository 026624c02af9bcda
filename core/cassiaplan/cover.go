package cassiaplan

import (
	"slices"

	"cassiasaddle/core/cassiaid"
)

// shardCandidates is a shard with the replicas that it may be asked at.
type shardCandidates struct {
	shard      *shard
	candidates []candidate
}

// bestInZone returns the cheapest option in a zone.
func (c shardCandidates) bestInZone(zone cassiaid.Zone) (candidate, bool) {
	var best candidate
	for _, o := range c.candidates {
		if o.zone == zone && (best.target == "" || o.latency < best.latency) {
			best = o
		}
	}
	return best, best.target != ""
}

// pickCandidates gives each choice one of its options: in the local zone where there is one, else in the zones that serve the
// most of the rest, so that few peers get a message. rotation breaks ties.
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

// zoneOfMost returns the zone with options for the most choices that have none picked.
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

func rotate(zones []cassiaid.Zone, by uint64) []cassiaid.Zone {
	if len(zones) == 0 {
		return zones
	}
	at := int(by % uint64(len(zones)))
	return append(slices.Clone(zones[at:]), zones[:at]...)
}

package cassiaplan

import (
	"slices"

	"cassiasaddle/core/cassiaid"
)

// choice is a shard with the replicas that it may be asked at.
type choice struct {
	shard   *shard
	options []candidate
}

// inZone returns the cheapest option in a zone.
func (c choice) inZone(zone cassiaid.Zone) (candidate, bool) {
	var best candidate
	for _, o := range c.options {
		if o.zone == zone && (best.target == "" || o.cost < best.cost) {
			best = o
		}
	}
	return best, best.target != ""
}

// cover gives each choice one of its options: in the local zone where there is one, else in the zones that serve the
// most of the rest, so that few peers get a message. rotation breaks ties.
func cover(choices []choice, local cassiaid.Zone, rotation uint64) []candidate {
	picked := make([]candidate, len(choices))
	zones := rotate(zonesOf(choices), rotation)
	left := len(choices)
	for zone := local; left > 0; zone = widest(choices, picked, zones) {
		for i, c := range choices {
			if picked[i].target != "" {
				continue
			}
			if o, ok := c.inZone(zone); ok {
				picked[i] = o
				left--
			}
		}
	}
	return picked
}

// widest returns the zone with options for the most choices that have none picked.
func widest(choices []choice, picked []candidate, zones []cassiaid.Zone) cassiaid.Zone {
	var best cassiaid.Zone
	most := 0
	for _, zone := range zones {
		count := 0
		for i, c := range choices {
			if picked[i].target != "" {
				continue
			}
			if _, ok := c.inZone(zone); ok {
				count++
			}
		}
		if count > most {
			best, most = zone, count
		}
	}
	return best
}

func zonesOf(choices []choice) []cassiaid.Zone {
	var zones []cassiaid.Zone
	for _, c := range choices {
		for _, o := range c.options {
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

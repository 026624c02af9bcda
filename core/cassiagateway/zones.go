package cassiagateway

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiarendezvous"
)

const (
	// otherZoneFactor multiplies the score of targets for each zone that is preferred to theirs.
	otherZoneFactor = 1.15
	// similarCoverage is the share of the shards that the best zone covers from which on another zone counts as good. The VMs choose
	// different ones of such zones, and keep their choice when a few targets come or go.
	similarCoverage = 0.8
)

// zoneOrder is a list of zones, the preferred one first. All zones that it lacks come after them; a zone counts as preferred if the list
// is empty.
type zoneOrder []cassiaid.Zone

// factor returns the factor on the score of targets in a zone.
func (o zoneOrder) factor(zone cassiaid.Zone) float64 {
	factor := 1.0
	for _, preferred := range o {
		if preferred == zone {
			break
		}
		factor *= otherZoneFactor
	}
	return factor
}

// zoneOrder returns the order of zones for the targets that a query may use: this VM's own zone, then the zone with targets for most of the
// shards that are left, and so on. Results from one zone are merged there, so a fan-out that spreads the shards that its own zone lacks
// over all others costs many messages with little in each.
func (g *Gateway) zoneOrder(now time.Time, q *query) zoneOrder {
	r := q.route
	if g.settings.Zone == "" || !r.FansOut() {
		return zoneOrder{g.settings.Zone}
	}
	state := g.routeState(r.Name, now)
	if state.zonesRoute != r || state.zonesTargets != g.targetsNumber {
		state.zones = make(map[string]zoneOrder)
		state.zonesRoute, state.zonesTargets = r, g.targetsNumber
	}
	order, known := state.zones[q.regions.key()]
	if !known {
		shardZones := make([][]cassiaid.Zone, 0, len(r.Shards))
		for _, name := range r.Shards {
			shardZones = append(shardZones, g.service(name).zones(q.allowed))
		}
		order = coverShards(g.settings.Zone, shardZones, g.zoneScore)
		state.zones[q.regions.key()] = order
	}
	return order
}

// zoneScore returns a score by which this VM chooses between zones that are equally good.
func (g *Gateway) zoneScore(zone cassiaid.Zone) float64 {
	return cassiarendezvous.Score(xxhash.Sum64String(string(g.settings.Name)+" "+string(zone)), 1)
}

// zones returns the allowed zones with targets of the service, each once.
func (s *service) zones(allowed zoneFilter) []cassiaid.Zone {
	var zones []cassiaid.Zone
	for _, t := range s.targets {
		if !slices.Contains(zones, t.Zone) && allowed.allows(t.Zone) {
			zones = append(zones, t.Zone)
		}
	}
	return zones
}

// coverShards orders zones by greedy set cover: the own zone first if it has targets of any shard, then each time one that covers about
// as many of the remaining shards as any other; the score chooses between those.
func coverShards(own cassiaid.Zone, shardZones [][]cassiaid.Zone, score func(cassiaid.Zone) float64) zoneOrder {
	var order zoneOrder
	left := slices.DeleteFunc(shardZones, func(zones []cassiaid.Zone) bool { return len(zones) == 0 })
	for len(left) > 0 {
		covered := make(map[cassiaid.Zone]int)
		most := 0
		for _, zones := range left {
			for _, zone := range zones {
				covered[zone]++
				most = max(most, covered[zone])
			}
		}
		next, found := own, covered[own] > 0 && len(order) == 0
		for zone, n := range covered {
			switch {
			case len(order) == 0 && covered[own] > 0:
			case float64(n) < similarCoverage*float64(most):
			case !found || score(zone) > score(next):
				next, found = zone, true
			}
		}
		order = append(order, next)
		left = slices.DeleteFunc(left, func(zones []cassiaid.Zone) bool { return slices.Contains(zones, next) })
	}
	return order
}

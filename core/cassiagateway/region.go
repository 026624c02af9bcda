package cassiagateway

import (
	"slices"
	"strings"

	"cassiasaddle/core/cassiacatalog"
	"cassiasaddle/core/cassiaid"
)

// regions are the regions in which a request may run, and to whose VMs its body may be sent. The zero value stands for all regions.
type regions struct {
	// restricted is true if only the listed regions are allowed; there may be none.
	restricted bool
	allowed    []cassiaid.Region
}

// allowedRegions returns the regions that both a route and a team allow; the team may be nil.
func allowedRegions(route *cassiacatalog.Route, team *cassiacatalog.Team) regions {
	var lists [][]cassiaid.Region
	if len(route.Regions) > 0 {
		lists = append(lists, route.Regions)
	}
	if team != nil && len(team.Regions) > 0 {
		lists = append(lists, team.Regions)
	}
	if len(lists) == 0 {
		return regions{}
	}
	allowed := slices.Clone(lists[0])
	for _, list := range lists[1:] {
		allowed = slices.DeleteFunc(allowed, func(r cassiaid.Region) bool { return !slices.Contains(list, r) })
	}
	return regions{restricted: true, allowed: allowed}
}

// key identifies the regions; it is empty if all are allowed.
func (r regions) key() string {
	if !r.restricted {
		return ""
	}
	var key strings.Builder
	for _, region := range r.allowed {
		key.WriteString("/" + string(region))
	}
	return "only" + key.String()
}

// zoneFilter reports whether a zone may be used; nil stands for all zones.
type zoneFilter func(zone cassiaid.Zone) bool

func (f zoneFilter) allows(zone cassiaid.Zone) bool { return f == nil || f(zone) }

// zonesIn returns a filter for the zones of regions. A zone whose region is not known is in none.
func (g *Gateway) zonesIn(r regions) zoneFilter {
	if !r.restricted {
		return nil
	}
	return func(zone cassiaid.Zone) bool {
		region := g.settings.ZoneRegions[zone]
		return region != "" && slices.Contains(r.allowed, region)
	}
}

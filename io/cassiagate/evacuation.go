package cassiagate

import (
	"slices"

	"github.com/go-kit/log/level"

	"cassiasaddle/core/cassiaid"
)

// evacuationsChanged reports the zones that were evacuated or restored between two lists of evacuated zones.
func (r *Report) evacuationsChanged(before, after []cassiaid.Zone) {
	if slices.Equal(before, after) {
		return
	}
	changed := func(event string, from, to []cassiaid.Zone) {
		for _, zone := range to {
			if !slices.Contains(from, zone) {
				r.count("evacuations", "event", event)
				level.Warn(r.logger).Log("event", event, "targetZone", zone, "evacuated", len(after))
			}
		}
	}
	changed("zoneEvacuated", before, after)
	changed("zoneRestored", after, before)
	r.scope.Gauge("evacuated_zones").Update(float64(len(after)))
}

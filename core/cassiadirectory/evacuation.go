package cassiadirectory

import (
	"maps"
	"slices"
	"time"

	"cassiasaddle/core/cassiaid"
)

// ZoneEvacuated reports that nothing may be sent to the targets of a zone until ZoneRestored.
type ZoneEvacuated struct{ Zone cassiaid.Zone }

// ZoneRestored reports that the targets of a zone may be used again.
type ZoneRestored struct{ Zone cassiaid.Zone }

func (ZoneEvacuated) isMessage() {}
func (ZoneRestored) isMessage()  {}

// evacuation knows which zones are evacuated. It keeps its state while the store is lost: only a message changes it. The zero value
// has no evacuated zone.
type evacuation struct {
	evacuated map[cassiaid.Zone]bool
	// restoredAt is when a zone was last restored.
	restoredAt map[cassiaid.Zone]time.Time
}

// evacuate reports whether the zone was not evacuated before.
func (e *evacuation) evacuate(zone cassiaid.Zone) bool {
	if e.evacuated[zone] {
		return false
	}
	if e.evacuated == nil {
		e.evacuated = make(map[cassiaid.Zone]bool)
	}
	e.evacuated[zone] = true
	delete(e.restoredAt, zone)
	return true
}

// restore reports whether the zone was evacuated before.
func (e *evacuation) restore(now time.Time, zone cassiaid.Zone) bool {
	if !e.evacuated[zone] {
		return false
	}
	if e.restoredAt == nil {
		e.restoredAt = make(map[cassiaid.Zone]time.Time)
	}
	delete(e.evacuated, zone)
	e.restoredAt[zone] = now
	return true
}

// replace makes exactly the given zones evacuated.
func (e *evacuation) replace(now time.Time, zones []cassiaid.Zone) {
	for zone := range e.evacuated {
		if !slices.Contains(zones, zone) {
			e.restore(now, zone)
		}
	}
	for _, zone := range zones {
		e.evacuate(zone)
	}
}

// EvacuatedZones returns the zones that are evacuated, sorted by name.
func (d *Directory) EvacuatedZones() []cassiaid.Zone {
	return slices.Sorted(maps.Keys(d.evacuation.evacuated))
}

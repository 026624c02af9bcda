package cassiasettings

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cassiasaddle/core/cassiaid"
)

// watchersPerZone is how many VMs of a zone watch the store for all VMs of the zone.
const watchersPerZone = 2

// Watchers returns the live members that watch the store: the first two of each zone by rendezvous hash.
func Watchers(members []Member) map[cassiaid.Zone][]cassiaid.VMName {
	byZone := make(map[cassiaid.Zone][]cassiaid.VMName)
	for _, m := range members {
		byZone[m.Zone] = append(byZone[m.Zone], m.Name)
	}
	for zone, names := range byZone {
		slices.SortFunc(names, func(a, b cassiaid.VMName) int {
			if c := cmp.Compare(watcherWeight(zone, b), watcherWeight(zone, a)); c != 0 {
				return c
			}
			return cmp.Compare(a, b)
		})
		byZone[zone] = names[:min(watchersPerZone, len(names))]
	}
	return byZone
}

func watcherWeight(zone cassiaid.Zone, name cassiaid.VMName) uint64 {
	return xxhash.Sum64String(string(zone) + "\x00" + string(name))
}

package cassiaroute

import (
	"cmp"
	"slices"

	"cassiasaddle/core/cassiaid"
)

// SliceOwners lists the owners of one slice of a front's targets in one zone, the primary first.
type SliceOwners struct {
	Front  cassiaid.FrontKey
	Slice  int
	Zone   cassiaid.Zone
	Owners []cassiaid.VMName
}

// AllOwners returns the owners of every slice, sorted by front, slice and zone.
func (t *Table) AllOwners() []SliceOwners {
	var all []SliceOwners
	for key := range t.fronts {
		all = append(all, t.sliceOwners(key)...)
	}
	slices.SortFunc(all, func(a, b SliceOwners) int {
		return cmp.Or(cmp.Compare(a.Front.String(), b.Front.String()), cmp.Compare(a.Slice, b.Slice), cmp.Compare(a.Zone, b.Zone))
	})
	return all
}

// FrontOwners returns the VMs that own targets of a front, sorted and without duplicates.
func (t *Table) FrontOwners(key cassiaid.FrontKey) []cassiaid.VMName {
	var owners []cassiaid.VMName
	for _, s := range t.sliceOwners(key) {
		owners = append(owners, s.Owners...)
	}
	slices.Sort(owners)
	return slices.Compact(owners)
}

func (t *Table) sliceOwners(key cassiaid.FrontKey) []SliceOwners {
	f := t.fronts[key]
	if f == nil {
		return nil
	}
	var all []SliceOwners
	seen := make(map[sliceID]bool)
	for i, s := range f.settings.GetShards() {
		index := cassiaid.ShardIndex(i)
		for _, replica := range s.GetTargets() {
			zone := cassiaid.Zone(replica.GetAvailabilityZone())
			id := f.sliceID(key, index, zone)
			if seen[id] {
				continue
			}
			seen[id] = true
			all = append(all, SliceOwners{Front: key, Slice: id.slice, Zone: zone, Owners: t.Owners(key, index, zone)})
		}
	}
	return all
}

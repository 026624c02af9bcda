package cassiasettings

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"cassiasaddle/core/cassiaid"
)

// watchersPerZone is how many VMs of a zone watch the store for all VMs of the zone.
const watchersPerZone = 2

// childrenPerVM is how many VMs of its zone have a VM as their first parent; as many have it as their second.
const childrenPerVM = 2

// ranked is a VM's name and its place in the rendezvous order of its zone; a lower place comes first.
type ranked struct {
	name  cassiaid.VMName
	place uint64
}

func (r ranked) before(o ranked) bool {
	return r.place < o.place || r.place == o.place && r.name < o.name
}

// Watchers returns the live members that watch the store: the first two of each zone by rendezvous hash.
func Watchers(members []Member) map[cassiaid.Zone][]cassiaid.VMName {
	first := make(map[cassiaid.Zone][]ranked)
	for _, m := range members {
		first[m.Zone] = insert(first[m.Zone], ranked{m.Name, rendezvousPlace(m.Zone, m.Name)})
	}
	watchers := make(map[cassiaid.Zone][]cassiaid.VMName, len(first))
	for zone, list := range first {
		for _, r := range list {
			watchers[zone] = append(watchers[zone], r.name)
		}
	}
	return watchers
}

// insert keeps the first few of a zone in order.
func insert(list []ranked, next ranked) []ranked {
	if len(list) == watchersPerZone && !next.before(list[watchersPerZone-1]) {
		return list
	}
	if len(list) < watchersPerZone {
		list = append(list, next)
	}
	i := len(list) - 1
	for ; i > 0 && next.before(list[i-1]); i-- {
		list[i] = list[i-1]
	}
	list[i] = next
	return list
}

func rendezvousPlace(zone cassiaid.Zone, name cassiaid.VMName) uint64 {
	var buffer [128]byte
	key := append(buffer[:0], zone...)
	key = append(key, 0)
	return xxhash.Sum64(append(key, name...))
}

// children returns the VMs of the zone that a VM tells of news. The zone's VMs form a tree in rendezvous order: the
// watchers come first, and each later VM has two parents before it, so that one lost VM cuts off nobody.
func children(members []Member, zone cassiaid.Zone, self cassiaid.VMName) []cassiaid.VMName {
	var order []ranked
	for _, m := range members {
		if m.Zone == zone {
			order = append(order, ranked{m.Name, rendezvousPlace(zone, m.Name)})
		}
	}
	slices.SortFunc(order, func(a, b ranked) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	var names []cassiaid.VMName
	for i := watchersPerZone; i < len(order); i++ {
		first, second := parents(i)
		if order[first].name == self || order[second].name == self {
			names = append(names, order[i].name)
		}
	}
	return names
}

// parents returns the places of the two parents of the VM at a place after the watchers.
func parents(place int) (first, second int) {
	first = (place - watchersPerZone) / childrenPerVM
	if first == 0 {
		return 0, 1
	}
	return first, first - 1
}

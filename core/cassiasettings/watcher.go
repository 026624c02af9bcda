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

// rankedMember is a VM's name and its place in the rendezvous order of its zone; a lower place comes first.
type rankedMember struct {
	name cassiaid.VMName
	hash uint64
}

func (r rankedMember) before(o rankedMember) bool {
	return r.hash < o.hash || r.hash == o.hash && r.name < o.name
}

// Watchers returns the live members that watch the store: the first two of each zone by rendezvous hash.
func Watchers(members []Member) map[cassiaid.Zone][]cassiaid.VMName {
	lowest := make(map[cassiaid.Zone][]rankedMember)
	for _, m := range members {
		lowest[m.Zone] = insertRanked(lowest[m.Zone], rankedMember{m.Name, rendezvousHash(m.Zone, m.Name)})
	}
	watchers := make(map[cassiaid.Zone][]cassiaid.VMName, len(lowest))
	for zone, list := range lowest {
		for _, r := range list {
			watchers[zone] = append(watchers[zone], r.name)
		}
	}
	return watchers
}

// insertRanked keeps the first few of a zone in order.
func insertRanked(list []rankedMember, next rankedMember) []rankedMember {
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

func rendezvousHash(zone cassiaid.Zone, name cassiaid.VMName) uint64 {
	var buffer [128]byte
	key := append(buffer[:0], zone...)
	key = append(key, 0)
	return xxhash.Sum64(append(key, name...))
}

// children returns the VMs of the zone that a VM tells of news. The zone's VMs form a tree in rendezvous order: the
// watchers come first, and each later VM has two parents before it, so that one lost VM cuts off nobody.
func children(members []Member, zone cassiaid.Zone, self cassiaid.VMName) []cassiaid.VMName {
	var order []rankedMember
	for _, m := range members {
		if m.Zone == zone {
			order = append(order, rankedMember{m.Name, rendezvousHash(zone, m.Name)})
		}
	}
	slices.SortFunc(order, func(a, b rankedMember) int {
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
func parents(index int) (first, second int) {
	first = (index - watchersPerZone) / childrenPerVM
	if first == 0 {
		return 0, 1
	}
	return first, first - 1
}

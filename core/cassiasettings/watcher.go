package cassiasettings

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"cassiasaddle/core/cassiaid"
)

// watchersPerZone is the number of VMs of a zone that watch the store on behalf of the whole zone.
const watchersPerZone = 2

// childrenPerVM is the number of VMs that have a given VM as their first parent in the zone's distribution tree. As
// many have it as their second parent, except that the second VM in rendezvous hash order has twice as many.
const childrenPerVM = 2

// rankedMember is a VM and the rendezvous hash that ranks it in its zone. The lowest hash comes first.
type rankedMember struct {
	name cassiaid.VMName
	hash uint64
}

func (r rankedMember) before(o rankedMember) bool {
	return r.hash < o.hash || r.hash == o.hash && r.name < o.name
}

// Watchers returns the names of the live members that watch the store, by zone: the first two of each zone in rendezvous
// hash order.
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

// insertRanked inserts a member into a sorted list that keeps only the first watchersPerZone members.
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

// children returns the VMs of its zone to which a VM pushes digests. The VMs of a zone form a distribution tree in
// rendezvous hash order: the watchers come first, and each later VM has two parents that precede it, so that the loss of
// one VM cuts off no other VM.
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

// parents returns the indexes of the two parents of the VM at index in rendezvous hash order. The index must not be that
// of a watcher; watchers have no parents.
func parents(index int) (first, second int) {
	first = (index - watchersPerZone) / childrenPerVM
	if first == 0 {
		return 0, 1
	}
	return first, first - 1
}

package cassiaquota

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiarendezvous"
)

// slots is the number of groups of teams that have the same coordinators. It is small enough that all of them are assigned on each new
// list of VMs, whatever the number of teams.
const slots = 32

// VM is a VM on the list of VMs.
type VM struct {
	Name cassiaid.VMName
	Zone cassiaid.Zone
	// Cores is the processor capacity, the weight by which coordinators are chosen.
	Cores float64
}

// assignment names the coordinators of all parts. It depends only on the list of VMs, so VMs with the same list agree on it.
type assignment struct {
	coordinators [slots][maxParts]cassiaid.VMName
	// reserve holds the VMs that may use the reserve, in order of rank.
	reserve    [slots][]cassiaid.VMName
	candidates []cassiaid.VMName
}

// slotOf returns the slot of a team.
func slotOf(team cassiaid.TeamName) int { return int(xxhash.Sum64String(string(team)) % slots) }

// partOf returns the part that a VM can coordinate. It does not depend on the other VMs, so that the loss of one changes the
// coordinators of no other part. Names that differ in their last digit have different parts.
func partOf(vm cassiaid.VMName) int {
	sum := 0
	for _, b := range []byte(vm) {
		sum += int(b)
	}
	return sum % maxParts
}

func score(key string, vm VM) float64 {
	return cassiarendezvous.Score(xxhash.Sum64String(key+" "+string(vm.Name)), vm.Cores)
}

// assign chooses the coordinators among the VMs of a list: in each availability zone one candidate for each part, and among the candidates
// for a part one for each slot.
func assign(vms []VM) *assignment {
	a := &assignment{}
	candidates := candidatesOf(vms)
	for _, part := range candidates {
		for _, vm := range part {
			a.candidates = append(a.candidates, vm.Name)
		}
	}
	for slot := range slots {
		key := "quota " + strconv.Itoa(slot)
		for part := range maxParts {
			a.coordinators[slot][part] = best(key, nonEmptyFrom(candidates, part)).Name
		}
		ranked := slices.Clone(vms)
		scores := make(map[cassiaid.VMName]float64, len(vms))
		for _, vm := range vms {
			scores[vm.Name] = score("reserve "+strconv.Itoa(slot), VM{Name: vm.Name})
		}
		slices.SortFunc(ranked, func(x, y VM) int { return cmp.Compare(scores[y.Name], scores[x.Name]) })
		for _, vm := range ranked[:min(len(ranked), maxReserve)] {
			a.reserve[slot] = append(a.reserve[slot], vm.Name)
		}
	}
	return a
}

// candidatesOf returns the candidates for each part: in each zone the VM with the highest score among those that can coordinate it.
func candidatesOf(vms []VM) [maxParts][]VM {
	type place struct {
		zone cassiaid.Zone
		part int
	}
	byPlace := make(map[place][]VM)
	var places []place
	for _, vm := range vms {
		p := place{zone: vm.Zone, part: partOf(vm.Name)}
		if byPlace[p] == nil {
			places = append(places, p)
		}
		byPlace[p] = append(byPlace[p], vm)
	}
	var candidates [maxParts][]VM
	for _, p := range places {
		candidates[p.part] = append(candidates[p.part], best("quota candidate", byPlace[p]))
	}
	return candidates
}

// nonEmptyFrom returns the candidates for a part, or those for the next part that has any.
func nonEmptyFrom(candidates [maxParts][]VM, part int) []VM {
	for i := range maxParts {
		if c := candidates[(part+i)%maxParts]; len(c) > 0 {
			return c
		}
	}
	return nil
}

// best returns the VM with the highest score for a key; the zero VM if there is none.
func best(key string, vms []VM) VM {
	if len(vms) == 0 {
		return VM{}
	}
	return slices.MaxFunc(vms, func(x, y VM) int { return cmp.Compare(score(key, x), score(key, y)) })
}

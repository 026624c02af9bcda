package cassiaroute

import (
	"github.com/cespare/xxhash/v2"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiarendezvous"
)

// OwnersPerSlice is how many VMs own a slice of targets, unless the connection limit allows only one.
const OwnersPerSlice = 2

// Member is a live VM in the cluster as this VM sees it.
type Member struct {
	Name cassiaid.VMName
	Zone cassiaid.Zone
	// Weight is the VM's share of the work relative to other VMs; zero counts as 1.
	Weight float64
	// Leaving is true for a VM that has announced its stop.
	Leaving bool
}

// score returns the member's weighted rendezvous score for a key; the members with the largest scores are the owners.
func (m Member) score(key uint64) float64 {
	return cassiarendezvous.Score(mix(xxhash.Sum64String(string(m.Name))^key), m.Weight)
}

// mix spreads the bits of a combined hash with the finalizer of SplitMix64.
func mix(hash uint64) uint64 {
	hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9
	hash = (hash ^ (hash >> 27)) * 0x94d049bb133111eb
	return hash ^ (hash >> 31)
}

// rankOwners returns up to count members with the largest scores for a key, the largest first. Leaving members are
// chosen only when all members are leaving.
func rankOwners(members []Member, key uint64, count int) []cassiaid.VMName {
	owners := topScores(members, key, count, false)
	if len(owners) == 0 {
		owners = topScores(members, key, count, true)
	}
	return owners
}

func topScores(members []Member, key uint64, count int, leaving bool) []cassiaid.VMName {
	names := make([]cassiaid.VMName, 0, count+1)
	scores := make([]float64, 0, count+1)
	for _, m := range members {
		if m.Leaving != leaving {
			continue
		}
		score := m.score(key)
		at := len(scores)
		for at > 0 && ranksBefore(score, m.Name, scores[at-1], names[at-1]) {
			at--
		}
		if at >= count {
			continue
		}
		names = append(names, "")
		scores = append(scores, 0)
		copy(names[at+1:], names[at:])
		copy(scores[at+1:], scores[at:])
		names[at], scores[at] = m.Name, score
		names = names[:min(len(names), count)]
		scores = scores[:min(len(scores), count)]
	}
	return names
}

func ranksBefore(score float64, name cassiaid.VMName, otherScore float64, otherName cassiaid.VMName) bool {
	if score != otherScore {
		return score > otherScore
	}
	return name < otherName
}

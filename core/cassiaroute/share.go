package cassiaroute

import (
	"cassiasaddle/core/cassiafront"
	"cassiasaddle/core/cassiaschema"
)

// Share is what one owner may use of each target of a front.
type Share struct {
	// Owners is how many VMs own each target.
	Owners int
	// Connections is how many connections each owner may hold to each target.
	Connections int
	// Concurrency bounds the requests in flight from each owner to each target.
	Concurrency int
}

// ShareOf divides the connections that a front may use among its owners and one more, since owners may
// disagree about one membership change.
//
// With fewer than three connections there is one owner; with fewer than two nobody may connect, and the
// settings have to be refused.
func ShareOf(limits *cassiaschema.TargetLimits) Share {
	allowed := allowedConnections(limits)
	owners := min(OwnersPerSlice, allowed-1)
	if owners < 1 {
		return Share{}
	}
	share := Share{Owners: owners, Connections: allowed / (owners + 1)}
	share.Concurrency = share.Connections
	if bound := int(limits.GetMaxConcurrency()); bound > 0 {
		share.Concurrency = min(share.Connections, max(1, bound/owners))
	}
	return share
}

func allowedConnections(limits *cassiaschema.TargetLimits) int {
	return int(float64(cassiafront.MaxConnections(limits)) * cassiafront.ConnectionShare(limits))
}

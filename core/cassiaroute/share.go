package cassiaroute

import (
	"cassiasaddle/core/cassiafront"
	"cassiasaddle/core/cassiaschema"
)

// Share is how much one owner may use each target of a front.
type Share struct {
	// Owners is the number of VMs that own each target.
	Owners int
	// Connections is the number of connections that each owner may hold to each target.
	Connections int
	// Concurrency limits the requests in flight from each owner to each target.
	Concurrency int
}

// ShareOf divides the connections that a front may open to one target among the target's owners and one more VM,
// because one more VM may consider itself an owner while a membership change spreads.
//
// With fewer than three connections there is one owner. With fewer than two no VM may connect; the result is the zero
// Share and the settings have to be refused.
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

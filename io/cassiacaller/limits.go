package cassiacaller

import (
	"syscall"
)

// Parts of a VM's memory, one in so many. Together they are well below the soft limit of the runtime, half of the memory, so that what is
// not collected yet has room as well.
const (
	bodyPart = 8
	// headerPart is small because a header takes about three times its size once it is parsed.
	headerPart = 32
	peerPart   = 16
	// connectionPart is for the goroutines and buffers of connections, connectionBytes for each.
	connectionPart  = 16
	connectionBytes = 32 << 10
)

const (
	// callerDescriptors is the part of the descriptors for callers, one in so many. The others are for targets, the store, other VMs and
	// the balancer.
	callerDescriptors = 2
	// minConnections is the least number of connections.
	minConnections = 16
)

// Limits bounds what callers may hold of a process together.
type Limits struct {
	// Connections is the number of connections.
	Connections int
	// HeaderBytes and BodyBytes are the memory for headers and bodies.
	HeaderBytes, BodyBytes int64
	// PeerBytes is the memory for bodies of requests that other VMs pass on.
	PeerBytes int64
}

// LimitsFor returns the limits of a process with a memory in bytes and a number of descriptors, or as many as the system allows if that is 0.
func LimitsFor(memory int64, descriptors int) Limits {
	var allowed syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &allowed); err == nil && (descriptors <= 0 || allowed.Cur < uint64(descriptors)) {
		descriptors = int(min(allowed.Cur, 1<<30))
	}
	connections := min(int64(descriptors/callerDescriptors), memory/connectionPart/connectionBytes)
	return Limits{Connections: max(minConnections, int(connections)), HeaderBytes: memory / headerPart, BodyBytes: memory / bodyPart,
		PeerBytes: memory / peerPart}
}

// Package cassiaroute decides which VMs own a target, how many connections each owner may hold to it, and which
// targets, hedges and retries a query may use.
//
// A Table holds one VM's view of members, fronts and targets and answers a query's questions about them. It is a
// state machine: Update takes a message and returns the effects that the caller has to perform. It holds no lock; the
// caller serializes access.
package cassiaroute

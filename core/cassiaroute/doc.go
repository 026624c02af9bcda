// Package cassiaroute decides which VMs own a target, how many connections each may hold, and which targets, hedges
// and retries a query may use.
//
// A Table holds one VM's knowledge of members, fronts and targets and answers a query's questions about them. A
// Quarantine blames requests that crash the targets which run them. Both are state machines: Update takes a message and
// returns the effects that the caller has to perform. They hold no lock; the caller guards them.
package cassiaroute

// Package cassiamember decides which VMs take part in the system. It probes peers, raises and refutes suspicions, gossips
// updates about members, quarantined requests and leaving targets, and synchronizes views that differ. A budget of bytes
// per second limits what it sends.
//
// A Membership is a state machine. Update takes one Message and returns the Effects that the caller has to perform. It
// starts no goroutine, opens no socket and takes clock and randomness from its Config.
package cassiamember

// Package cassiamember decides which VMs take part in the system: it probes peers, suspects and refutes, spreads news of
// members, quarantined requests and leaving targets, and repairs views that differ, all inside a budget of bytes.
//
// A Membership is a state machine. Update takes one Message and returns the Effects that the caller has to perform. It
// starts no goroutine, opens no socket and takes clock and randomness from its Config.
package cassiamember

// Package cassiaquarantine finds the requests that crash the targets that run them, and refuses these requests for a time.
//
// A target is lost when its connection is lost before the reply. A request has lost a target when one of its attempts
// was running on it. A suspect is a request that has lost a target and has not been cleared by an answer since.
//
// A request is judged by its fingerprint, and by that of its content if callers differ in their fingerprints. The content is
// blamed only for losses under several callers, and only while no caller has been answered.
//
// A Quarantine is a state machine: Update takes a message and returns the effects that the caller has to perform. It
// holds no lock; the caller guards it. docs/design/query-of-death.md states how many targets one such request can crash
// at most.
package cassiaquarantine

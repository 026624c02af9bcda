// Package cassialimit decides when attempts may start on one target: it adapts the concurrency limit to the target's latency,
// queues attempts by priority and deadline, and refuses those that can't be served in time.
//
// A Limiter is a state machine: Update takes a message and returns the effects that the caller has to perform. It holds no lock;
// the caller guards it.
package cassialimit

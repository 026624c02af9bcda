// Package cassiaquarantine finds the requests that crash the targets that run them, and refuses these requests for a time.
//
// A Quarantine is a state machine: Update takes a message and returns the effects that the caller has to perform. It
// holds no lock; the caller guards it. docs/design/query-of-death.md states the bound that it keeps.
package cassiaquarantine

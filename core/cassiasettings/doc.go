// Package cassiasettings decides about the shared settings tree: which YAML texts are valid, which edits may follow
// the ones in force, and how accepted edits spread to every VM.
//
// A Propagation is a state machine. Update takes one Message and returns the Effects that the caller has to perform.
// It starts no goroutine, opens no socket and reads no clock but the one passed in.
package cassiasettings

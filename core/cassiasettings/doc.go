// Package cassiasettings validates the shared settings tree and propagates it to every VM. It decides which YAML texts
// are valid, which edits may follow the edits in force, and how accepted edits spread.
//
// A Propagation is a state machine. Update takes one Message and returns the Effects that the caller has to perform.
// It starts no goroutine, opens no socket and reads only the clock in its Config.
package cassiasettings

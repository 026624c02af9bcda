// Package cassiaworker runs short tasks on goroutines that are kept for later tasks. A new goroutine starts with a small stack, which
// an exchange with a target would have to grow, and copy, several times.
package cassiaworker

// Package cassiabackoff computes the backoff between tries of an operation that keeps failing.
package cassiabackoff

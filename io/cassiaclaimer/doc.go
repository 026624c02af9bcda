// Package cassiaclaimer acquires claims for non-idempotent requests. It does the I/O for the state machine in
// cassiaclaim: it reads and writes claim buckets in the platform's key-value service and lets callers wait for the
// result.
package cassiaclaimer

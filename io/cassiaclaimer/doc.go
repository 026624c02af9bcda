// Package cassiaclaimer acquires claims for non-idempotent requests. It does the I/O for the state machine in
// cassiaclaim: it reads and writes claim buckets and lets callers wait for the result. A bucket is a key of the
// platform's key-value service that holds the claims of many requests.
package cassiaclaimer

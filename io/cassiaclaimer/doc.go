// Package cassiaclaimer performs the decisions of cassiaclaim: it reads and writes claim buckets in the platform's
// key-value service and lets callers wait for their claims.
package cassiaclaimer

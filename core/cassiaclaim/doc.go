// Package cassiaclaim decides which send of a non-idempotent request may run.
//
// A send wins the claim of its request by compare-and-swap on a bucket in the platform's key-value service. A Ledger
// is a state machine: Update takes one Message and returns the Effects that the caller has to perform. It starts no
// goroutine and reads the time only from the Clock that it is given. Safety depends on compare-and-swap alone: a
// claim is never deleted, it is only replaced together with its whole bucket by the bucket of a later window. From
// then on the number of the later window makes the Ledger refuse every key of an earlier window.
package cassiaclaim

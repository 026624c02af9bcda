// Package cassiaclaim decides which send of a non-idempotent request may run.
//
// A claim is won by compare-and-swap on a bucket in the platform's key-value service. A Ledger is a state machine: Update
// takes one Message and returns the Effects that the caller has to perform. It starts no goroutine and reads no clock of
// its own. Safety rests on compare-and-swap alone: a claim is never deleted, it is only replaced together with its whole
// bucket by that of a later window, and the number of the later window refuses every older key from then on.
package cassiaclaim

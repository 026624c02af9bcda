// Package cassiaclaim decides which send of a non-idempotent request may run. A send is one transmission of the request
// by its caller; all sends of a request have the same idempotency key.
//
// A send wins the claim of its request by compare-and-swap on a bucket in the platform's key-value service. A Ledger is
// a state machine: Update takes one Message and returns the Effects that the caller has to perform. It starts no
// goroutine and reads the time only from the Clock that it is given. Safety depends on compare-and-swap alone: a claim
// is never deleted. It is replaced by the claim of another send only if its outcome is notStarted, and otherwise only
// together with its whole bucket, by the bucket of a later window. From then on the number of the later window makes
// the Ledger refuse every key of an earlier window.
package cassiaclaim

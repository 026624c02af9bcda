package cassiaclaim

import (
	"time"

	"cassiasaddle/core/cassiaschema"
)

// Pauses between the writes of one bucket, so that one write carries the claims of several requests.
const (
	minWriteInterval = 10 * time.Millisecond
	maxWriteInterval = 128 * time.Millisecond
	// maxOutcomeDelay is how long the outcome of a claim may wait for a write that goes out anyway.
	maxOutcomeDelay = 200 * time.Millisecond
	// contendedWrites is how many writes after a conflict are preceded by a read.
	contendedWrites = 8
)

// operation is what a bucket waits for.
type operation int

const (
	noOperation operation = iota
	reading
	writing
)

// pendingClaim is an Ask on its way into the bucket.
type pendingClaim struct {
	Ask
	nonce Nonce
	// maybeWritten is true once a write with the claim may have left.
	maybeWritten bool
	// abandoned is true when the Ask was answered while a write with its claim was under way.
	abandoned bool
}

// pendingOutcome is an outcome on its way into the bucket.
type pendingOutcome struct {
	Settle
	// uncertain is true when the claim may still be written.
	uncertain bool
}

// bucket is what the ledger knows of one bucket and what waits for it.
type bucket struct {
	id        BucketID
	operation operation
	// cached is true while value and revision are those of the last read or write; fresh is true after a read.
	cached   bool
	fresh    bool
	value    *cassiaschema.ClaimBucket
	revision Revision

	queue []*pendingClaim
	// writingClaims and written belong to the write under way.
	writingClaims       []*pendingClaim
	writingOutcomes     []*pendingOutcome
	writingValue        *cassiaschema.ClaimBucket
	outcomes            []*pendingOutcome
	dueAt               time.Time
	lastWriteAt         time.Time
	usedAt              time.Time
	writeInterval       time.Duration
	contendedWritesLeft int
}

// schedule makes the bucket due at a time unless it is due before.
func (b *bucket) schedule(at time.Time) {
	if b.dueAt.IsZero() || at.Before(b.dueAt) {
		b.dueAt = at
	}
}

// nextWriteAt returns the earliest time of the next write.
func (b *bucket) nextWriteAt(now time.Time) time.Time {
	if at := b.lastWriteAt.Add(max(b.writeInterval, minWriteInterval)); at.After(now) {
		return at
	}
	return now
}

func (b *bucket) idle() bool {
	return b.operation == noOperation && len(b.queue) == 0 && len(b.outcomes) == 0
}

// invalidate makes the next step a read.
func (b *bucket) invalidate() {
	b.cached, b.fresh, b.value = false, false, nil
}

// pendingOutcomeOf returns the outcome of a key that is on its way into the bucket.
func (b *bucket) pendingOutcomeOf(key Key) *pendingOutcome {
	for _, list := range [][]*pendingOutcome{b.outcomes, b.writingOutcomes} {
		for _, o := range list {
			if o.Key.Scoped == key.Scoped {
				return o
			}
		}
	}
	return nil
}

// needsRead tells whether an entry's decision needs a newer value: its key is claimed and the outcome was not known yet.
func (b *bucket) needsRead() bool {
	if b.fresh {
		return false
	}
	waiting := make(map[string]bool, len(b.queue))
	for _, p := range b.queue {
		waiting[p.Key.Scoped] = true
	}
	for _, c := range b.value.GetClaims() {
		if waiting[c.GetKey()] && c.GetOutcome() == cassiaschema.ClaimOutcome_unknown {
			return true
		}
	}
	return false
}

package cassiaclaim

import (
	"time"

	"cassiasaddle/core/cassiaschema"
)

// Bounds on the interval between the writes of one bucket. The interval lets one write carry the claims of several
// requests.
const (
	minWriteInterval = 10 * time.Millisecond
	maxWriteInterval = 128 * time.Millisecond
	// maxOutcomeDelay is how long an outcome may wait, so that it is written together with new claims.
	maxOutcomeDelay = 200 * time.Millisecond
	// contendedWrites is how many writes after a conflict are each preceded by a read.
	contendedWrites = 8
)

// operation is the call to the key-value service that a bucket waits for.
type operation int

const (
	noOperation operation = iota
	reading
	writing
)

// pendingClaim is the claim of an Acquire that is not yet known to be written.
type pendingClaim struct {
	Acquire
	nonce Nonce
	// maybeWritten is true once a write with the claim may have been sent.
	maybeWritten bool
	// abandoned is true when the Acquire was answered or cancelled before the outcome of a write with its claim was
	// known.
	abandoned bool
}

// pendingOutcome is the outcome of a claim that is not yet known to be written.
type pendingOutcome struct {
	RecordOutcome
	// uncertain is true when a write of the claim itself may still take effect.
	uncertain bool
}

// bucket is the state of one bucket: its last known value, and the claims and outcomes that wait to be written.
type bucket struct {
	id        BucketID
	operation operation
	// cached is true while value and revision are those of the last read or write. fresh is true from a read to the
	// next write.
	cached   bool
	fresh    bool
	value    *cassiaschema.ClaimBucket
	revision Revision

	queue []*pendingClaim
	// writingClaims, writingOutcomes and writingValue belong to the write in progress.
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

// schedule makes the bucket due at a time unless it is due earlier.
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

// invalidate discards the cached value, so that the next call is a read.
func (b *bucket) invalidate() {
	b.cached, b.fresh, b.value = false, false, nil
}

// pendingOutcomeOf returns the outcome of a key that waits to be written or is being written, or nil.
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

// needsRead reports whether the cached value is too old to decide a queued claim. It is if it holds a claim of the same
// key without an outcome, since the outcome may have been written after the value was read.
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

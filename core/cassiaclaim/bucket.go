package cassiaclaim

import (
	"time"

	"cassiasaddle/core/cassiaschema"
)

// Pauses between the writes of one bucket, so that one write carries the claims of several requests.
const (
	minWait = 10 * time.Millisecond
	maxWait = 128 * time.Millisecond
	// settleWait is how long the outcome of a claim may wait for a write that goes out anyway.
	settleWait = 200 * time.Millisecond
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

// entry is an Ask on its way into the bucket.
type entry struct {
	Ask
	nonce Nonce
	// attempted is true once a write with the claim may have left.
	attempted bool
	// abandoned is true when the Ask was answered while a write with its claim was under way.
	abandoned bool
}

// settlement is an outcome on its way into the bucket.
type settlement struct {
	Settle
	// uncertain is true when the claim may still be written.
	uncertain bool
}

// bucket is what the ledger knows of one bucket and what waits for it.
type bucket struct {
	id        BucketID
	operation operation
	// known is true while value and revision are those of the last read or write; fresh is true after a read.
	known    bool
	fresh    bool
	value    *cassiaschema.ClaimBucket
	revision Revision

	queue []*entry
	// group and written belong to the write under way.
	group     []*entry
	settling  []*settlement
	written   *cassiaschema.ClaimBucket
	settles   []*settlement
	dueAt     time.Time
	startedAt time.Time
	usedAt    time.Time
	wait      time.Duration
	contended int
}

// schedule makes the bucket due at a time unless it is due before.
func (b *bucket) schedule(at time.Time) {
	if b.dueAt.IsZero() || at.Before(b.dueAt) {
		b.dueAt = at
	}
}

// nextWrite returns the earliest time of the next write.
func (b *bucket) nextWrite(now time.Time) time.Time {
	if at := b.startedAt.Add(max(b.wait, minWait)); at.After(now) {
		return at
	}
	return now
}

func (b *bucket) idle() bool {
	return b.operation == noOperation && len(b.queue) == 0 && len(b.settles) == 0
}

// forget makes the next step a read.
func (b *bucket) forget() {
	b.known, b.fresh, b.value = false, false, nil
}

// settlementOf returns the outcome of a key that is on its way into the bucket.
func (b *bucket) settlementOf(key Key) *settlement {
	for _, list := range [][]*settlement{b.settles, b.settling} {
		for _, s := range list {
			if s.Key.Scoped == key.Scoped {
				return s
			}
		}
	}
	return nil
}

// outdated tells whether an entry's decision needs a newer value: its key is claimed and the outcome was not known yet.
func (b *bucket) outdated() bool {
	if b.fresh {
		return false
	}
	waiting := make(map[string]bool, len(b.queue))
	for _, e := range b.queue {
		waiting[e.Key.Scoped] = true
	}
	for _, c := range b.value.GetClaims() {
		if waiting[c.GetKey()] && c.GetOutcome() == cassiaschema.ClaimOutcome_unknown {
			return true
		}
	}
	return false
}

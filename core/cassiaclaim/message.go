package cassiaclaim

import (
	"time"

	"cassiasaddle/core/cassiaschema"
)

// ClaimID identifies one Acquire of one Ledger.
type ClaimID uint64

// Nonce identifies the one send that won a claim.
type Nonce uint64

// Revision is a bucket's revision in the key-value service, 0 for a bucket that does not exist.
type Revision uint64

// Message is an input of Ledger.Update.
type Message interface{ isMessage() }

// Acquire requests the claim of a key. The Ledger replies with one Granted, Remembered or Denied, or not at all after
// an Abandon.
type Acquire struct {
	ID       ClaimID
	Key      Key
	BodyHash uint64
	// Deadline is when the request ends; a claim is of no use after it.
	Deadline time.Time
	// Nonce identifies the send when its claim is requested at more than one VM; with 0 the Ledger chooses one.
	Nonce Nonce
	// Forwarded is true for the send of another VM; only that VM may release the claim.
	Forwarded bool
	// MaybeWritten is true when another VM may already have written the claim.
	MaybeWritten bool
}

// Release releases the claim of a send that was not dispatched and never will be, also when another VM's write of the
// claim may still take effect.
type Release struct {
	Key      Key
	BodyHash uint64
	Nonce    Nonce
}

// Abandon cancels an Acquire for which no caller waits any more.
type Abandon struct{ ID ClaimID }

// RecordOutcome records the outcome of a granted claim.
type RecordOutcome struct {
	Key      Key
	BodyHash uint64
	Nonce    Nonce
	Outcome  cassiaschema.ClaimOutcome
	// Answer is kept for repeats of the request if it is small enough.
	Answer []byte
}

// BucketRead replies to ReadBucket; Value is nil for a bucket that does not exist.
type BucketRead struct {
	Bucket   BucketID
	Value    *cassiaschema.ClaimBucket
	Revision Revision
}

// ReadFailed replies to ReadBucket when the key-value service returned no value.
type ReadFailed struct{ Bucket BucketID }

// WriteDone replies to WriteBucket when the write took effect.
type WriteDone struct {
	Bucket   BucketID
	Revision Revision
}

// WriteConflict replies to WriteBucket when the bucket had another revision than IfRevision.
type WriteConflict struct{ Bucket BucketID }

// WriteUnknown replies to WriteBucket when the write may have taken effect or may still take effect.
type WriteUnknown struct{ Bucket BucketID }

// Tick reports that the time of an earlier WakeAt has come.
type Tick struct{}

func (Acquire) isMessage()       {}
func (Abandon) isMessage()       {}
func (Release) isMessage()       {}
func (RecordOutcome) isMessage() {}
func (BucketRead) isMessage()    {}
func (ReadFailed) isMessage()    {}
func (WriteDone) isMessage()     {}
func (WriteConflict) isMessage() {}
func (WriteUnknown) isMessage()  {}
func (Tick) isMessage()          {}

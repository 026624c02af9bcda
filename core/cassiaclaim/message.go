package cassiaclaim

import (
	"time"

	"cassiasaddle/core/cassiaschema"
)

// ClaimID identifies one Ask of one Ledger.
type ClaimID uint64

// Nonce names the one send that won a claim.
type Nonce uint64

// Revision is a bucket's revision in the key-value service; 0 is that of an absent bucket.
type Revision uint64

// Message is something that happened to a ledger.
type Message interface{ isMessage() }

// Ask asks for the claim of a key; it ends in one Granted, Remembered or Denied.
type Ask struct {
	ID       ClaimID
	Key      Key
	BodyHash uint64
	// Deadline is when the request ends, and with it the use of a claim.
	Deadline time.Time
	// Nonce names the send when it is asked for at more than one VM; 0 lets the ledger choose one.
	Nonce Nonce
	// Forwarded is true for the send of another VM, which alone may give its claim back.
	Forwarded bool
	// Attempted is true when another VM may have written the claim already.
	Attempted bool
}

// Release gives back the claim of a send that was not dispatched and never will be, also when the claim may still be
// written by another VM.
type Release struct {
	Key      Key
	BodyHash uint64
	Nonce    Nonce
}

// Abandon gives up an Ask that nobody waits for.
type Abandon struct{ ID ClaimID }

// Settle records what became of a granted claim.
type Settle struct {
	Key      Key
	BodyHash uint64
	Nonce    Nonce
	Outcome  cassiaschema.ClaimOutcome
	// Answer is kept for repeats when it is small enough.
	Answer []byte
}

// BucketRead answers ReadBucket; Value is nil for an absent bucket.
type BucketRead struct {
	Bucket   BucketID
	Value    *cassiaschema.ClaimBucket
	Revision Revision
}

// ReadFailed answers ReadBucket when the service gave no value.
type ReadFailed struct{ Bucket BucketID }

// WriteDone answers WriteBucket when the write took effect.
type WriteDone struct {
	Bucket   BucketID
	Revision Revision
}

// WriteConflict answers WriteBucket when the bucket had another revision.
type WriteConflict struct{ Bucket BucketID }

// WriteUnknown answers WriteBucket when the write may have taken effect, or may still.
type WriteUnknown struct{ Bucket BucketID }

// Tick tells that the time of an earlier WakeAt has come.
type Tick struct{}

func (Ask) isMessage()           {}
func (Abandon) isMessage()       {}
func (Release) isMessage()       {}
func (Settle) isMessage()        {}
func (BucketRead) isMessage()    {}
func (ReadFailed) isMessage()    {}
func (WriteDone) isMessage()     {}
func (WriteConflict) isMessage() {}
func (WriteUnknown) isMessage()  {}
func (Tick) isMessage()          {}

package cassiaclaim

import (
	"time"

	"cassiasaddle/core/cassiaplan"
	"cassiasaddle/core/cassiaschema"
)

// Effect is something the caller of Update has to do.
type Effect interface{ isEffect() }

// ReadBucket asks for a bucket; one BucketRead or ReadFailed has to follow.
type ReadBucket struct{ Bucket BucketID }

// WriteBucket asks for a compare-and-swap; one WriteDone, WriteConflict or WriteUnknown has to follow.
type WriteBucket struct {
	Bucket     BucketID
	Value      *cassiaschema.ClaimBucket
	IfRevision Revision
	// Claims is the number of claims that the write adds.
	Claims int
}

// Granted tells that this send, and no other, may run the request.
type Granted struct {
	ID    ClaimID
	Nonce Nonce
}

// Remembered tells that an earlier send ran the request and what it answered.
type Remembered struct {
	ID     ClaimID
	Answer []byte
}

// Denied tells that this send must not run the request.
type Denied struct {
	ID      ClaimID
	Refusal cassiaplan.Refusal
	// Uncertain is true when the claim of a forwarded Ask may have been written, so that its VM has to release it.
	Uncertain bool
}

// WakeAt asks for a Tick at a time; it replaces the one asked before.
type WakeAt struct{ At time.Time }

// Count asks for a counter to be raised by one.
type Count struct{ Counter Counter }

func (ReadBucket) isEffect()  {}
func (WriteBucket) isEffect() {}
func (Granted) isEffect()     {}
func (Remembered) isEffect()  {}
func (Denied) isEffect()      {}
func (WakeAt) isEffect()      {}
func (Count) isEffect()       {}

// Counter names a metric of the claims.
type Counter string

// Counters raised by a ledger.
const (
	CountGranted          Counter = "granted"
	CountReadBack         Counter = "readBack"
	CountRemembered       Counter = "remembered"
	CountDeniedClaimed    Counter = "deniedClaimed"
	CountDeniedBody       Counter = "deniedBody"
	CountDeniedExpired    Counter = "deniedExpired"
	CountDeniedAhead      Counter = "deniedAhead"
	CountDeniedStore      Counter = "deniedStore"
	CountDeniedLate       Counter = "deniedLate"
	CountDeniedFull       Counter = "deniedFull"
	CountTakenOver        Counter = "takenOver"
	CountConflict         Counter = "conflict"
	CountWriteUnknown     Counter = "writeUnknown"
	CountReadFailed       Counter = "readFailed"
	CountSettled          Counter = "settled"
	CountSettleDropped    Counter = "settleDropped"
	CountAnswerNotKept    Counter = "answerNotKept"
	CountDeniedReleased   Counter = "deniedReleased"
	CountReleaseRequested Counter = "releaseRequested"
)

package cassiaclaim

import (
	"time"

	"cassiasaddle/core/cassiaplan"
	"cassiasaddle/core/cassiaschema"
)

// Effect is an action that the caller of Update has to perform.
type Effect interface{ isEffect() }

// ReadBucket asks the caller to read a bucket and to reply with one BucketRead or ReadFailed.
type ReadBucket struct{ Bucket BucketID }

// WriteBucket asks the caller for a compare-and-swap and to reply with one WriteDone, WriteConflict or WriteUnknown.
type WriteBucket struct {
	Bucket     BucketID
	Value      *cassiaschema.ClaimBucket
	IfRevision Revision
	// Claims is the number of claims that the write adds.
	Claims int
}

// Granted reports that this send, and no other, may run the request.
type Granted struct {
	ID    ClaimID
	Nonce Nonce
}

// Remembered reports that an earlier send ran the request, and its answer.
type Remembered struct {
	ID     ClaimID
	Answer []byte
}

// Denied reports that this send must not run the request.
type Denied struct {
	ID      ClaimID
	Refusal cassiaplan.Refusal
	// Uncertain is true when the claim of a forwarded Acquire may have been written, so that the VM that forwarded it has
	// to release it.
	Uncertain bool
}

// WakeAt asks the caller for a Tick at a time; it replaces the previous WakeAt.
type WakeAt struct{ At time.Time }

// Count asks the caller to increment a counter.
type Count struct{ Counter Counter }

func (ReadBucket) isEffect()  {}
func (WriteBucket) isEffect() {}
func (Granted) isEffect()     {}
func (Remembered) isEffect()  {}
func (Denied) isEffect()      {}
func (WakeAt) isEffect()      {}
func (Count) isEffect()       {}

// Counter is the name of a counter in the metrics of claims.
type Counter string

// Counters incremented by a Ledger. CountReadBack counts claims that a read showed to be written after the result of
// their write was unknown, CountTakenOver the claims that replaced one with the outcome notStarted, and
// CountSettleDropped the outcomes that could not be written.
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

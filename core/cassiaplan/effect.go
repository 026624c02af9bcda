package cassiaplan

import (
	"time"

	"cassiasaddle/core/cassiaid"
)

// Effect is something the caller of Update has to do.
type Effect interface{ isEffect() }

// Attempt is one try of one shard on one target.
type Attempt struct {
	ID     cassiaid.AttemptID
	Shard  cassiaid.ShardIndex
	Target cassiaid.TargetName
	Hedge  bool
}

// SendBatch asks an owner to run attempts; one peer message carries them all.
type SendBatch struct {
	Owner    cassiaid.VMName
	Snapshot cassiaid.Snapshot
	Epoch    cassiaid.Epoch
	// Deadline is when results stop being useful.
	Deadline time.Time
	// FlushAfter is when the owner sends the results that it has so far.
	FlushAfter time.Duration
	Attempts   []Attempt
}

// AskKnowledge asks an owner what targets hold; the reply comes back as Knowledge.
type AskKnowledge struct {
	Owner   cassiaid.VMName
	Targets []cassiaid.TargetName
}

// Cancel tells an owner that attempts are no longer wanted.
type Cancel struct {
	Owner    cassiaid.VMName
	Attempts []cassiaid.AttemptID
}

// SetTimer asks for a TimerFired at a time; it replaces the timer set before.
type SetTimer struct{ At time.Time }

// Finish ends the query; exactly one of Answer and Refusal is set.
type Finish struct {
	Answer  *Answer
	Refusal *Refusal
}

// Count asks for a counter to be raised by one.
type Count struct{ Counter Counter }

func (SendBatch) isEffect()    {}
func (AskKnowledge) isEffect() {}
func (Cancel) isEffect()       {}
func (SetTimer) isEffect()     {}
func (Finish) isEffect()       {}
func (Count) isEffect()        {}

// Counter names a metric of the query path.
type Counter string

// Counters raised by a query.
const (
	CountHedge            Counter = "hedge"
	CountHedgeWon         Counter = "hedgeWon"
	CountHedgeDenied      Counter = "hedgeDenied"
	CountHedgeNoSooner    Counter = "hedgeNoSooner"
	CountHedgeOverdue     Counter = "hedgeOverdue"
	CountHedgeOwnerSilent Counter = "hedgeOwnerSilent"
	CountRetryOverloaded  Counter = "retryOverloaded"
	CountRetryDraining    Counter = "retryDraining"
	CountRetryUnreachable Counter = "retryUnreachable"
	CountRetryOwnerLost   Counter = "retryOwnerLost"
	CountRetryFailed      Counter = "retryFailed"
	CountRetryDenied      Counter = "retryDenied"
	CountRestartSnapshot  Counter = "restartSnapshot"
	CountRestartEpoch     Counter = "restartEpoch"
	CountDroppedLate      Counter = "droppedLate"
	CountDroppedDuplicate Counter = "droppedDuplicate"
	CountDroppedForeign   Counter = "droppedForeign"
	CountDroppedSnapshot  Counter = "droppedSnapshot"
	CountDroppedEpoch     Counter = "droppedEpoch"
	CountCanary           Counter = "canary"
	CountCanaryLate       Counter = "canaryLate"
	CountEarlyStop        Counter = "earlyStop"
	CountAskKnowledge     Counter = "askKnowledge"
	CountRetryVMLeaving   Counter = "retryVmLeaving"
	CountRetryNotOwner    Counter = "retryNotOwner"
	CountRetrySnapshot    Counter = "retrySnapshot"
	CountRetryEpoch       Counter = "retryEpoch"
	CountAnswerTooBig     Counter = "answerTooBig"
	CountEpochWait        Counter = "epochWait"
	CountCutOffAtStart    Counter = "cutOffAtStart"
	CountCutOffGivenUp    Counter = "cutOffGivenUp"
)

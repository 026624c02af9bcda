package cassiaplan

import (
	"time"

	"cassiasaddle/core/cassiaid"
)

// Effect is an action that the caller of Update must perform.
type Effect interface{ isEffect() }

// Attempt is one try to get the rows of a shard from a target.
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
	// Deadline is when the results are no longer useful.
	Deadline time.Time
	// FlushAfter is how long the owner waits before it sends the results that it has so far.
	FlushAfter time.Duration
	Attempts   []Attempt
}

// AskKnowledge asks an owner which snapshots its targets hold. The reply comes back as Knowledge.
type AskKnowledge struct {
	Owner   cassiaid.VMName
	Targets []cassiaid.TargetName
}

// Cancel tells an owner that the results of attempts are no longer needed.
type Cancel struct {
	Owner    cassiaid.VMName
	Attempts []cassiaid.AttemptID
}

// SetTimer requests a TimerFired message at a time and replaces the previous timer.
type SetTimer struct{ At time.Time }

// Finish ends the query; exactly one of Answer and Refusal is set.
type Finish struct {
	Answer  *Answer
	Refusal *Refusal
}

// Count increments a counter by one.
type Count struct{ Counter Counter }

func (SendBatch) isEffect()    {}
func (AskKnowledge) isEffect() {}
func (Cancel) isEffect()       {}
func (SetTimer) isEffect()     {}
func (Finish) isEffect()       {}
func (Count) isEffect()        {}

// Counter names a metric of the query path.
type Counter string

// Counters incremented by a query.
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

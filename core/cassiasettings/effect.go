package cassiasettings

import (
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// Effect is something the caller of Update has to do.
type Effect interface{ isEffect() }

// ReadHead asks for the head in the store; the answer is HeadRead or StoreFailed.
type ReadHead struct{ Call CallID }

// WatchHead asks to wait for a head newer than a revision; the answer is HeadRead, HeadUnchanged or StoreFailed.
type WatchHead struct {
	Call  CallID
	After uint64
}

// StopWatch ends the WatchHead in flight; no answer is needed.
type StopWatch struct{ Call CallID }

// FetchEdits asks for edits from the store; the answer is EditsRead or StoreFailed.
type FetchEdits struct {
	Call     CallID
	Subtrees []*cassiaschema.SubtreeHead
}

// Pull asks a VM for its state; the answer is StateReceived or PullFailed.
type Pull struct {
	From    cassiaid.VMName
	Request *cassiaschema.SettingsRequest
}

// PushDigest tells VMs which generation is in force here.
type PushDigest struct {
	To         []cassiaid.VMName
	Generation cassiaid.Generation
}

// Install puts a tree in force on this VM.
type Install struct{ Tree *Tree }

// Reject reports a generation that is not put in force and why.
type Reject struct {
	Generation cassiaid.Generation
	Reason     error
}

// Count asks for a counter to be raised by one.
type Count struct{ Counter Counter }

func (ReadHead) isEffect()   {}
func (WatchHead) isEffect()  {}
func (StopWatch) isEffect()  {}
func (FetchEdits) isEffect() {}
func (Pull) isEffect()       {}
func (PushDigest) isEffect() {}
func (Install) isEffect()    {}
func (Reject) isEffect()     {}
func (Count) isEffect()      {}

// Counter names a metric of the spreading of settings.
type Counter string

// Counters raised by a Propagation.
const (
	CountInstalled      Counter = "installed"
	CountRejected       Counter = "rejectedInvalid"
	CountStoreBehind    Counter = "ignoredStoreBehind"
	CountPeerBehind     Counter = "ignoredPeerBehind"
	CountPull           Counter = "pull"
	CountPullFailed     Counter = "pullFailed"
	CountDigestReceived Counter = "digestReceived"
	CountDigestPushed   Counter = "digestPushed"
	CountStoreRetry     Counter = "storeRetry"
	CountBecameWatcher  Counter = "becameWatcher"
	CountStoppedWatcher Counter = "stoppedWatcher"
)

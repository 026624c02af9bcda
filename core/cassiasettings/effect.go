package cassiasettings

import (
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// Effect is an action that the caller of Propagation.Update has to perform.
type Effect interface{ isEffect() }

// ReadHead reads the head from the store. The caller answers with HeadRead or StoreFailed.
type ReadHead struct{ Call CallID }

// WatchHead waits for a head with a store revision above After. The caller answers with HeadRead, HeadUnchanged or
// StoreFailed.
type WatchHead struct {
	Call  CallID
	After uint64
}

// StopWatch cancels the WatchHead with the same Call. It needs no answer.
type StopWatch struct{ Call CallID }

// FetchEdits reads the edits that Subtrees names from the store. The caller answers with EditsRead or StoreFailed.
type FetchEdits struct {
	Call     CallID
	Subtrees []*cassiaschema.SubtreeHead
}

// Pull requests the settings of another VM. The caller answers with StateReceived or PullFailed.
type Pull struct {
	From    cassiaid.VMName
	Request *cassiaschema.SettingsRequest
}

// PushDigest sends the generation in force on this VM to other VMs.
type PushDigest struct {
	To         []cassiaid.VMName
	Generation cassiaid.Generation
}

// Install puts a tree in force on this VM.
type Install struct{ Tree *Tree }

// Reject reports a generation that this VM refuses to put in force, and the reason.
type Reject struct {
	Generation cassiaid.Generation
	Reason     error
}

// Count increments a counter by one.
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

// Counter is the name of a settings propagation counter.
type Counter string

// Counters that a Propagation increments.
const (
	CountInstalled      Counter = "installed"
	CountRejected       Counter = "rejectedInvalid"
	CountStoreBehind    Counter = "ignoredStoreBehind"
	CountPeerBehind     Counter = "ignoredPeerBehind"
	CountPull           Counter = "pull"
	CountPullFailed     Counter = "pullFailed"
	CountDigestReceived Counter = "digestReceived"
	CountDigestPushed   Counter = "digestPushed"
	CountStoreFailed    Counter = "storeRetry"
	CountBecameWatcher  Counter = "becameWatcher"
	CountStoppedWatcher Counter = "stoppedWatcher"
)

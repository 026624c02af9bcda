package cassiagateway

import (
	"time"

	"cassiasaddle/core/cassiaid"
)

// Effect is something the caller of Update has to do.
type Effect interface{ isEffect() }

// Send starts an attempt of a request on a target.
type Send struct {
	Query   QueryID
	Attempt cassiaid.AttemptID
	Target  cassiaid.TargetName
	Address string
	// Deadline is when the target may stop working on it.
	Deadline time.Time
	// Via is the VM of the target's zone that is to send the attempt; this VM does if it is empty.
	Via cassiaid.VMName
	// Whole asks Via for the whole part.
	Whole bool
	// Extra is true for an attempt beyond the first of a shard that Via has to pay for.
	Extra bool
	// Force has Via send the attempt also to a target that it finds unfit.
	Force bool
	// Fresh asks for a connection that no request was sent on before.
	Fresh bool
}

// Cancel ends an attempt by closing its connection; its AttemptEnded still follows.
type Cancel struct{ Attempt cassiaid.AttemptID }

// Probe opens a connection to a target, to see whether it can be reached or to have one ready; a ProbeEnded follows.
type Probe struct {
	Target  cassiaid.TargetName
	Address string
}

// Warm opens the connection to a VM that attempts will go by.
type Warm struct{ VM cassiaid.VMName }

// Refresh asks for the list of targets to be read anew, since it is older than the targets.
type Refresh struct{}

// Noted tells of a change of what this VM believes of a target, for the log.
type Noted struct {
	Event  Event
	Target cassiaid.TargetName
	Zone   cassiaid.Zone
	// VM is the VM whose path is doubted.
	VM cassiaid.VMName
	// Cause is the outcome of the attempt that led to it.
	Cause Outcome
	// Unreached is how many attempts and probes in a row did not reach the target.
	Unreached int
}

// Event is a change of belief.
type Event string

// Events that are noted.
const (
	// EventEjected means that the target gets no requests until a probe reaches it.
	EventEjected Event = "targetEjected"
	// EventReached means that an ejected target took a connection.
	EventReached Event = "targetReached"
	// EventPathDoubted means that nothing is sent by way of a VM for some time since it did not answer.
	EventPathDoubted Event = "pathDoubted"
	// EventZoneSilent means that all targets of a zone are ejected since several were silent and none answered.
	EventZoneSilent Event = "zoneSilent"
)

// RetriesPlanned tells which part of the slack of each service's retry budget this VM plans with from now on.
type RetriesPlanned struct {
	// VMs is among how many VMs the slack is divided; none of it is this VM's while others may not count it.
	VMs int
	// Slack is the part, in requests a window.
	Slack float64
}

// Repeated tells that a request beyond the first of a shard was sent, or was not since its budget is spent.
type Repeated struct{ Kind RepeatKind }

// RepeatKind tells why a request was to be sent beyond the first, and what came of it.
type RepeatKind string

// Kinds of repeats.
const (
	// RepeatHedge is sent beside an attempt that is late.
	RepeatHedge RepeatKind = "hedge"
	// RepeatRetry is sent after an attempt that a target got.
	RepeatRetry RepeatKind = "retry"
	// RepeatUnpaid is sent after an attempt that reached no target, which costs no budget.
	RepeatUnpaid RepeatKind = "unpaid"
	// RepeatDenied is a hedge or a retry that the budget did not allow.
	RepeatDenied RepeatKind = "denied"
)

// Finish ends a request; it comes exactly once for each Arrived unless the caller has gone.
type Finish struct {
	Query  QueryID
	Answer Answer
}

// WakeAt asks for a Tick at a time; it replaces the time asked for before.
type WakeAt struct{ Time time.Time }

func (Send) isEffect()           {}
func (Cancel) isEffect()         {}
func (Probe) isEffect()          {}
func (Warm) isEffect()           {}
func (Refresh) isEffect()        {}
func (Noted) isEffect()          {}
func (Repeated) isEffect()       {}
func (RetriesPlanned) isEffect() {}
func (Finish) isEffect()         {}
func (WakeAt) isEffect()         {}

// Answer is how a request ends: with a target's reply, with merged parts, or with a refusal.
type Answer struct {
	Reply   *Reply
	Merged  *Merged
	Refusal *Refusal
	// Trace tells what the answer rests on.
	Trace Trace
}

// Merged is the answer of a request that all shards were asked for.
type Merged struct {
	// Stamps are the proofs of the parts that are in.
	Stamps []string
	// Missing is the number of shards that are left out.
	Missing int
	// Body holds the greatest records of the parts, in falling order.
	Body []byte
}

// Refusal ends a request without an answer.
type Refusal struct {
	Reason RefusalReason
	// NotRun is true when no target has run the request or will run it.
	NotRun bool
	// RetryAfter is when the caller should come back, if the request was not run.
	RetryAfter time.Duration
}

// RefusalReason tells why a request was refused.
type RefusalReason string

// Reasons for a refusal.
const (
	// RefusalUnreachable means that too few shards have a target that can be reached.
	RefusalUnreachable RefusalReason = "unreachable"
	// RefusalOverloaded means that the targets are full for longer than the request can wait.
	RefusalOverloaded RefusalReason = "overloaded"
	// RefusalFailed means that the targets that were asked failed.
	RefusalFailed RefusalReason = "failed"
	// RefusalTimedOut means that the time of the request ran out.
	RefusalTimedOut RefusalReason = "timedOut"
)

// Trace tells what a request cost and what its answer rests on.
type Trace struct {
	Shards   int
	Answered int
	Attempts int
	Hedges   int
	Retries  int
	// Unpaid counts the retries among them that cost no budget, since the attempt before them reached no target.
	Unpaid int
	// Denied counts hedges and retries that the retry budget did not allow.
	Denied int
	// Skipped counts shards that were given up at the arrival and Dropped those that waited for too long.
	Skipped int
	Dropped int
	// LastFailure is the outcome and the target of the last attempt that failed.
	LastFailure string
	Elapsed     time.Duration
}

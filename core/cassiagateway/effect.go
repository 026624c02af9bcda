package cassiagateway

import (
	"time"

	"cassiasaddle/core/cassiabudget"
	"cassiasaddle/core/cassiacatalog"
	"cassiasaddle/core/cassiaid"
)

// Effect is an action that the caller of Update has to perform.
type Effect interface{ isEffect() }

// Send starts an attempt of a query on a target; exactly one AttemptEnded must follow.
type Send struct {
	Query   QueryID
	Attempt cassiaid.AttemptID
	// Shard is the position of the attempt's shard in its route.
	Shard   cassiaid.ShardIndex
	Target  cassiaid.TargetName
	Address string
	// StartUnixMillis is the start of the target's process as it is registered, or 0 if it is unknown.
	StartUnixMillis int64
	// Deadline is when the target may stop working on the attempt.
	Deadline time.Time
	// Aggregator is the VM in the target's zone that should send the attempt; if empty, this VM sends it.
	Aggregator cassiaid.VMName
	// Unpruned asks Aggregator for the complete result. Otherwise Aggregator drops the records that cannot be among the
	// query's top records, judging by the results that it has already passed on.
	Unpruned bool
	// Floor is a record below which the complete result need not hold any, since the answer has enough greater ones; it may be empty.
	Floor []byte
	// AggregatorPays is true if the attempt is not the first of its shard and is charged to the retry budget of
	// Aggregator instead of this VM's.
	AggregatorPays bool
	// Force makes Aggregator send the attempt even if it considers the target unfit.
	Force bool
	// NewConnection asks for a connection that has carried no request before. It is set for requests that are not
	// idempotent.
	NewConnection bool
}

// Forward passes a query on to another VM, which answers it for this one; exactly one ForwardEnded must follow.
type Forward struct {
	Query QueryID
	VM    cassiaid.VMName
	// Deadline is when targets may stop working on the query.
	Deadline time.Time
	// Statements holds what targets that could serve the query have stated to this VM.
	Statements []TargetStatement
}

// CancelForward takes a query back from the VM that it was passed on to; its ForwardEnded must still follow.
type CancelForward struct{ Query QueryID }

// Cancel ends an attempt by closing its connection; its AttemptEnded must still follow.
type Cancel struct{ Attempt cassiaid.AttemptID }

// Probe opens a connection to a target, either to check that it is reachable or to have a connection ready; a ProbeEnded
// must follow.
type Probe struct {
	Target  cassiaid.TargetName
	Address string
	// HealthPath is the path of a health check that the target has to answer, in whichever way; none is sent if it is empty.
	HealthPath string
	// HealthTimeout is how long the answer may take.
	HealthTimeout time.Duration
	// Once is true if the connection must not be kept for requests. Such checks are frequent, and of little interest for the log.
	Once bool
}

// DropAggregator closes the connection to an aggregator that did not reply. It may lead to an earlier process of the VM.
type DropAggregator struct{ VM cassiaid.VMName }

// Refresh asks for the list of targets to be read again, since a target's process is newer than the list.
type Refresh struct{}

// ViewChanged reports for the log that this VM changed its view of a target, a zone or an aggregator.
type ViewChanged struct {
	Event  Event
	Target cassiaid.TargetName
	Zone   cassiaid.Zone
	// VM is the aggregator of an EventAggregatorBackedOff.
	VM cassiaid.VMName
	// Cause is the outcome of the attempt that led to the change; it is empty for EventReached.
	Cause Outcome
	// Rate is, for an EventLimited, the rate of requests that the target accepts from all VMs together, and for an EventCold the one
	// that they plan with.
	Rate cassiabudget.Rate
	// Pause is, for an EventPaused, how long the target wants no requests, and for an EventCold how long it stays cold.
	Pause time.Duration
	// Unreached is, for EventEjected, the number of the target's ejections since it was last reached, or 0 if another
	// process was found at its address. It is 0 for other events.
	Unreached int
}

// Event is the kind of change that a ViewChanged reports; its value is the event name in the log.
type Event string

// Events that a ViewChanged reports.
const (
	// EventEjected means that the target receives no requests until a probe reaches it.
	EventEjected Event = "targetEjected"
	// EventReached means that an ejected target accepted a connection.
	EventReached Event = "targetReached"
	// EventAggregatorBackedOff means that an aggregator is not used for a backoff period, since it did not answer or did
	// not know the target.
	EventAggregatorBackedOff Event = "pathDoubted"
	// EventLimited means that the target names the rate of requests that it accepts, or another rate than before,
	// EventUnlimited that it names none any more.
	EventLimited   Event = "targetLimited"
	EventUnlimited Event = "targetUnlimited"
	// EventMalformedLimit means that what the target names is not a rate; the rate that it named before stays in force.
	EventMalformedLimit Event = "targetLimitMalformed"
	// EventLeaving means that the target has stated that it leaves, and receives no more requests.
	EventLeaving Event = "targetLeaving"
	// EventPaused means that the target has stated that it wants no requests for a time.
	EventPaused Event = "targetPaused"
	// EventMalformedPause means that what the target names is not a time.
	EventMalformedPause Event = "targetPauseMalformed"
	// EventCold means that the target is cold and the VMs bound the rate of requests to it; EventWarm means that it is warm again and
	// that rate rises in steps.
	EventCold Event = "targetCold"
	EventWarm Event = "targetWarm"
	// EventIsolated means that this VM reaches no target, so that other VMs serve its queries; EventReconnected means that it reaches
	// one again.
	EventIsolated    Event = "isolated"
	EventReconnected Event = "reconnected"
	// EventZoneSilent means that all targets of a zone were ejected, since several left attempts unanswered and none
	// answered.
	EventZoneSilent Event = "zoneSilent"
)

// RetryShareChanged reports that this VM's share of the retry budgets' slack has changed. Each service has a retry
// budget, all of the same size.
type RetryShareChanged struct {
	// VMs is the number of VMs that the slack is divided among.
	VMs int
	// Slack is this VM's share, in requests per window of the budget. It is 0 while the other VMs may not count this
	// VM.
	Slack float64
}

// ExtraRequest reports an attempt beyond the first of a shard: one that was sent, or one that the retry budget did not
// allow.
type ExtraRequest struct{ Kind ExtraRequestKind }

// ExtraRequestKind is the reason for an attempt beyond the first of a shard, or its denial.
type ExtraRequestKind string

// Kinds of attempts beyond the first of a shard.
const (
	// ExtraHedge is sent while an earlier attempt that is late is still running.
	ExtraHedge ExtraRequestKind = "hedge"
	// ExtraRetry is sent after an earlier attempt that a target received and that did not succeed; it is charged to the
	// retry budget.
	ExtraRetry ExtraRequestKind = "retry"
	// ExtraUnpaid is a retry that costs no retry budget, since the attempts before it reached no target or the budget
	// has already been charged for it.
	ExtraUnpaid ExtraRequestKind = "unpaid"
	// ExtraDenied is a hedge or a retry that the retry budget did not allow.
	ExtraDenied ExtraRequestKind = "denied"
)

// Finish ends a query; it is emitted exactly once for each Arrived unless a CallerGone comes first.
type Finish struct {
	Query  QueryID
	Answer Answer
}

// WakeAt asks for a Tick at a time; it replaces the time of the previous WakeAt.
type WakeAt struct{ Time time.Time }

func (Send) isEffect()              {}
func (Forward) isEffect()           {}
func (CancelForward) isEffect()     {}
func (Cancel) isEffect()            {}
func (Probe) isEffect()             {}
func (DropAggregator) isEffect()    {}
func (Refresh) isEffect()           {}
func (ViewChanged) isEffect()       {}
func (ExtraRequest) isEffect()      {}
func (RetryShareChanged) isEffect() {}
func (Finish) isEffect()            {}
func (WakeAt) isEffect()            {}

// Answer is the result of a query; exactly one of Reply, Forwarded, Merged and Refusal is set.
type Answer struct {
	Reply *Reply
	// Forwarded is the answer of the VM that served the query for this one, to be passed on unchanged.
	Forwarded *Reply
	Merged    *Merged
	Refusal   *Refusal
	// Statements holds, for a query of another VM, what targets have stated in answers to it.
	Statements []TargetStatement
	// Trace describes how the answer came about.
	Trace Trace
}

// Merged is the answer to a query of a fan-out route, merged from the answers of its shards.
type Merged struct {
	// Stamps holds, for each merged shard, the target's proof that it answered this request.
	Stamps []string
	// Missing is the number of shards without an answer in the result.
	Missing int
	// Body holds the greatest records of all merged shards, in descending order, at most the route's TopK.
	Body []byte
}

// Refusal ends a query without an answer.
type Refusal struct {
	Reason RefusalReason
	// NotRun is true if no target has run the request or will run it.
	NotRun bool
	// RetryAfter is how long the caller should wait before it repeats the request, if NotRun is true.
	RetryAfter time.Duration
}

// RefusalReason is the reason why a query was refused.
type RefusalReason string

// Reasons for a refusal.
const (
	// RefusalUnreachable means that too few shards have a reachable target.
	RefusalUnreachable RefusalReason = "unreachable"
	// RefusalIsolated means that this VM reaches no target; it is used only for queries of other VMs, which can pass them on elsewhere.
	RefusalIsolated RefusalReason = "isolated"
	// RefusalOverloaded means that the targets are busy for longer than the query can wait.
	RefusalOverloaded RefusalReason = "overloaded"
	// RefusalLimited means that the targets accept too few requests per second to answer the query in time.
	RefusalLimited RefusalReason = "limited"
	// RefusalFailed means that too many shards failed on the targets that were tried.
	RefusalFailed RefusalReason = "failed"
	// RefusalQuarantined means that the request crashes the targets that run it.
	RefusalQuarantined RefusalReason = "quarantined"
	// RefusalUnauthorized means that the caller's API key was taken away, or that this VM knows too little of the store to tell.
	RefusalUnauthorized RefusalReason = "unauthorized"
	// RefusalStopping means that this VM ended before the query had an answer.
	RefusalStopping RefusalReason = "stopping"
	// RefusalTimedOut means that the time of the query ran out.
	RefusalTimedOut RefusalReason = "timedOut"
)

// Trace counts the work behind an answer: shards and attempts.
type Trace struct {
	Shards   int
	Answered int
	Attempts int
	// OtherZones counts the attempts on targets outside of this VM's zone; Attempts includes them.
	OtherZones int
	Hedges     int
	Retries    int
	// Unpaid counts the retries that cost no retry budget (see ExtraUnpaid); Retries includes them.
	Unpaid int
	// Denied counts hedges and retries that the retry budget did not allow.
	Denied int
	// Skipped counts shards that were given up on arrival because their targets were busy, Dropped those given up after
	// waiting too long.
	Skipped int
	Dropped int
	// Late counts the shards that would have been answered too late when the query arrived, Spare how many of them coverage could
	// do without. LongestWait is the longest estimated wait among them, for a target of LongestWaitService.
	Late               int
	Spare              int
	LongestWait        time.Duration
	LongestWaitService cassiacatalog.ServiceName
	// Unreachable counts the shards without a reachable target.
	Unreachable int
	// Forwards counts the VMs that the query was passed on to, ForwardedTo is the last of them.
	Forwards    int
	ForwardedTo cassiaid.VMName
	// LastFailure is the last failed attempt, formatted as outcome@target.
	LastFailure string
	// Unanswered is the number of attempts without an outcome when the query was refused, UnansweredTarget the target of one of them.
	Unanswered       int
	UnansweredTarget cassiaid.TargetName
	Elapsed          time.Duration
}

package cassiagateway

import (
	"time"

	"cassiasaddle/core/cassiaavailability"
	"cassiasaddle/core/cassiabudget"
	"cassiasaddle/core/cassiacatalog"
	"cassiasaddle/core/cassiadirectory"
	"cassiasaddle/core/cassiaid"
)

// QueryID identifies a query while this VM serves it.
type QueryID uint64

// Message is an input of Update: an event of a query, an attempt or a target, a new configuration, or the passing of
// time.
type Message interface{ isMessage() }

// Arrived reports a new request whose body has been read completely.
type Arrived struct {
	Query QueryID
	Route *cassiacatalog.Route
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// ForOther is true if another VM passed the request on to this one, which must not pass it on again.
	ForOther bool
	// Team is the team that holds the caller's API key, and Key the hash of the key; Team is nil for a caller without a valid key.
	Team *cassiacatalog.Team
	Key  cassiacatalog.KeyHash
}

// ZoneUnreached reports that several VMs of an availability zone left a check that was sent at a time without a reply.
type ZoneUnreached struct {
	Zone   cassiaid.Zone
	SentAt time.Time
}

// CallerGone reports that the caller of a query no longer waits for its answer.
type CallerGone struct{ Query QueryID }

// AttemptBegins reports that the connection of an attempt is open and its first byte is about to be sent. Update returns
// a Cancel if the attempt is no longer needed.
type AttemptBegins struct{ Attempt cassiaid.AttemptID }

// ProbeEnded reports whether the target of a Probe accepted a connection and answered the health check, if one was asked for.
type ProbeEnded struct {
	Target  cassiaid.TargetName
	Reached bool
	// Reset is true if the connection that was accepted ended at once.
	Reset bool
	// Once is that of the Probe.
	Once bool
	// ColdFor is how long the target stays cold according to its answer; 0 if that does not tell.
	ColdFor time.Duration
	// Broken is true if the reply to the health check is unusable. The target is reached, but not healthy.
	Broken bool
}

// TargetUnreached reports that a target did not answer what this VM sent to it for another VM.
type TargetUnreached struct{ SentAt time.Time }

// TargetStatement is what a process of a target has stated about further requests.
type TargetStatement struct {
	Process   cassiaavailability.Process
	Statement cassiaavailability.Statement
}

// TargetStated reports what a target has stated to another VM.
type TargetStated struct{ TargetStatement }

// ForwardAccepted reports that a VM serves the query of a Forward.
type ForwardAccepted struct {
	Query QueryID
	VM    cassiaid.VMName
}

// ForwardEnded reports how a Forward ended; exactly one follows each.
type ForwardEnded struct {
	Query   QueryID
	VM      cassiaid.VMName
	Outcome ForwardOutcome
	// Reply is the VM's answer for the caller if Outcome is ForwardAnswered.
	Reply *Reply
	// Statements holds what targets have stated to that VM in answers to the query.
	Statements []TargetStatement
}

// ForwardOutcome is the way a Forward ended.
type ForwardOutcome string

// Outcomes of a Forward.
const (
	// ForwardAnswered means that the VM answered the query, possibly with a refusal.
	ForwardAnswered ForwardOutcome = "answered"
	// ForwardDeclined means that the VM takes no queries of other VMs now, or that the query was not sent to it; no target runs it.
	ForwardDeclined ForwardOutcome = "declined"
	// ForwardUnreachable means that the VM reaches targets, but not those of this query; no target runs it.
	ForwardUnreachable ForwardOutcome = "unreachable"
	// ForwardLost means that the VM did not answer; a target may run the query.
	ForwardLost ForwardOutcome = "lost"
)

// AttemptEnded reports the outcome of an attempt; exactly one follows each Send.
type AttemptEnded struct {
	Attempt cassiaid.AttemptID
	Outcome Outcome
	// Reply is the target's answer; it is nil unless the target answered.
	Reply *Reply
	// Acceptance is what the answer states about the rate of requests that the target accepts.
	Acceptance cassiabudget.Acceptance
	// Statement is what the answer states about further requests, or for OutcomeUnwanted an earlier one.
	Statement cassiaavailability.Statement
}

// AttemptsEnded reports the outcomes of attempts that arrived in one frame of an aggregator. Their results were pruned
// against each other, so an answer uses either all of them or none.
type AttemptsEnded struct{ Ended []AttemptEnded }

// TargetsChanged replaces the list of usable targets.
type TargetsChanged struct{ Targets []cassiadirectory.Target }

// ServicesChanged replaces the configuration of the services.
type ServicesChanged struct {
	Services map[cassiacatalog.ServiceName]cassiacatalog.Service
	// FanOut holds the services that are shards of any route, LargestFanOut the most shards of one.
	FanOut        map[cassiacatalog.ServiceName]bool
	LargestFanOut int
	// Teams holds the teams whose API keys are accepted; nil if requests need none.
	Teams *cassiacatalog.Teams
}

// VM describes one VM of the cluster.
type VM struct {
	Name cassiaid.VMName
	Zone cassiaid.Zone
	// Cores is the number of processor cores that the VM may use, possibly a fraction; 0 if unknown.
	Cores float64
}

// FleetChanged replaces the list of VMs that share the targets.
type FleetChanged struct{ VMs []VM }

// FleetConfirmed reports a response of the platform's key-value service that confirms the list of the last
// FleetChanged.
type FleetConfirmed struct{}

// Tick reports that the time of the last WakeAt has come.
type Tick struct{}

func (Arrived) isMessage()         {}
func (CallerGone) isMessage()      {}
func (AttemptBegins) isMessage()   {}
func (AttemptEnded) isMessage()    {}
func (ProbeEnded) isMessage()      {}
func (AttemptsEnded) isMessage()   {}
func (TargetUnreached) isMessage() {}
func (ZoneUnreached) isMessage()   {}
func (TargetStated) isMessage()    {}
func (ForwardAccepted) isMessage() {}
func (ForwardEnded) isMessage()    {}
func (TargetsChanged) isMessage()  {}
func (ServicesChanged) isMessage() {}
func (FleetChanged) isMessage()    {}
func (FleetConfirmed) isMessage()  {}
func (Tick) isMessage()            {}

// Outcome is the way an attempt ended.
type Outcome string

// Outcomes of an attempt.
const (
	// OutcomeAnswered is a complete, successful answer.
	OutcomeAnswered Outcome = "answered"
	// OutcomeFailed is a complete answer other than a success, by a target that ran the request.
	OutcomeFailed Outcome = "failed"
	// OutcomeRejected is an answer in which the target states that it did not run the request.
	OutcomeRejected Outcome = "rejected"
	// OutcomeWrongTarget is an answer in which a different target at the same address states that it did not run the
	// request.
	OutcomeWrongTarget Outcome = "wrongTarget"
	// OutcomeUnsent means that the target was not reached: no byte of the request was sent to it.
	OutcomeUnsent Outcome = "unsent"
	// OutcomeAbandoned means that the attempt was cancelled before any byte was sent; it says nothing about the target.
	OutcomeAbandoned Outcome = "abandoned"
	// OutcomeAggregatorLost means that the aggregator that should have sent the attempt could not be reached. The
	// request may have run, since the aggregator may have received it.
	OutcomeAggregatorLost Outcome = "pathLost"
	// OutcomeTargetUnknown means that the aggregator that should have sent the attempt does not know the target; nothing
	// was sent.
	OutcomeTargetUnknown Outcome = "pathUnfit"
	// OutcomeOverBudget means that the aggregator refused to send an attempt beyond the first, since the service's retry
	// budget is spent; nothing was sent.
	OutcomeOverBudget Outcome = "overBudget"
	// OutcomeUnfit means that the aggregator considers the target stalled or failing; nothing was sent.
	OutcomeUnfit Outcome = "unfit"
	// OutcomeUnwanted means that nothing was sent because the target has stated to the sending VM that it leaves, or that it wants no
	// requests for now.
	OutcomeUnwanted Outcome = "unwanted"
	// OutcomeWithheld means that nothing was sent because the request may crash targets and runs elsewhere.
	OutcomeWithheld Outcome = "withheld"
	// OutcomeQuarantined means that nothing was sent because the request crashes targets.
	OutcomeQuarantined Outcome = "quarantined"
	// OutcomeLost means that the target's process ended before it answered; the request may have run.
	OutcomeLost Outcome = "lost"
	// OutcomeBroken means that the connection broke or the answer is unusable; the request may have run.
	OutcomeBroken Outcome = "broken"
	// OutcomeSilent means that the attempt was given up after waiting too long for an answer; the request may have run.
	OutcomeSilent Outcome = "silent"
)

// mayHaveRun returns false if the target certainly did not run the request.
func (o Outcome) mayHaveRun() bool {
	switch o {
	case OutcomeRejected, OutcomeWrongTarget:
		return false
	default:
		return o.reachedTarget()
	}
}

// Reached tells what the outcome shows of the link to the target: answered if something came back, unanswered if nothing did and the
// link may be the reason. Neither is set for other outcomes.
func (o Outcome) Reached() (answered, unanswered bool) {
	switch o {
	case OutcomeAnswered, OutcomeFailed, OutcomeRejected, OutcomeWrongTarget:
		return true, false
	case OutcomeUnsent, OutcomeSilent:
		return false, true
	}
	return false, false
}

// reachedTarget returns false if certainly no target received the request.
func (o Outcome) reachedTarget() bool {
	switch o {
	case OutcomeUnsent, OutcomeAbandoned, OutcomeTargetUnknown, OutcomeOverBudget, OutcomeUnfit, OutcomeUnwanted, OutcomeWithheld,
		OutcomeQuarantined:
		return false
	default:
		return true
	}
}

// Reply is a target's complete answer.
type Reply struct {
	Status int
	// Header holds the headers as received; those that concern only the target's connection are not passed on.
	Header map[string][]string
	// Stamp is the target's proof that it answered this request.
	Stamp string
	Body  []byte
}

// ParseOutcome returns the outcome with the given name, or OutcomeBroken if the name is unknown.
func ParseOutcome(name string) Outcome {
	switch o := Outcome(name); o {
	case OutcomeAnswered, OutcomeFailed, OutcomeRejected, OutcomeWrongTarget, OutcomeUnsent, OutcomeAbandoned, OutcomeAggregatorLost,
		OutcomeTargetUnknown, OutcomeOverBudget, OutcomeUnfit, OutcomeUnwanted, OutcomeLost, OutcomeSilent:
		return o
	default:
		return OutcomeBroken
	}
}

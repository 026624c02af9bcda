package cassiagateway

import (
	"time"

	"cassiasaddle/core/cassiacatalog"
	"cassiasaddle/core/cassiadirectory"
	"cassiasaddle/core/cassiaid"
)

// QueryID identifies one request while this VM serves it.
type QueryID uint64

// Message is something that happened to requests or targets.
type Message interface{ isMessage() }

// Arrived tells of a request that was read whole.
type Arrived struct {
	Query QueryID
	Route *cassiacatalog.Route
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// CallerGone tells that nobody waits for a request any more.
type CallerGone struct{ Query QueryID }

// AttemptBegins tells that a connection is open and the first byte is about to leave; it is answered by a Cancel if the
// attempt is no longer wanted.
type AttemptBegins struct{ Attempt cassiaid.AttemptID }

// ProbeEnded tells whether the target of a Probe took a connection.
type ProbeEnded struct {
	Target  cassiaid.TargetName
	Reached bool
}

// AttemptEnded tells how an attempt ended; it follows each Send exactly once.
type AttemptEnded struct {
	Attempt cassiaid.AttemptID
	Outcome Outcome
	// Reply is what the target answered, if it did.
	Reply *Reply
}

// AttemptsEnded tells how several attempts ended that came in one frame, whose parts were sieved together: none of them is
// used without the others.
type AttemptsEnded struct{ Ended []AttemptEnded }

// TargetsChanged replaces the targets that may be used.
type TargetsChanged struct{ Targets []cassiadirectory.Target }

// ServicesChanged replaces the services.
type ServicesChanged struct {
	Services map[cassiacatalog.ServiceName]cassiacatalog.Service
	// FanOut are those that are shards of a route.
	FanOut map[cassiacatalog.ServiceName]bool
}

// VM is one VM of the system.
type VM struct {
	Name cassiaid.VMName
	Zone cassiaid.Zone
	// Cores is the processor time that the VM has, in cores; 0 when it is not known.
	Cores float64
}

// FleetChanged tells which VMs share the targets.
type FleetChanged struct{ VMs []VM }

// FleetConfirmed tells that the store was heard of and the last FleetChanged still holds.
type FleetConfirmed struct{}

// Tick tells that a time asked for by WakeAt has come.
type Tick struct{}

func (Arrived) isMessage()         {}
func (CallerGone) isMessage()      {}
func (AttemptBegins) isMessage()   {}
func (AttemptEnded) isMessage()    {}
func (ProbeEnded) isMessage()      {}
func (AttemptsEnded) isMessage()   {}
func (TargetsChanged) isMessage()  {}
func (ServicesChanged) isMessage() {}
func (FleetChanged) isMessage()    {}
func (FleetConfirmed) isMessage()  {}
func (Tick) isMessage()            {}

// Outcome tells how an attempt ended.
type Outcome string

// Outcomes of an attempt.
const (
	// OutcomeAnswered is a whole success.
	OutcomeAnswered Outcome = "answered"
	// OutcomeFailed is a whole answer other than a success, by a target that ran the request.
	OutcomeFailed Outcome = "failed"
	// OutcomeRejected is a target's word that it did not run the request.
	OutcomeRejected Outcome = "rejected"
	// OutcomeWrongTarget is the word of another target at the same address that it did not run the request.
	OutcomeWrongTarget Outcome = "wrongTarget"
	// OutcomeUnsent means that no byte of the request left this VM.
	OutcomeUnsent Outcome = "unsent"
	// OutcomeAbandoned means that the attempt was cancelled before any byte left; it says nothing of the target.
	OutcomeAbandoned Outcome = "abandoned"
	// OutcomePathLost means that the VM that should have sent the attempt could not be reached; the request may have run
	// unless that VM never got it.
	OutcomePathLost Outcome = "pathLost"
	// OutcomePathUnfit means that the VM that should have sent the attempt does not know the target; nothing was sent.
	OutcomePathUnfit Outcome = "pathUnfit"
	// OutcomeOverBudget means that the VM on the way refused to send a request beyond the first, since the service got too
	// many of them; nothing was sent.
	OutcomeOverBudget Outcome = "overBudget"
	// OutcomeUnfit means that the VM on the way, which sends to the target for all, found it stalled or failing; nothing was sent.
	OutcomeUnfit Outcome = "unfit"
	// OutcomeBroken means that the connection ended or the answer can't be used; the request may have run.
	OutcomeBroken Outcome = "broken"
	// OutcomeSilent means that no answer came for so long that the attempt was given up; the request may have run.
	OutcomeSilent Outcome = "silent"
)

// mayHaveRun is false when the target certainly did not run the request.
func (o Outcome) mayHaveRun() bool {
	switch o {
	case OutcomeRejected, OutcomeWrongTarget, OutcomeUnsent, OutcomeAbandoned, OutcomePathUnfit, OutcomeOverBudget, OutcomeUnfit:
		return false
	default:
		return true
	}
}

// reachedTarget is false when no target got the request.
func (o Outcome) reachedTarget() bool {
	switch o {
	case OutcomeUnsent, OutcomeAbandoned, OutcomePathUnfit, OutcomeOverBudget, OutcomeUnfit:
		return false
	default:
		return true
	}
}

// Reply is a target's whole answer.
type Reply struct {
	Status int
	Header map[string][]string
	// Stamp is the target's proof that it answered this request.
	Stamp string
	Body  []byte
}

// ParseOutcome returns the outcome with a name; an unknown one counts as broken.
func ParseOutcome(name string) Outcome {
	switch o := Outcome(name); o {
	case OutcomeAnswered, OutcomeFailed, OutcomeRejected, OutcomeWrongTarget, OutcomeUnsent, OutcomeAbandoned, OutcomePathLost,
		OutcomePathUnfit, OutcomeOverBudget, OutcomeUnfit, OutcomeSilent:
		return o
	default:
		return OutcomeBroken
	}
}

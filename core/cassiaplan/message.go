package cassiaplan

import (
	"time"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// Message is something that happened to a query.
type Message interface{ isMessage() }

// Begin starts the query; it is the first message.
type Begin struct{}

// Results brings outcomes of attempts from the VM that owns their targets, in any order and perhaps more than once.
type Results struct {
	Owner   cassiaid.VMName
	Results []*cassiaschema.ShardResult
}

// OwnerLost tells that a VM can no longer answer for the attempts sent to it.
type OwnerLost struct {
	Owner cassiaid.VMName
	// Sent is false when none of the attempts left this VM.
	Sent     bool
	Attempts []cassiaid.AttemptID
}

// OwnerSilent tells that a VM did not confirm a batch in time, though its connection stands.
type OwnerSilent struct{ Owner cassiaid.VMName }

// Knowledge brings what targets hold, as an owner that was asked sees them.
type Knowledge struct {
	Owner   cassiaid.VMName
	Targets []*cassiaschema.TargetKnowledge
	// Lost is true when the owner could not be asked or did not reply.
	Lost bool
}

// TimerFired tells that the time of an earlier SetTimer has come.
type TimerFired struct{}

// Quarantined tells that the query's fingerprint is now refused everywhere.
type Quarantined struct{ Remaining time.Duration }

// CallerGone tells that nobody waits for the answer any more.
type CallerGone struct{}

func (Begin) isMessage()       {}
func (Results) isMessage()     {}
func (OwnerLost) isMessage()   {}
func (OwnerSilent) isMessage() {}
func (Knowledge) isMessage()   {}
func (TimerFired) isMessage()  {}
func (Quarantined) isMessage() {}
func (CallerGone) isMessage()  {}

package cassiaplan

import (
	"time"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// Message is an event that Update processes.
type Message interface{ isMessage() }

// Begin starts the query; it is the first message.
type Begin struct{}

// Results carries outcomes of attempts from the VM that owns their targets. They may arrive in any order and more than
// once.
type Results struct {
	Owner   cassiaid.VMName
	Results []*cassiaschema.ShardResult
}

// OwnerLost reports that a VM can no longer deliver results for the attempts sent to it.
type OwnerLost struct {
	Owner cassiaid.VMName
	// Sent is false if none of the attempts left this VM, which proves that they did not start.
	Sent     bool
	Attempts []cassiaid.AttemptID
}

// OwnerSilent reports that a VM did not acknowledge a batch in time although its connection is still open.
type OwnerSilent struct{ Owner cassiaid.VMName }

// Knowledge carries the snapshots of targets as reported by an owner in reply to AskKnowledge.
type Knowledge struct {
	Owner   cassiaid.VMName
	Targets []*cassiaschema.TargetKnowledge
	// Lost is true when the owner could not be asked or did not reply.
	Lost bool
}

// TimerFired reports that the time of the last SetTimer has come.
type TimerFired struct{}

// Quarantined reports that the query's fingerprint is now quarantined on all VMs for the remaining time.
type Quarantined struct{ Remaining time.Duration }

// CallerGone reports that the caller no longer waits for the answer.
type CallerGone struct{}

func (Begin) isMessage()       {}
func (Results) isMessage()     {}
func (OwnerLost) isMessage()   {}
func (OwnerSilent) isMessage() {}
func (Knowledge) isMessage()   {}
func (TimerFired) isMessage()  {}
func (Quarantined) isMessage() {}
func (CallerGone) isMessage()  {}

package cassiaroute

import (
	"time"

	"cassiasaddle/core/cassiaid"
)

// Effect is an action that the caller of Update has to perform.
type Effect interface{ isEffect() }

// ShareLeaving asks the caller to tell the other VMs that a target is leaving, or that it is back when Leaving is
// false.
type ShareLeaving struct {
	Target  cassiaid.TargetName
	Leaving bool
	// Remaining is how long the notice is valid.
	Remaining time.Duration
}

// Ejected reports that a target gets only occasional trial attempts for the duration For, or is avoided until its
// health endpoint reports it usable again if the reason is EjectHealth. The caller counts and logs it.
type Ejected struct {
	Target cassiaid.TargetName
	Reason EjectReason
	For    time.Duration
}

// EjectionSkipped reports that a target met the condition for an ejection but stays in use, because its shard has too
// few other replicas in use.
type EjectionSkipped struct {
	Target cassiaid.TargetName
	Reason EjectReason
}

func (ShareLeaving) isEffect()    {}
func (Ejected) isEffect()         {}
func (EjectionSkipped) isEffect() {}

// EjectReason is the reason why a target was ejected.
type EjectReason string

// Reasons for an ejection.
const (
	EjectSlow        EjectReason = "slow"
	EjectFailing     EjectReason = "failing"
	EjectUnanswered  EjectReason = "unanswered"
	EjectUnreachable EjectReason = "unreachable"
	EjectLost        EjectReason = "lost"
	EjectHealth      EjectReason = "health"
)

package cassiaroute

import (
	"time"

	"cassiasaddle/core/cassiaid"
)

// Effect is something the caller of Update has to do.
type Effect interface{ isEffect() }

// ShareLeaving asks to tell the other VMs that a target is leaving or back.
type ShareLeaving struct {
	Target    cassiaid.TargetName
	Leaving   bool
	Remaining time.Duration
}

// Ejected reports that a target gets only a trickle of work for a time; the caller counts and logs it.
type Ejected struct {
	Target cassiaid.TargetName
	Reason EjectReason
	For    time.Duration
}

// EjectKept reports that a target would have been ejected, had its shard enough other replicas.
type EjectKept struct {
	Target cassiaid.TargetName
	Reason EjectReason
}

func (ShareLeaving) isEffect() {}
func (Ejected) isEffect()      {}
func (EjectKept) isEffect()    {}

// EjectReason tells why a target was ejected.
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

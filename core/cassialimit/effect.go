package cassialimit

import (
	"time"

	"cassiasaddle/core/cassiaid"
)

// Effect is something the caller of Update has to do.
type Effect interface{ isEffect() }

// Start runs an attempt on the target now.
type Start struct{ ID cassiaid.AttemptID }

// Refuse ends an attempt that never started.
type Refuse struct {
	ID     cassiaid.AttemptID
	Reason Reason
}

// Stop asks the target to give up an attempt that runs; its Done still follows.
type Stop struct{ ID cassiaid.AttemptID }

// WakeAt asks for a Tick at a time; it replaces the time asked for before.
type WakeAt struct{ Time time.Time }

func (Start) isEffect()  {}
func (Refuse) isEffect() {}
func (Stop) isEffect()   {}
func (WakeAt) isEffect() {}

// Reason tells why an attempt was refused without being started.
type Reason string

// Reasons for a refusal.
const (
	// ReasonOverloaded means that the queue is full or too long for the attempt's deadline.
	ReasonOverloaded Reason = "overloaded"
	ReasonDraining   Reason = "draining"
	// ReasonTimedOut means that the deadline came while the attempt waited.
	ReasonTimedOut  Reason = "timedOut"
	ReasonCancelled Reason = "cancelled"
	// ReasonLost means that the target's process was lost while the attempt waited.
	ReasonLost Reason = "lost"
)

package cassialimit

import (
	"time"

	"cassiasaddle/core/cassiaid"
)

// Effect is an action that the caller of Update has to perform.
type Effect interface{ isEffect() }

// Start asks the caller to run an attempt on the target now.
type Start struct{ ID cassiaid.AttemptID }

// Refuse ends an attempt that was not started.
type Refuse struct {
	ID     cassiaid.AttemptID
	Reason Reason
}

// Stop asks the caller to cancel a running attempt; its Done still has to follow.
type Stop struct{ ID cassiaid.AttemptID }

// WakeAt asks the caller to send a Tick at a time; it replaces the previous WakeAt.
type WakeAt struct{ Time time.Time }

func (Start) isEffect()  {}
func (Refuse) isEffect() {}
func (Stop) isEffect()   {}
func (WakeAt) isEffect() {}

// Reason is the cause of a Refuse.
type Reason string

// Reasons for a refusal.
const (
	// ReasonOverloaded means that the queue is full or too long for the attempt's deadline.
	ReasonOverloaded Reason = "overloaded"
	// ReasonDraining means that the target accepts no new attempts.
	ReasonDraining Reason = "draining"
	// ReasonTimedOut means that the deadline passed before the attempt was offered or while it waited.
	ReasonTimedOut Reason = "timedOut"
	// ReasonCancelled means that a Cancel came while the attempt waited.
	ReasonCancelled Reason = "cancelled"
	// ReasonLost means that the target's process was lost while the attempt waited.
	ReasonLost Reason = "lost"
)

package cassialimit

import (
	"time"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// Message is something that happened to a target's attempts.
type Message interface{ isMessage() }

// Offer asks to run an attempt; it is answered by exactly one Start or Refuse.
type Offer struct {
	ID       cassiaid.AttemptID
	Deadline time.Time
	Priority cassiaschema.Priority
	// Alone asks to run the attempt while nothing else runs on the target.
	Alone bool
}

// Done tells that a started attempt has ended.
type Done struct {
	ID      cassiaid.AttemptID
	Outcome cassiaschema.ShardOutcome
	Elapsed time.Duration
}

// Cancel tells that an attempt is no longer wanted.
type Cancel struct{ ID cassiaid.AttemptID }

// Drain tells that the target takes no new work.
type Drain struct{}

// Undrain tells that the target takes work again.
type Undrain struct{}

// Lost tells that the target's process or its connections are gone; those that run end by Done.
type Lost struct{}

// Tick tells that a time asked for by WakeAt has come.
type Tick struct{}

// BoundsChanged replaces the bounds and keeps what was learned.
type BoundsChanged struct{ Bounds Bounds }

func (Offer) isMessage()         {}
func (Done) isMessage()          {}
func (Cancel) isMessage()        {}
func (Drain) isMessage()         {}
func (Undrain) isMessage()       {}
func (Lost) isMessage()          {}
func (Tick) isMessage()          {}
func (BoundsChanged) isMessage() {}

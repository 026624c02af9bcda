package cassialimit

import (
	"time"

	"cassiasaddle/core/cassiabudget"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// Message is an input of a Limiter.
type Message interface{ isMessage() }

// Offer asks to run an attempt; exactly one Start or Refuse follows.
type Offer struct {
	ID       cassiaid.AttemptID
	Deadline time.Time
	Priority cassiaschema.Priority
	// Alone asks to run the attempt while no other attempt runs on the target.
	Alone bool
}

// Done reports that a started attempt has ended.
type Done struct {
	ID      cassiaid.AttemptID
	Outcome cassiaschema.ShardOutcome
	Elapsed time.Duration
	// Acceptance is what the target's answer states about the rate of requests that the target accepts.
	Acceptance cassiabudget.Acceptance
}

// Cancel reports that the result of an attempt is no longer needed.
type Cancel struct{ ID cassiaid.AttemptID }

// Drain reports that the target accepts no new attempts.
type Drain struct{}

// Undrain reports that the target accepts attempts again.
type Undrain struct{}

// Lost reports that the target's process or its connections are gone. Each running attempt still ends with a Done.
type Lost struct{}

// Pause reports until when the target wants no attempts; a time that is zero or has passed ends an earlier pause.
type Pause struct{ Until time.Time }

// Tick reports that the time of the last WakeAt has come.
type Tick struct{}

// BoundsChanged replaces the bounds; the latency estimates are kept, and the limit is lowered to the new Concurrency if it exceeds
// it.
type BoundsChanged struct{ Bounds Bounds }

func (Offer) isMessage()         {}
func (Done) isMessage()          {}
func (Cancel) isMessage()        {}
func (Drain) isMessage()         {}
func (Undrain) isMessage()       {}
func (Lost) isMessage()          {}
func (Pause) isMessage()         {}
func (Tick) isMessage()          {}
func (BoundsChanged) isMessage() {}

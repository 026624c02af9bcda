package cassiapause

import (
	"time"

	"cassiasaddle/core/cassiaclock"
)

const (
	// BeatInterval is how often a Beat has to come while the VM runs.
	BeatInterval = 100 * time.Millisecond
	// minPause is the time without a Beat from which on the VM counts as paused. A busy processor causes shorter ones.
	minPause = time.Second
	// maxWait is how long a VM that was paused waits for news at most. It is several times as long as a call between availability
	// zones; a VM that hears nothing goes on with what it knows, as in an outage of the store.
	maxWait = 250 * time.Millisecond
)

// Message is an input of Detector.Update.
type Message interface{ isMessage() }

// Beat reports that the VM runs. It comes each BeatInterval, and before the VM acts on what it knows.
type Beat struct{}

// Learned reports an answer to a question about the state of the system, which was asked at a time.
type Learned struct{ AskedAt time.Time }

func (Beat) isMessage()    {}
func (Learned) isMessage() {}

// Effect is an action that the caller of Update has to perform.
type Effect interface{ isEffect() }

// Ask asks the caller to ask for news at once, since the VM was paused for a time.
type Ask struct{ Paused time.Duration }

// Proceed asks the caller to end all waits, since the VM has news.
type Proceed struct{}

func (Ask) isEffect()     {}
func (Proceed) isEffect() {}

// Detector notices pauses. Make it with NewDetector; it is not safe for concurrent use.
type Detector struct {
	clock     cassiaclock.Clock
	beatAt    time.Time
	resumedAt time.Time
	waiting   bool
}

// NewDetector returns a detector of a VM that begins to run.
func NewDetector(clock cassiaclock.Clock) *Detector {
	return &Detector{clock: clock, beatAt: clock.Now()}
}

// Update processes a message and returns the effect that the caller has to perform, or nil.
func (d *Detector) Update(m Message) Effect {
	now := d.clock.Now()
	switch m := m.(type) {
	case Beat:
		paused := now.Sub(d.beatAt)
		d.beatAt = now
		if paused >= minPause {
			d.resumedAt, d.waiting = now, true
			return Ask{Paused: paused}
		}
	case Learned:
		if d.waiting && !m.AskedAt.Before(d.resumedAt) {
			d.waiting = false
			return Proceed{}
		}
	}
	return nil
}

// WaitUntil returns the time until which the VM has to wait for news before it acts, or the zero time if it need not.
func (d *Detector) WaitUntil() time.Time {
	until := d.resumedAt.Add(maxWait)
	if !d.waiting || !d.clock.Now().Before(until) {
		return time.Time{}
	}
	return until
}

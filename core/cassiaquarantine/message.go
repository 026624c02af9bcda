package cassiaquarantine

import (
	"time"

	"cassiasaddle/core/cassiaid"
)

// Message is something that a Quarantine learns.
type Message interface{ isMessage() }

// Run is one attempt of a request on a target.
type Run struct {
	Attempt     cassiaid.AttemptID
	Fingerprint cassiaid.Fingerprint
	Shard       cassiaid.ShardIndex
	// Alone is true when Admit asked that nothing else run on the target.
	Alone bool
}

// Started tells that an attempt has left for its target.
type Started struct {
	Run    Run
	Target cassiaid.TargetName
}

// Ended tells how a started attempt ended.
type Ended struct {
	Attempt cassiaid.AttemptID
	Ending  Ending
}

// Ending is the part of an attempt's outcome that matters for blame.
type Ending int

// Endings of an attempt.
const (
	// EndingOther says nothing about the request: refused, cancelled or timed out.
	EndingOther Ending = iota
	// EndingAnswered means that the target ran the request and lived.
	EndingAnswered
	// EndingLost means that the target's connection died before the reply.
	EndingLost
)

// IdleLost tells that a target was lost while none of this VM's attempts ran on it.
type IdleLost struct{ Target cassiaid.TargetName }

// AnswerLearned tells that a target of another VM has answered a request.
type AnswerLearned struct {
	Fingerprint cassiaid.Fingerprint
	Shard       cassiaid.ShardIndex
	// Earlier is true when the answer came before the loss that made the request a suspect.
	Earlier bool
}

// LossLearned brings a loss that another VM has seen.
type LossLearned struct{ Loss Loss }

// LossShared tells that the other owners know of a loss that ShareLoss asked to tell them.
type LossShared struct{ Loss Loss }

// Learned brings a quarantine that another VM has decided.
type Learned struct {
	Fingerprint cassiaid.Fingerprint
	Remaining   time.Duration
}

func (Started) isMessage()       {}
func (Ended) isMessage()         {}
func (IdleLost) isMessage()      {}
func (AnswerLearned) isMessage() {}
func (LossLearned) isMessage()   {}
func (LossShared) isMessage()    {}
func (Learned) isMessage()       {}

// Loss is one target's crash and the attempts that ran on it.
type Loss struct {
	Target cassiaid.TargetName
	Runs   []Run
}

// Effect is something the caller of Update has to do.
type Effect interface{ isEffect() }

// ShareLoss asks to tell the other owners of the front's targets, before the attempt's outcome is reported to anyone.
type ShareLoss struct{ Loss Loss }

// ShareAnswer asks to tell the other owners of the front's targets that a suspected request was answered.
type ShareAnswer struct {
	Fingerprint cassiaid.Fingerprint
	Shard       cassiaid.ShardIndex
	Earlier     bool
}

// ShareQuarantine asks to tell all VMs to refuse a request.
type ShareQuarantine struct {
	Fingerprint cassiaid.Fingerprint
	Remaining   time.Duration
}

func (ShareLoss) isEffect()       {}
func (ShareAnswer) isEffect()     {}
func (ShareQuarantine) isEffect() {}

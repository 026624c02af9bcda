package cassiaquarantine

import (
	"time"

	"cassiasaddle/core/cassiaid"
)

// Message is an input of a Quarantine.
type Message interface{ isMessage() }

// Run is one attempt of a request on a target.
type Run struct {
	Attempt cassiaid.AttemptID
	// Fingerprint identifies the request among those of its caller.
	Fingerprint cassiaid.Fingerprint
	// Content identifies the request among those of all callers; zero if Fingerprint does not depend on the caller.
	Content cassiaid.Fingerprint
	Shard   cassiaid.ShardIndex
	// Alone is true when Admit returned VerdictAlone.
	Alone bool
}

// Fingerprints returns the fingerprints by which the run's request is judged.
func (r Run) Fingerprints() []cassiaid.Fingerprint {
	if r.Content == 0 {
		return []cassiaid.Fingerprint{r.Fingerprint}
	}
	return []cassiaid.Fingerprint{r.Fingerprint, r.Content}
}

// has reports whether f is one of the run's fingerprints.
func (r Run) has(f cassiaid.Fingerprint) bool { return r.Fingerprint == f || r.Content == f && f != 0 }

// Started reports that an attempt is being sent to its target.
type Started struct {
	Run    Run
	Target cassiaid.TargetName
}

// Ended reports how a started attempt ended.
type Ended struct {
	Attempt cassiaid.AttemptID
	Ending  Ending
}

// Ending is the outcome of an attempt as far as it shows whether the request crashes targets.
type Ending int

// Values of Ending.
const (
	// EndingOther means that the attempt was refused, cancelled or timed out, which shows nothing about the request.
	EndingOther Ending = iota
	// EndingAnswered means that the target ran the request and answered.
	EndingAnswered
	// EndingLost means that the target's connection was lost before the reply.
	EndingLost
)

// IdleLost reports that a target was lost while none of this VM's attempts ran on it.
type IdleLost struct{ Target cassiaid.TargetName }

// AnswerLearned reports that a target of another VM has answered a request.
type AnswerLearned struct {
	Fingerprint cassiaid.Fingerprint
	Shard       cassiaid.ShardIndex
	// BeforeLoss is true when the answer came before the loss that made the request a suspect.
	BeforeLoss bool
}

// LossLearned reports a loss that another VM has observed, Age before now.
type LossLearned struct {
	Loss Loss
	Age  time.Duration
}

// LossShared reports that the ShareLoss effect of a loss has been performed, so that the other owners know of the loss.
type LossShared struct{ Loss Loss }

// QuarantineLearned reports a quarantine that another VM has started.
type QuarantineLearned struct {
	Fingerprint cassiaid.Fingerprint
	Remaining   time.Duration
}

func (Started) isMessage()           {}
func (Ended) isMessage()             {}
func (IdleLost) isMessage()          {}
func (AnswerLearned) isMessage()     {}
func (LossLearned) isMessage()       {}
func (LossShared) isMessage()        {}
func (QuarantineLearned) isMessage() {}

// Loss is the crash of one target, with the attempts that ran on it.
type Loss struct {
	Target cassiaid.TargetName
	Runs   []Run
	// Reporter is the VM that observed the loss; empty for this VM.
	Reporter cassiaid.VMName
}

// Effect is an action that the caller of Update has to perform.
type Effect interface{ isEffect() }

// ShareLoss asks the caller to send a loss to the other owners of the front's targets before it reports the attempt's outcome, and
// to send LossShared afterwards.
type ShareLoss struct{ Loss Loss }

// ShareAnswer asks the caller to inform the other owners of the front's targets that a suspect was answered. Its fields are those
// of AnswerLearned.
type ShareAnswer struct {
	Fingerprint cassiaid.Fingerprint
	Shard       cassiaid.ShardIndex
	BeforeLoss  bool
}

// ShareQuarantine asks the caller to send a quarantine to all other VMs.
type ShareQuarantine struct {
	Fingerprint cassiaid.Fingerprint
	Remaining   time.Duration
	// Learned is true when another VM's message completed the blame, so that this VM is most likely not the only one to
	// decide on the quarantine.
	Learned bool
}

func (ShareLoss) isEffect()       {}
func (ShareAnswer) isEffect()     {}
func (ShareQuarantine) isEffect() {}

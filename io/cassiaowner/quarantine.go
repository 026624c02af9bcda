package cassiaowner

import (
	"context"
	"sync"
	"time"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaplan"
	"cassiasaddle/core/cassiaquarantine"
	"cassiasaddle/core/cassiaschema"
)

// Peers exchanges information about requests that crash targets with other VMs.
type Peers interface {
	// ShareLoss reports the loss of a target to the owners of the front's targets. It returns once each has
	// acknowledged it or could not be reached in time.
	ShareLoss(front cassiaid.FrontKey, loss cassiaquarantine.Loss)
	// ShareAnswer reports to the owners of the front's targets that a suspect was answered.
	ShareAnswer(front cassiaid.FrontKey, answer cassiaquarantine.ShareAnswer)
	// RunsElsewhere asks the other owners of the front's targets and reports whether one of them runs the request for a
	// shard.
	RunsElsewhere(front cassiaid.FrontKey, run cassiaquarantine.Run) bool
	// ShareQuarantine asks all VMs to refuse a request for the remaining time.
	ShareQuarantine(fingerprint cassiaid.Fingerprint, remaining time.Duration)
}

// Quarantine records on this VM which requests crash targets, and shares this with the other VMs. A suspect is a
// request that may have caused the loss of a target; an unproven request is one that is not known to have been
// answered. Quarantine is safe for concurrent use.
type Quarantine struct {
	mutex sync.Mutex
	core  *cassiaquarantine.Quarantine
	peers Peers
	// changed is closed at the next message that may let a waiting attempt start; nil while no attempt waits.
	changed chan struct{}
}

// NewQuarantine returns an empty Quarantine. If peers is nil, nothing is shared.
func NewQuarantine(clock cassiaplan.Clock, peers Peers) *Quarantine {
	return &Quarantine{core: cassiaquarantine.NewQuarantine(clock), peers: peers}
}

// Admit decides on an attempt when it arrives; Begin decides again before its start.
func (q *Quarantine) Admit(fingerprint cassiaid.Fingerprint, shard cassiaid.ShardIndex) cassiaquarantine.Verdict {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.core.Admit(fingerprint, shard)
}

// StartDecision is the verdict on an attempt that is about to start, and whether it had to wait.
type StartDecision struct {
	Verdict cassiaquarantine.Verdict
	// Waited is true when the attempt waited for another attempt of its request; Late when the wait reached its limit
	// before that one ended.
	Waited, Late bool
}

// Begin decides on an attempt that is about to start and records the start. Attempts of an unproven request wait for
// each other, up to limit. A suspect starts only if no other owner runs it. Each owner records its start before it asks
// the others, so two owners that ask at the same time both refuse their attempts. A VerdictWait means that ctx was
// cancelled.
func (q *Quarantine) Begin(ctx context.Context, front cassiaid.FrontKey, run cassiaquarantine.Run, target cassiaid.TargetName, limit time.Duration) StartDecision {
	decision := q.awaitStart(ctx, run, target, limit)
	if decision.Verdict != cassiaquarantine.VerdictAlone || q.peers == nil {
		return decision
	}
	switch {
	case q.peers.RunsElsewhere(front, run):
		decision.Verdict = cassiaquarantine.VerdictRefuseNow
	case q.Remaining(run.Fingerprint) > 0:
		decision.Verdict = cassiaquarantine.VerdictQuarantined
	default:
		return decision
	}
	q.performEffects(front, q.update(cassiaquarantine.Ended{Attempt: run.Attempt}))
	return decision
}

// awaitStart records the start of an attempt once no other attempt of its unproven request runs here, or after limit.
func (q *Quarantine) awaitStart(ctx context.Context, run cassiaquarantine.Run, target cassiaid.TargetName, limit time.Duration) StartDecision {
	var decision StartDecision
	var timeout <-chan time.Time
	for {
		verdict, changed := q.tryStart(run, target, decision.Late)
		decision.Verdict = verdict
		if verdict != cassiaquarantine.VerdictWait {
			return decision
		}
		if !decision.Waited {
			decision.Waited = true
			timer := time.NewTimer(limit)
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-changed:
		case <-timeout:
			decision.Late = true
		case <-ctx.Done():
			return decision
		}
	}
}

// tryStart decides on an attempt and records its start if it may run. For VerdictWait it returns a channel that is
// closed when the caller should try again; with limitReached, the attempt does not wait any more.
func (q *Quarantine) tryStart(run cassiaquarantine.Run, target cassiaid.TargetName, limitReached bool) (cassiaquarantine.Verdict, <-chan struct{}) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	admit := q.core.Admit
	if limitReached {
		admit = q.core.AdmitAfterWait
	}
	verdict := admit(run.Fingerprint, run.Shard)
	if verdict == cassiaquarantine.VerdictWait {
		if q.changed == nil {
			q.changed = make(chan struct{})
		}
		return verdict, q.changed
	}
	if verdict == cassiaquarantine.VerdictAlone && !run.Alone {
		// The attempt arrived before its request became a suspect and would now start beside other attempts; a later
		// attempt runs alone.
		verdict = cassiaquarantine.VerdictRefuseNow
	}
	if !refuses(verdict) {
		q.core.Update(cassiaquarantine.Started{Run: run, Target: target})
	}
	return verdict, nil
}

// End records the outcome of a started attempt and shares the consequences with the other VMs before it returns.
func (q *Quarantine) End(front cassiaid.FrontKey, attempt cassiaid.AttemptID, result *cassiaschema.ShardResult) {
	q.performEffects(front, q.update(cassiaquarantine.Ended{Attempt: attempt, Ending: endingOf(result)}))
}

// ApplyNotice applies a message of another VM. It returns the answers that this VM can confirm and shares the other
// effects.
func (q *Quarantine) ApplyNotice(m cassiaquarantine.Message) []cassiaquarantine.ShareAnswer {
	var answers []cassiaquarantine.ShareAnswer
	var others []cassiaquarantine.Effect
	for _, e := range q.update(m) {
		if a, ok := e.(cassiaquarantine.ShareAnswer); ok {
			answers = append(answers, a)
			continue
		}
		others = append(others, e)
	}
	q.performEffects(cassiaid.FrontKey{}, others)
	return answers
}

// Undecided reports whether a request is a suspect that is neither quarantined nor cleared for a shard.
func (q *Quarantine) Undecided(fingerprint cassiaid.Fingerprint, shard cassiaid.ShardIndex) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.core.Undecided(fingerprint, shard)
}

// BlocksOtherVMs reports whether other VMs must not run a suspect for a shard, because this VM runs it, has
// quarantined it, or has not yet shared a loss that it caused.
func (q *Quarantine) BlocksOtherVMs(fingerprint cassiaid.Fingerprint, shard cassiaid.ShardIndex) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.core.BlocksOtherVMs(fingerprint, shard)
}

// Running reports whether this VM runs a request for a shard.
func (q *Quarantine) Running(fingerprint cassiaid.Fingerprint, shard cassiaid.ShardIndex) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.core.Running(fingerprint, shard)
}

// Remaining returns how long a request is still refused, or 0 when it is not.
func (q *Quarantine) Remaining(fingerprint cassiaid.Fingerprint) time.Duration {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.core.Remaining(fingerprint)
}

// NeedsCanary reports whether a front's policy requires a canary for a request: no target is known to have answered it
// recently, and the policy is always, or a target was lost recently, or the request was quarantined recently.
func (q *Quarantine) NeedsCanary(fingerprint cassiaid.Fingerprint, policy cassiaschema.Canary) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.core.NeedsCanary(fingerprint, policy)
}

// Answered records that a shard answered a request.
func (q *Quarantine) Answered(fingerprint cassiaid.Fingerprint, shard cassiaid.ShardIndex) {
	q.ApplyNotice(cassiaquarantine.AnswerLearned{Fingerprint: fingerprint, Shard: shard})
}

func (q *Quarantine) update(m cassiaquarantine.Message) []cassiaquarantine.Effect {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	effects := q.core.Update(m)
	if q.changed != nil {
		close(q.changed)
		q.changed = nil
	}
	return effects
}

// performEffects sends the notices to the other VMs. A loss is recorded as shared once its notice was delivered or
// could not be in time.
func (q *Quarantine) performEffects(front cassiaid.FrontKey, effects []cassiaquarantine.Effect) {
	for _, e := range effects {
		if q.peers != nil {
			q.notifyPeers(front, e)
		}
		if loss, ok := e.(cassiaquarantine.ShareLoss); ok {
			q.update(cassiaquarantine.LossShared(loss))
		}
	}
}

func (q *Quarantine) notifyPeers(front cassiaid.FrontKey, e cassiaquarantine.Effect) {
	switch e := e.(type) {
	case cassiaquarantine.ShareLoss:
		q.peers.ShareLoss(front, e.Loss)
	case cassiaquarantine.ShareAnswer:
		q.peers.ShareAnswer(front, e)
	case cassiaquarantine.ShareQuarantine:
		q.peers.ShareQuarantine(e.Fingerprint, e.Remaining)
	}
}

func endingOf(result *cassiaschema.ShardResult) cassiaquarantine.Ending {
	switch {
	case result.Outcome == cassiaschema.ShardOutcome_answered:
		return cassiaquarantine.EndingAnswered
	case result.TargetLost:
		return cassiaquarantine.EndingLost
	}
	return cassiaquarantine.EndingOther
}

func refuses(verdict cassiaquarantine.Verdict) bool {
	return verdict == cassiaquarantine.VerdictQuarantined || verdict == cassiaquarantine.VerdictRefuseNow
}

// refusalOf returns the outcome of an attempt that was refused by a verdict.
func refusalOf(verdict cassiaquarantine.Verdict) cassiaschema.ShardOutcome {
	if verdict == cassiaquarantine.VerdictQuarantined {
		return cassiaschema.ShardOutcome_quarantined
	}
	return cassiaschema.ShardOutcome_overloaded
}

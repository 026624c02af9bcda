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

// Peers tells other VMs which requests lose targets.
type Peers interface {
	// ShareLoss tells the owners of the front's targets; it returns when they know or cannot be reached in time.
	ShareLoss(front cassiaid.FrontKey, loss cassiaquarantine.Loss)
	// ShareAnswer tells the owners of the front's targets that a suspected request was answered.
	ShareAnswer(front cassiaid.FrontKey, answer cassiaquarantine.ShareAnswer)
	// RunsElsewhere asks the other owners of the front's targets whether one of them runs a request for a shard.
	RunsElsewhere(front cassiaid.FrontKey, run cassiaquarantine.Run) bool
	// ShareQuarantine tells all VMs to refuse a request.
	ShareQuarantine(fingerprint cassiaid.Fingerprint, remaining time.Duration)
}

// Quarantine guards this VM's record of requests that crash targets.
type Quarantine struct {
	mutex sync.Mutex
	core  *cassiaquarantine.Quarantine
	peers Peers
	// changed is closed at the next message that may let a waiting attempt go on; nil while none waits.
	changed chan struct{}
}

// NewQuarantine returns an empty record; sharer may be nil.
func NewQuarantine(clock cassiaplan.Clock, peers Peers) *Quarantine {
	return &Quarantine{core: cassiaquarantine.NewQuarantine(clock), peers: peers}
}

// Admit decides on an attempt when it comes.
func (q *Quarantine) Admit(fingerprint cassiaid.Fingerprint, shard cassiaid.ShardIndex) cassiaquarantine.Verdict {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.core.Admit(fingerprint, shard)
}

// StartDecision tells how an attempt came to its start.
type StartDecision struct {
	Verdict cassiaquarantine.Verdict
	// Waited is true when another attempt of the request ran before; Late when the wait was over before its outcome.
	Waited, Late bool
}

// Begin decides again when an attempt is about to start and records the start. Attempts of a request that nobody is known
// to have answered wait for each other, up to a limit. A suspect starts only when no other owner runs it: both record the
// start before they ask, so that of two that ask at once neither goes on.
func (q *Quarantine) Begin(ctx context.Context, front cassiaid.FrontKey, run cassiaquarantine.Run, target cassiaid.TargetName, limit time.Duration) StartDecision {
	decision := q.awaitStart(ctx, run, target, limit)
	if decision.Verdict != cassiaquarantine.VerdictAlone || q.peers == nil {
		return decision
	}
	switch {
	case q.peers.RunsElsewhere(front, run):
		decision.Verdict = cassiaquarantine.VerdictHold
	case q.Remaining(run.Fingerprint) > 0:
		decision.Verdict = cassiaquarantine.VerdictRefuse
	default:
		return decision
	}
	q.performEffects(front, q.update(cassiaquarantine.Ended{Attempt: run.Attempt}))
	return decision
}

// awaitStart records the start of an attempt once no other attempt of its unproven request runs here, or after a limit.
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

// tryStart decides on an attempt that is about to start and records the start; an attempt that has to wait gets a channel
// that is closed when to ask again, unless it is late.
func (q *Quarantine) tryStart(run cassiaquarantine.Run, target cassiaid.TargetName, late bool) (cassiaquarantine.Verdict, <-chan struct{}) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	admit := q.core.Admit
	if late {
		admit = q.core.AdmitLate
	}
	verdict := admit(run.Fingerprint, run.Shard)
	if verdict == cassiaquarantine.VerdictWait {
		if q.changed == nil {
			q.changed = make(chan struct{})
		}
		return verdict, q.changed
	}
	if verdict == cassiaquarantine.VerdictAlone && !run.Alone {
		// It came before the suspicion and would now start beside others; a later try runs alone.
		verdict = cassiaquarantine.VerdictHold
	}
	if !refuses(verdict) {
		q.core.Update(cassiaquarantine.Started{Run: run, Target: target})
	}
	return verdict, nil
}

// End records how a started attempt ended and shares what follows before it returns.
func (q *Quarantine) End(front cassiaid.FrontKey, attempt cassiaid.AttemptID, result *cassiaschema.ShardResult) {
	q.performEffects(front, q.update(cassiaquarantine.Ended{Attempt: attempt, Ending: endingOf(result)}))
}

// Learn takes what other VMs tell. It returns the answers that this VM can vouch for and shares what else follows.
func (q *Quarantine) Learn(m cassiaquarantine.Message) []cassiaquarantine.ShareAnswer {
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

// Undecided tells whether a request is suspected but neither quarantined nor cleared for a shard.
func (q *Quarantine) Undecided(fingerprint cassiaid.Fingerprint, shard cassiaid.ShardIndex) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.core.Undecided(fingerprint, shard)
}

// Retrying tells whether this VM runs a suspect so that another VM must not run it for a shard.
func (q *Quarantine) Retrying(fingerprint cassiaid.Fingerprint, shard cassiaid.ShardIndex) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.core.Retrying(fingerprint, shard)
}

// Running tells whether this VM runs a request for a shard.
func (q *Quarantine) Running(fingerprint cassiaid.Fingerprint, shard cassiaid.ShardIndex) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.core.Running(fingerprint, shard)
}

// Remaining returns how long a request is still refused, or zero.
func (q *Quarantine) Remaining(fingerprint cassiaid.Fingerprint) time.Duration {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.core.Remaining(fingerprint)
}

// Unproven tells whether a request needs care because nobody is known to have answered it.
func (q *Quarantine) Unproven(fingerprint cassiaid.Fingerprint, policy cassiaschema.Canary) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.core.Unproven(fingerprint, policy)
}

// Answered notes that a request was answered by a shard.
func (q *Quarantine) Answered(fingerprint cassiaid.Fingerprint, shard cassiaid.ShardIndex) {
	q.Learn(cassiaquarantine.AnswerLearned{Fingerprint: fingerprint, Shard: shard})
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

// performEffects performs effects; a loss counts as shared when its sharing is over.
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
	return verdict == cassiaquarantine.VerdictRefuse || verdict == cassiaquarantine.VerdictHold
}

// refusalOf returns the outcome of an attempt that a verdict refuses.
func refusalOf(verdict cassiaquarantine.Verdict) cassiaschema.ShardOutcome {
	if verdict == cassiaquarantine.VerdictRefuse {
		return cassiaschema.ShardOutcome_quarantined
	}
	return cassiaschema.ShardOutcome_overloaded
}

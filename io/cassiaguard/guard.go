package cassiaguard

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"cassiasaddle/core/cassiaclock"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaquarantine"
	"cassiasaddle/core/cassiaschema"
)

// Peers exchanges information about requests that crash targets with other VMs.
type Peers interface {
	// ShareLoss reports the loss of a target to the other VMs that send to the front's targets. It returns once each has
	// acknowledged it or could not be reached in time.
	ShareLoss(front cassiaid.FrontKey, loss cassiaquarantine.Loss)
	// ShareAnswer reports to those VMs that a suspect was answered.
	ShareAnswer(front cassiaid.FrontKey, answer cassiaquarantine.ShareAnswer)
	// RunsElsewhere asks those VMs and reports whether one of them runs the request for a shard.
	RunsElsewhere(front cassiaid.FrontKey, run cassiaquarantine.Run) bool
	// ShareQuarantine asks all VMs to refuse a request for the remaining time.
	ShareQuarantine(quarantine cassiaquarantine.ShareQuarantine)
}

// Guard records on this VM which requests crash targets, and shares this with the other VMs. A suspect is a request that
// may have caused the loss of a target; an unproven request is one that is not known to have been answered. Guard is safe
// for concurrent use.
type Guard struct {
	mutex sync.Mutex
	core  *cassiaquarantine.Quarantine
	peers Peers
	// changed is closed at the next message that may let a waiting attempt start; nil while no attempt waits.
	changed chan struct{}
}

// NewGuard returns a Guard without suspects. Until SetPeers, nothing is shared.
func NewGuard(clock cassiaclock.Clock) *Guard {
	return &Guard{core: cassiaquarantine.NewQuarantine(clock)}
}

// SetPeers sets the connection to the other VMs.
func (g *Guard) SetPeers(peers Peers) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.peers = peers
}

func (g *Guard) currentPeers() Peers {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.peers
}

// Admit decides on an attempt when it arrives; Begin decides again before its start.
func (g *Guard) Admit(fingerprint cassiaid.Fingerprint, shard cassiaid.ShardIndex) cassiaquarantine.Verdict {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.core.Admit(fingerprint, shard)
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
func (g *Guard) Begin(ctx context.Context, front cassiaid.FrontKey, run cassiaquarantine.Run, target cassiaid.TargetName, limit time.Duration) StartDecision {
	decision := g.awaitStart(ctx, run, target, limit)
	peers := g.currentPeers()
	if decision.Verdict != cassiaquarantine.VerdictAlone || peers == nil {
		return decision
	}
	switch {
	case peers.RunsElsewhere(front, run):
		decision.Verdict = cassiaquarantine.VerdictRefuseNow
	case g.Remaining(run.Fingerprint) > 0:
		decision.Verdict = cassiaquarantine.VerdictQuarantined
	default:
		return decision
	}
	g.performEffects(front, g.update(cassiaquarantine.Ended{Attempt: run.Attempt}))
	return decision
}

// awaitStart records the start of an attempt once no other attempt of its unproven request runs here, or after limit.
func (g *Guard) awaitStart(ctx context.Context, run cassiaquarantine.Run, target cassiaid.TargetName, limit time.Duration) StartDecision {
	var decision StartDecision
	var timeout <-chan time.Time
	for {
		verdict, changed := g.tryStart(run, target, decision.Late)
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
func (g *Guard) tryStart(run cassiaquarantine.Run, target cassiaid.TargetName, limitReached bool) (cassiaquarantine.Verdict, <-chan struct{}) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	admit := g.core.Admit
	if limitReached {
		admit = g.core.AdmitAfterWait
	}
	verdict := admit(run.Fingerprint, run.Shard)
	if verdict == cassiaquarantine.VerdictWait {
		return verdict, g.changedChannel()
	}
	if verdict == cassiaquarantine.VerdictAlone && !run.Alone {
		// The attempt arrived before its request became a suspect and would now start beside other attempts; a later
		// attempt runs alone.
		verdict = cassiaquarantine.VerdictRefuseNow
	}
	if !Refuses(verdict) {
		g.core.Update(cassiaquarantine.Started{Run: run, Target: target})
	}
	return verdict, nil
}

// TryStart records the start of an attempt and returns true, unless its request is a suspect or quarantined; StartSuspect
// decides about those. Unlike Begin, it lets attempts of an unproven request run at the same time.
func (g *Guard) TryStart(run cassiaquarantine.Run, target cassiaid.TargetName) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.core.AdmitRun(run) != cassiaquarantine.VerdictRun {
		return false
	}
	g.core.Update(cassiaquarantine.Started{Run: run, Target: target})
	return true
}

// inquiryPause is the longest pause before a VM asks again whether others run a suspect. VMs that ask at the same time pause
// for different times.
const inquiryPause = 10 * time.Millisecond

// StartSuspect waits, up to limit, until no other attempt of the run's request runs on any VM and no other suspect on the
// target, and records the start. It returns VerdictRun or VerdictAlone for an attempt that was started. At the limit an
// attempt starts if only another suspect on the target stands in its way, or if a target has answered the request lately,
// which most likely did not cause the loss then; otherwise it gets VerdictRefuseNow. A VerdictWait means that ctx was
// cancelled.
func (g *Guard) StartSuspect(ctx context.Context, front cassiaid.FrontKey, run cassiaquarantine.Run, target cassiaid.TargetName,
	limit time.Duration) cassiaquarantine.Verdict {
	limitContext, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	peers := g.currentPeers()
	for {
		verdict, changed := g.tryStartSuspect(run, target, limitContext.Err() != nil)
		if verdict == cassiaquarantine.VerdictAlone && peers != nil {
			runsElsewhere := peers.RunsElsewhere(front, g.inquiryAbout(run))
			if !runsElsewhere && g.Remaining(run.Fingerprint) == 0 && g.Remaining(run.Content) == 0 {
				return verdict
			}
			g.performEffects(front, g.update(cassiaquarantine.Ended{Attempt: run.Attempt}))
			if limitContext.Err() != nil {
				return g.verdictAtLimit(run, target)
			}
			sleep(limitContext, time.Duration(rand.Int64N(int64(inquiryPause))))
			continue
		}
		if verdict != cassiaquarantine.VerdictWait {
			return verdict
		}
		select {
		case <-changed:
		case <-limitContext.Done():
		}
		if ctx.Err() != nil {
			return verdict
		}
	}
}

// inquiryAbout returns a run as other VMs are asked about it: with its content only if that is why it has to run alone, since
// other callers' requests with the same content may run at any time.
func (g *Guard) inquiryAbout(run cassiaquarantine.Run) cassiaquarantine.Run {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.core.SuspectsContent(run) {
		run.Content = 0
	}
	return run
}

// verdictAtLimit decides on an attempt whose request still runs on another VM at the limit, and records its start if it may
// run.
func (g *Guard) verdictAtLimit(run cassiaquarantine.Run, target cassiaid.TargetName) cassiaquarantine.Verdict {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	switch {
	case g.core.Remaining(run.Fingerprint) > 0, g.core.Remaining(run.Content) > 0:
		return cassiaquarantine.VerdictQuarantined
	case g.core.Proven(run.Fingerprint):
		g.core.Update(cassiaquarantine.Started{Run: run, Target: target})
		return cassiaquarantine.VerdictRun
	}
	return cassiaquarantine.VerdictRefuseNow
}

// tryStartSuspect decides on an attempt of a suspect and records its start if it may run. For VerdictWait it returns a channel
// that is closed when the caller should try again; with limitReached, the attempt does not wait any more.
func (g *Guard) tryStartSuspect(run cassiaquarantine.Run, target cassiaid.TargetName, limitReached bool) (cassiaquarantine.Verdict, <-chan struct{}) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	verdict := g.core.AdmitRun(run)
	switch {
	case limitReached && verdict == cassiaquarantine.VerdictRefuseNow && g.core.Proven(run.Fingerprint):
		verdict = cassiaquarantine.VerdictRun
	case limitReached:
	case verdict == cassiaquarantine.VerdictRefuseNow, verdict == cassiaquarantine.VerdictAlone && g.core.SuspectRunsOn(target):
		return cassiaquarantine.VerdictWait, g.changedChannel()
	}
	if !Refuses(verdict) {
		run.Alone = verdict == cassiaquarantine.VerdictAlone
		g.core.Update(cassiaquarantine.Started{Run: run, Target: target})
	}
	return verdict, nil
}

// changedChannel returns the channel that is closed at the next message; the caller holds the mutex.
func (g *Guard) changedChannel() <-chan struct{} {
	if g.changed == nil {
		g.changed = make(chan struct{})
	}
	return g.changed
}

// End records the outcome of a started attempt and shares the consequences with the other VMs before it returns.
func (g *Guard) End(front cassiaid.FrontKey, attempt cassiaid.AttemptID, ending cassiaquarantine.Ending) {
	if share := g.Record(front, attempt, ending); share != nil {
		share()
	}
}

// Record records the outcome of a started attempt. It returns a function that shares the consequences with the other VMs, or
// nil if there are none.
func (g *Guard) Record(front cassiaid.FrontKey, attempt cassiaid.AttemptID, ending cassiaquarantine.Ending) (share func()) {
	effects := g.update(cassiaquarantine.Ended{Attempt: attempt, Ending: ending})
	if len(effects) == 0 {
		return nil
	}
	return func() { g.performEffects(front, effects) }
}

// Active returns the requests that are quarantined now, with the time for which they still are.
func (g *Guard) Active() map[cassiaid.Fingerprint]time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.core.Active()
}

// ApplyNotice applies a message of another VM. It returns the answers that this VM can confirm and shares the other
// effects.
func (g *Guard) ApplyNotice(m cassiaquarantine.Message) []cassiaquarantine.ShareAnswer {
	var answers []cassiaquarantine.ShareAnswer
	var others []cassiaquarantine.Effect
	for _, e := range g.update(m) {
		if a, ok := e.(cassiaquarantine.ShareAnswer); ok {
			answers = append(answers, a)
			continue
		}
		others = append(others, e)
	}
	g.performEffects(cassiaid.FrontKey{}, others)
	return answers
}

// Undecided reports whether a request is a suspect that is neither quarantined nor cleared for a shard.
func (g *Guard) Undecided(fingerprint cassiaid.Fingerprint, shard cassiaid.ShardIndex) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.core.Undecided(fingerprint, shard)
}

// BlocksOtherVMs reports whether other VMs must not run a suspect for a shard, because this VM runs it, has
// quarantined it, or has not yet shared a loss that it caused.
func (g *Guard) BlocksOtherVMs(fingerprint cassiaid.Fingerprint, shard cassiaid.ShardIndex) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.core.BlocksOtherVMs(fingerprint, shard)
}

// Knows reports whether a loss has been recorded within Window.
func (g *Guard) Knows(loss cassiaquarantine.Loss) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.core.Knows(loss)
}

// LossesOf returns the losses that count against a request, for VMs that may have missed them.
func (g *Guard) LossesOf(fingerprint cassiaid.Fingerprint) []cassiaquarantine.LossLearned {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.core.LossesOf(fingerprint)
}

// Running reports whether this VM runs a request for a shard.
func (g *Guard) Running(fingerprint cassiaid.Fingerprint, shard cassiaid.ShardIndex) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.core.Running(fingerprint, shard)
}

// Remaining returns how long a request is still refused, or 0 when it is not.
func (g *Guard) Remaining(fingerprint cassiaid.Fingerprint) time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.core.Remaining(fingerprint)
}

// quarantined returns those of the requests that are quarantined, with their remaining time.
func (g *Guard) quarantined(fingerprints []cassiaid.Fingerprint) []*cassiaschema.QuarantinedRequest {
	var quarantined []*cassiaschema.QuarantinedRequest
	for _, f := range fingerprints {
		if remaining := g.Remaining(f); remaining > 0 {
			quarantined = append(quarantined, &cassiaschema.QuarantinedRequest{Fingerprint: uint64(f), Remaining: durationpb.New(remaining)})
		}
	}
	return quarantined
}

// NeedsCanary reports whether a front's policy requires a canary for a request: no target is known to have answered it
// recently, and the policy is always, or a target was lost recently, or the request was quarantined recently.
func (g *Guard) NeedsCanary(fingerprint cassiaid.Fingerprint, policy cassiaschema.Canary) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.core.NeedsCanary(fingerprint, policy)
}

// Answered records that a shard answered a request.
func (g *Guard) Answered(fingerprint cassiaid.Fingerprint, shard cassiaid.ShardIndex) {
	g.ApplyNotice(cassiaquarantine.AnswerLearned{Fingerprint: fingerprint, Shard: shard})
}

// Quarantined records a quarantine that another VM has decided and reports whether it is new to this VM.
func (g *Guard) Quarantined(fingerprint cassiaid.Fingerprint, remaining time.Duration) bool {
	known := g.Remaining(fingerprint) > 0
	g.ApplyNotice(cassiaquarantine.QuarantineLearned{Fingerprint: fingerprint, Remaining: remaining})
	return !known && g.Remaining(fingerprint) > 0
}

func (g *Guard) update(m cassiaquarantine.Message) []cassiaquarantine.Effect {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	effects := g.core.Update(m)
	if g.changed != nil {
		close(g.changed)
		g.changed = nil
	}
	return effects
}

// performEffects sends the notices to the other VMs. A loss is recorded as shared once its notice was delivered or
// could not be in time.
func (g *Guard) performEffects(front cassiaid.FrontKey, effects []cassiaquarantine.Effect) {
	peers := g.currentPeers()
	for _, e := range effects {
		if peers != nil {
			notify(peers, front, e)
		}
		if loss, ok := e.(cassiaquarantine.ShareLoss); ok {
			g.update(cassiaquarantine.LossShared(loss))
		}
	}
}

func notify(peers Peers, front cassiaid.FrontKey, e cassiaquarantine.Effect) {
	switch e := e.(type) {
	case cassiaquarantine.ShareLoss:
		peers.ShareLoss(front, e.Loss)
	case cassiaquarantine.ShareAnswer:
		peers.ShareAnswer(front, e)
	case cassiaquarantine.ShareQuarantine:
		peers.ShareQuarantine(e)
	}
}

// Refuses reports whether a verdict refuses the attempt.
func Refuses(verdict cassiaquarantine.Verdict) bool {
	return verdict == cassiaquarantine.VerdictQuarantined || verdict == cassiaquarantine.VerdictRefuseNow
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

package cassiaowner

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"cassiasaddle/core/cassiabudget"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassialimit"
	"cassiasaddle/core/cassiaquarantine"
	"cassiasaddle/core/cassiareach"
	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/io/cassiaguard"
	"cassiasaddle/io/cassiastatus"
	"cassiasaddle/io/cassiatarget"
)

// target holds this VM's connections to one target and the limiter that decides when attempts start.
type target struct {
	owner *Owner
	key   targetKey

	mutex sync.Mutex
	// owned is this VM's current share; client and limiter are configured by it.
	owned   OwnedTarget
	client  *cassiatarget.Client
	limiter *cassialimit.Limiter
	leaving bool
	// pausedUntil is the end of the pause that the limiter knows of.
	pausedUntil time.Time
	waiting     map[cassiaid.AttemptID]*attempt
	running     map[cassiaid.AttemptID]*attempt
	timer       *time.Timer
	lastUsed    time.Time
	knowledge   *cassiaschema.TargetKnowledge
}

func newTarget(o *Owner, owned OwnedTarget) *target {
	t := &target{
		owner: o, key: keyOf(owned), owned: owned,
		client:    o.newClient(owned),
		limiter:   cassialimit.NewLimiter(o.config.Clock, boundsOf(owned)),
		waiting:   make(map[cassiaid.AttemptID]*attempt),
		running:   make(map[cassiaid.AttemptID]*attempt),
		lastUsed:  o.config.Clock.Now(),
		knowledge: &cassiaschema.TargetKnowledge{Target: string(owned.Name)},
	}
	t.timer = time.AfterFunc(time.Hour, t.tick)
	t.timer.Stop()
	return t
}

func (o *Owner) newClient(owned OwnedTarget) *cassiatarget.Client {
	client := cassiatarget.New(owned.Name, owned.Address, owned.Connections, o.config.Dial, &o.bodies)
	client.OnMalformedStatus = func(err error) {
		o.config.Scope.Tagged(map[string]string{"source": "target"}).Counter("malformedStatuses").Inc(1)
		level.Warn(o.config.Logger).Log("msg", "malformed status", "source", "target", "target", owned.Name, "error", err)
	}
	return client
}

// boundsOf returns the maximum number of attempts in flight. With two or more connections, one is kept free for
// cancellations.
func boundsOf(owned OwnedTarget) cassialimit.Bounds {
	most := max(1, owned.Connections-1)
	if owned.MaxConcurrency > 0 {
		most = min(most, owned.MaxConcurrency)
	}
	return cassialimit.Bounds{Concurrency: most, Owners: owned.Owners}
}

// setShare applies a change of this VM's share. Running attempts keep their connections, and the limiter keeps its
// state.
func (t *target) setShare(owned OwnedTarget) {
	t.mutex.Lock()
	if t.owned == owned {
		t.mutex.Unlock()
		return
	}
	before := t.client
	t.owned, t.client = owned, t.owner.newClient(owned)
	refused := t.update(cassialimit.BoundsChanged{Bounds: boundsOf(owned)})
	t.mutex.Unlock()
	before.Close()
	t.refuseAll(refused)
}

// currentClient returns the client for new requests.
func (t *target) currentClient() *cassiatarget.Client {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.client
}

func (t *target) submit(a *attempt) {
	t.mutex.Lock()
	a.target = t
	t.waiting[a.id()] = a
	t.lastUsed = t.owner.config.Clock.Now()
	refused := t.update(cassialimit.Offer{
		ID: a.id(), Deadline: a.batch.deadline, Priority: a.batch.request.Priority, Alone: a.alone,
	})
	t.mutex.Unlock()
	t.refuseAll(refused)
}

// refusal is an attempt that ended before it was sent to the target.
type refusal struct {
	attempt *attempt
	outcome cassiaschema.ShardOutcome
}

// update passes a message to the limiter and performs its effects. The caller holds the mutex and has to pass the
// result to refuseAll after unlocking it. The limiter first gets a change of the leaving state and a pause, so that no attempt
// starts on a target that is known to want none.
func (t *target) update(message cassialimit.Message) []refusal {
	effects := t.syncLeaving()
	effects = append(effects, t.syncPause()...)
	effects = append(effects, t.limiter.Update(message)...)
	return t.performEffects(effects)
}

// syncLeaving passes a change of the leaving state to the limiter: it refuses the waiting attempts when the target
// leaves, and restarts from a low limit when the target is back.
func (t *target) syncLeaving() []cassialimit.Effect {
	leaving := t.owner.config.Ownership.Leaving(t.key.name)
	if leaving == t.leaving {
		return nil
	}
	t.leaving = leaving
	if leaving {
		return t.limiter.Update(cassialimit.Drain{})
	}
	return t.limiter.Update(cassialimit.Undrain{})
}

// syncPause passes a change of the target's pause to the limiter; an attempt of another front may have been refused, or have lost the
// process that had asked for the pause.
func (t *target) syncPause() []cassialimit.Effect {
	until := t.owner.pausedUntil(t.key.name)
	if until.Equal(t.pausedUntil) {
		return nil
	}
	t.pausedUntil = until
	return t.limiter.Update(cassialimit.Pause{Until: until})
}

func (t *target) performEffects(effects []cassialimit.Effect) []refusal {
	var refused []refusal
	for _, e := range effects {
		switch e := e.(type) {
		case cassialimit.Start:
			t.start(e.ID)
		case cassialimit.Refuse:
			a := t.waiting[e.ID]
			delete(t.waiting, e.ID)
			refused = append(refused, refusal{attempt: a, outcome: outcomeOf(e.Reason)})
		case cassialimit.Stop:
			if a := t.running[e.ID]; a != nil {
				a.cancel()
			}
		case cassialimit.WakeAt:
			t.timer.Reset(e.Time.Sub(t.owner.config.Clock.Now()))
		}
	}
	return refused
}

func (t *target) refuseAll(refused []refusal) {
	for _, r := range refused {
		t.owner.removeAttempt(r.attempt)
		t.owner.refuse(r.attempt, r.outcome)
	}
}

// start moves an attempt from waiting to running and runs it on a new goroutine; the caller holds the mutex.
func (t *target) start(id cassiaid.AttemptID) {
	a := t.waiting[id]
	delete(t.waiting, id)
	t.running[id] = a
	ctx, cancel := context.WithCancel(t.owner.context)
	a.cancel = cancel
	t.owner.group.Go(func() error { t.run(ctx, a); return nil })
}

func (t *target) run(ctx context.Context, a *attempt) {
	started := t.owner.config.Clock.Now()
	result := t.execute(ctx, a)
	a.cancel()
	a.setQueueTime(result, started)
	t.owner.removeAttempt(a)
	t.updateKnowledge(result)
	t.owner.observeStatement(result)
	if result.Outcome == cassiaschema.ShardOutcome_answered {
		t.owner.updateReach(cassiareach.Heard{})
	}
	if a.batch.remote {
		t.owner.config.Observer.ResultSeen(t.key.front, result)
	}
	t.mutex.Lock()
	delete(t.running, a.id())
	var refused []refusal
	if result.TargetLost {
		refused = t.update(cassialimit.Lost{})
	}
	refused = append(refused, t.update(cassialimit.Done{ID: a.id(), Outcome: result.Outcome, Elapsed: result.Elapsed.AsDuration(),
		Acceptance: cassiabudget.AcceptanceFrom(result.Acceptance)})...)
	t.mutex.Unlock()
	t.refuseAll(refused)
	a.batch.add(result)
}

// execute sends the attempt to the target, unless the target turns out to have left during a pause of this VM, the quarantine
// refuses the attempt by now, or it is cancelled while it waits for another attempt of its request.
func (t *target) execute(ctx context.Context, a *attempt) *cassiaschema.ShardResult {
	if t.owner.config.Pauses.Wait(ctx) && t.owner.config.Ownership.Leaving(t.key.name) {
		t.owner.countRefusal(cassiaschema.ShardOutcome_draining)
		return a.notStarted(cassiaschema.ShardOutcome_draining)
	}
	guard := t.owner.config.Guard
	run := cassiaquarantine.Run{Attempt: a.id(), Fingerprint: a.fingerprint(), Shard: a.shard(), Alone: a.alone}
	decision := guard.Begin(ctx, t.key.front, run, t.key.name, a.startWaitLimit())
	t.owner.countWaits(decision)
	if decision.Verdict == cassiaquarantine.VerdictWait {
		return a.notStarted(cassiaschema.ShardOutcome_cancelled)
	}
	if cassiaguard.Refuses(decision.Verdict) {
		t.owner.countRefusal(refusalOf(decision.Verdict))
		return a.notStarted(refusalOf(decision.Verdict))
	}
	result := t.currentClient().Run(ctx, a.call())
	guard.End(t.key.front, a.id(), endingOf(result))
	return result
}

// cancel ends an attempt whose result is not needed any more, waiting or running.
func (t *target) cancel(a *attempt) {
	t.updateLimiter(cassialimit.Cancel{ID: a.id()})
}

func (t *target) tick() { t.updateLimiter(cassialimit.Tick{}) }

// updateLimiter locks the mutex, passes a message to the limiter and refuses the attempts that the limiter gave up.
func (t *target) updateLimiter(message cassialimit.Message) {
	t.mutex.Lock()
	refused := t.update(message)
	t.mutex.Unlock()
	t.refuseAll(refused)
}

// outcomeOf maps a limiter's reason to the outcome that the entry gets; in each case the attempt was not sent to the
// target.
func outcomeOf(reason cassialimit.Reason) cassiaschema.ShardOutcome {
	switch reason {
	case cassialimit.ReasonDraining:
		return cassiaschema.ShardOutcome_draining
	case cassialimit.ReasonTimedOut:
		return cassiaschema.ShardOutcome_timedOut
	case cassialimit.ReasonCancelled:
		return cassiaschema.ShardOutcome_cancelled
	case cassialimit.ReasonLost:
		return cassiaschema.ShardOutcome_unreachable
	default:
		return cassiaschema.ShardOutcome_overloaded
	}
}

// updateKnowledge updates the known state of the target from a result.
func (t *target) updateKnowledge(result *cassiaschema.ShardResult) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if len(result.HeldSnapshots) > 0 {
		t.knowledge.HeldSnapshots = result.HeldSnapshots
		t.knowledge.ShardMapEpoch = result.ShardMapEpoch
		t.knowledge.Reachable = true
	}
	if result.Draining {
		t.knowledge.Draining = true
	}
	if result.TargetLost || result.Outcome == cassiaschema.ShardOutcome_unreachable {
		t.knowledge.Reachable = false
	}
}

// checkHealth calls the target's health endpoint and passes its state to the observer.
func (t *target) checkHealth(ctx context.Context) {
	if t.owner.config.Clock.Now().Before(t.owner.pausedUntil(t.key.name)) {
		return
	}
	health, err := t.currentClient().Health(ctx)
	var malformed *cassiastatus.Error
	if err == nil || errors.As(err, &malformed) {
		// A reply that is no use was sent by the target all the same.
		t.owner.updateReach(cassiareach.Heard{})
	} else {
		t.owner.updateReach(cassiareach.Missed{})
	}
	t.mutex.Lock()
	t.knowledge.Reachable = err == nil
	if err == nil {
		t.knowledge.HeldSnapshots = t.knowledge.HeldSnapshots[:0:0]
		for _, s := range health.HeldSnapshots {
			t.knowledge.HeldSnapshots = append(t.knowledge.HeldSnapshots, uint64(s))
		}
		t.knowledge.ShardMapEpoch = uint64(health.ShardMapEpoch)
		t.knowledge.Draining = health.Draining()
	}
	known := t.copyKnowledge()
	t.mutex.Unlock()
	if err != nil && t.owner.isolated() {
		// It says nothing about the target.
		return
	}
	t.owner.config.Observer.TargetSeen(known)
}

// currentKnowledge returns the known state of the target, after a health check if its snapshots are unknown.
func (t *target) currentKnowledge(ctx context.Context) *cassiaschema.TargetKnowledge {
	t.mutex.Lock()
	known := len(t.knowledge.HeldSnapshots) > 0
	t.mutex.Unlock()
	if !known {
		t.checkHealth(ctx)
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.copyKnowledge()
}

// copyKnowledge returns a copy that the caller may keep; the caller holds the mutex.
func (t *target) copyKnowledge() *cassiaschema.TargetKnowledge {
	return &cassiaschema.TargetKnowledge{
		Target: t.knowledge.Target, HeldSnapshots: t.knowledge.HeldSnapshots,
		ShardMapEpoch: t.knowledge.ShardMapEpoch, Draining: t.knowledge.Draining, Reachable: t.knowledge.Reachable,
	}
}

func (t *target) idleSince(earliest time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.waiting) == 0 && len(t.running) == 0 && t.lastUsed.Before(earliest)
}

// closeIdle closes the idle connections; attempts that wait or run continue.
func (t *target) closeIdle() { t.currentClient().Close() }

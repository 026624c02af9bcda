package cassiaowner

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiaavailability"
	"cassiasaddle/core/cassiadelay"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaplan"
	"cassiasaddle/core/cassiaquarantine"
	"cassiasaddle/core/cassiareach"
	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/io/cassiabody"
	"cassiasaddle/io/cassiadrain"
	"cassiasaddle/io/cassiaguard"
	"cassiasaddle/io/cassiaresume"
	"cassiasaddle/io/cassiatarget"
)

const (
	// replyMargin is subtracted from a batch's remaining time, for the transfer of its results to the entry.
	replyMargin = 2 * time.Millisecond
	// healthInterval is the time between two health requests to an owned target.
	healthInterval = time.Second
	// idleTargetTimeout is how long the state of a target that is no longer owned is kept after its last use.
	idleTargetTimeout = time.Minute
)

// OwnedTarget is a target that this VM holds connections to, and this VM's share of its limits.
type OwnedTarget struct {
	Front   cassiaid.FrontKey
	Name    cassiaid.TargetName
	Address string
	// Connections is this VM's share of the target's connection cap.
	Connections int
	// MaxConcurrency bounds the attempts in flight; at 0 only the number of connections bounds them.
	MaxConcurrency int
	// Owners is the number of VMs that send to the target.
	Owners int
}

// Ownership reports which targets this VM owns, by the current settings and members.
type Ownership interface {
	// OwnedTargets lists the targets that this VM holds connections to, as primary or standby.
	OwnedTargets() []OwnedTarget
	// TargetsIfAlive lists the targets that this VM would own if it were not known as leaving.
	TargetsIfAlive() []OwnedTarget
	// Accepts returns the target, and true if this VM owns it by its own view of the members.
	Accepts(front cassiaid.FrontKey, shard cassiaid.ShardIndex, target cassiaid.TargetName) (OwnedTarget, bool)
	// Leaving reports whether the target is known to be leaving.
	Leaving(target cassiaid.TargetName) bool
}

// Observer receives what this VM observes of its targets.
type Observer interface {
	// TargetSeen receives the state of a target after a call of its health endpoint.
	TargetSeen(knowledge *cassiaschema.TargetKnowledge)
	// IsolationChanged receives whether this VM reaches no target.
	IsolationChanged(isolated bool)
	// ResultSeen receives the result of an attempt that another VM asked for.
	ResultSeen(front cassiaid.FrontKey, result *cassiaschema.ShardResult)
}

// Config holds the dependencies of an Owner.
type Config struct {
	Self      cassiaid.VMName
	Ownership Ownership
	Observer  Observer
	Guard     *cassiaguard.Guard
	// Pauses has attempts wait for news after a pause of this VM, unless it is nil.
	Pauses *cassiaresume.Waiter
	Clock  cassiaplan.Clock
	// PeerBodies bounds the bodies of batches of other VMs.
	PeerBodies *cassiabody.Share
	// Dial opens connections to targets; net.Dialer does if it is nil.
	Dial   cassiatarget.Dial
	Logger log.Logger
	Scope  tally.Scope
}

// Owner runs the attempts of shard batches on this VM's targets. It is safe for concurrent use.
type Owner struct {
	config  Config
	group   errgroup.Group
	context context.Context
	cancel  context.CancelFunc
	// bodies limits the memory for rows that targets send.
	bodies cassiabody.Receiver

	mutex      sync.Mutex
	targets    map[targetKey]*target
	attempts   map[cassiaid.AttemptID]*attempt
	latenessOf map[cassiaid.VMName]*cassiadelay.Lateness
	// statementsMutex guards availability. No other mutex is locked while it is held.
	statementsMutex sync.Mutex
	// availability is what targets have stated in answers to this VM.
	availability cassiaavailability.Registry

	// reachMutex guards reach and the order of its changes. No other mutex of the owner is locked while it is held.
	reachMutex sync.Mutex
	reach      cassiareach.Reach

	// batches counts the batches that still wait for results.
	batches cassiadrain.Work
}

// targetKey identifies the state of a target. Fronts that use the same target each have a share of their own, and a
// target that moves to another address gets a new state.
type targetKey struct {
	front   cassiaid.FrontKey
	name    cassiaid.TargetName
	address string
}

func keyOf(owned OwnedTarget) targetKey {
	return targetKey{front: owned.Front, name: owned.Name, address: owned.Address}
}

// New returns an owner that checks the health of its targets and serves batches until Close.
func New(config Config) *Owner {
	ctx, cancel := context.WithCancel(context.Background())
	o := &Owner{
		config: config, context: ctx, cancel: cancel,
		targets:    make(map[targetKey]*target),
		attempts:   make(map[cassiaid.AttemptID]*attempt),
		latenessOf: make(map[cassiaid.VMName]*cassiadelay.Lateness),
	}
	o.group.Go(func() error { o.watchHealth(); return nil })
	return o
}

// HandleBatch starts or refuses each attempt of a batch without waiting for them. reply gets the result of each attempt
// exactly once, in one or more calls. It is not called for a batch without attempts.
func (o *Owner) HandleBatch(from cassiaid.VMName, request *cassiaschema.ShardBatch, reply Reply) {
	if len(request.Attempts) == 0 {
		return
	}
	now := o.config.Clock.Now()
	deadline := now.Add(request.Remaining.AsDuration() - replyMargin - o.lateness(from, request))
	front := cassiaid.FrontKey{Team: cassiaid.TeamName(request.Team), Front: cassiaid.FrontName(request.Front)}
	remote := from != o.config.Self
	release, fits := func() {}, true
	if remote {
		release, fits = o.config.PeerBodies.TryHold(len(request.Body))
	}
	b := newBatch(request, deadline, reply, func() {
		if fits {
			release()
		}
		o.batches.End()
	})
	b.remote = remote
	draining := o.batches.Begin()
	o.config.Scope.Counter("ownerBatches").Inc(1)
	o.config.Scope.Counter("ownerAttempts").Inc(int64(len(request.Attempts)))
	for _, shardAttempt := range request.Attempts {
		a := &attempt{batch: b, request: shardAttempt, front: front, arrived: now}
		if !fits {
			o.refuse(a, cassiaschema.ShardOutcome_overloaded)
			continue
		}
		t, refusal := o.findTarget(a, draining)
		if t == nil {
			o.refuse(a, refusal)
			continue
		}
		verdict := o.config.Guard.Admit(a.fingerprint(), a.shard())
		if cassiaguard.Refuses(verdict) {
			o.refuse(a, refusalOf(verdict))
			continue
		}
		a.alone = verdict == cassiaquarantine.VerdictAlone
		o.addAttempt(a)
		t.submit(a)
	}
}

// ObserveSendTime records the send time of a frame of any kind from another VM. The lateness of a batch is relative
// to earlier frames, so without this the first batch of a VM would count as punctual even if a broken link had
// delayed it for seconds.
func (o *Owner) ObserveSendTime(from cassiaid.VMName, sent time.Time) { o.observeSendTime(from, sent) }

// lateness returns how much of a batch's remaining time passed in transit, for example while this VM was paused. It is
// 0 for batches of this VM.
func (o *Owner) lateness(from cassiaid.VMName, request *cassiaschema.ShardBatch) time.Duration {
	if from == o.config.Self || request.SentUnixMicros == 0 {
		return 0
	}
	return o.observeSendTime(from, time.UnixMicro(request.SentUnixMicros))
}

func (o *Owner) observeSendTime(from cassiaid.VMName, sent time.Time) time.Duration {
	now := o.config.Clock.Now()
	o.mutex.Lock()
	defer o.mutex.Unlock()
	l := o.latenessOf[from]
	if l == nil {
		l = &cassiadelay.Lateness{}
		o.latenessOf[from] = l
	}
	return l.Observe(now, sent)
}

// findTarget returns the target of an attempt, or nil and the outcome that says why this VM cannot run it.
func (o *Owner) findTarget(a *attempt, draining bool) (*target, cassiaschema.ShardOutcome) {
	if draining {
		return nil, cassiaschema.ShardOutcome_vmLeaving
	}
	name := cassiaid.TargetName(a.request.Target)
	owned, ok := o.config.Ownership.Accepts(a.front, cassiaid.ShardIndex(a.request.Shard), name)
	if !ok {
		return nil, cassiaschema.ShardOutcome_notOwner
	}
	return o.target(owned), 0
}

// refuse ends an attempt that was not sent to its target.
func (o *Owner) refuse(a *attempt, outcome cassiaschema.ShardOutcome) {
	o.countRefusal(outcome)
	a.batch.add(a.notStarted(outcome))
}

func (o *Owner) countRefusal(outcome cassiaschema.ShardOutcome) {
	o.config.Scope.Tagged(map[string]string{"reason": outcome.String()}).Counter("ownerRefusals").Inc(1)
}

// countWaits counts an attempt that waited for another attempt of its request, and one whose wait reached the limit.
func (o *Owner) countWaits(decision cassiaguard.StartDecision) {
	if decision.Waited {
		o.config.Scope.Counter("turnWaited").Inc(1)
	}
	if decision.Late {
		o.config.Scope.Counter("turnLate").Inc(1)
	}
}

// target returns the state of an owned target and creates it on first use. When this VM's share of the target has
// changed, the limiter keeps its state.
func (o *Owner) target(owned OwnedTarget) *target {
	t := o.findOrCreate(owned)
	t.setShare(owned)
	return t
}

func (o *Owner) findOrCreate(owned OwnedTarget) *target {
	key := keyOf(owned)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	t := o.targets[key]
	if t == nil {
		t = newTarget(o, owned)
		o.targets[key] = t
	}
	return t
}

// Cancel stops attempts whose results are not needed any more.
func (o *Owner) Cancel(request *cassiaschema.CancelAttempts) {
	for _, id := range request.AttemptIds {
		o.mutex.Lock()
		a := o.attempts[cassiaid.AttemptID(id)]
		o.mutex.Unlock()
		if a != nil {
			a.target.cancel(a)
		}
	}
}

func (o *Owner) addAttempt(a *attempt) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.attempts[a.id()] = a
}

func (o *Owner) removeAttempt(a *attempt) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	delete(o.attempts, a.id())
}

// observeStatement records what a result states about further requests to its target.
func (o *Owner) observeStatement(result *cassiaschema.ShardResult) {
	o.statementsMutex.Lock()
	defer o.statementsMutex.Unlock()
	name := cassiaid.TargetName(result.Target)
	if result.TargetLost {
		o.availability.Forget(name)
		return
	}
	statement := cassiaavailability.StatementFrom(result.Availability)
	if !o.availability.Observe(o.config.Clock.Now(), cassiaavailability.Process{Target: name}, statement) && !statement.Malformed {
		return
	}
	o.config.Scope.Counter("targetPauses").Inc(1)
	level.Info(o.config.Logger).Log("msg", "target pauses", "target", name, "pause", statement.Pause, "malformed", statement.Malformed)
}

// pausedUntil returns until when a target wants no requests from this VM; the time is zero or has passed if it wants them now.
func (o *Owner) pausedUntil(name cassiaid.TargetName) time.Time {
	o.statementsMutex.Lock()
	defer o.statementsMutex.Unlock()
	return o.availability.PausedUntil(cassiaavailability.Process{Target: name})
}

// Drain refuses new batches and waits until the running ones have ended or ctx is done.
func (o *Owner) Drain(ctx context.Context) error { return o.batches.Drain(ctx) }

// Close cancels all attempts and waits until they have ended. Call Drain first to let them finish.
func (o *Owner) Close() error {
	o.cancel()
	o.mutex.Lock()
	for _, t := range o.targets {
		t.closeIdle()
	}
	o.mutex.Unlock()
	return o.group.Wait()
}

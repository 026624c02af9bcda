package cassiaaggregate

import (
	"context"
	"slices"
	"sync"
	"time"

	"cassiasaddle/core/cassiabudget"
	"cassiasaddle/core/cassiacatalog"
	"cassiasaddle/core/cassiadirectory"
	"cassiasaddle/core/cassiafitness"
	"cassiasaddle/core/cassiagateway"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiarecord"
	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/io/cassiabody"
	"cassiasaddle/io/cassiapeer"
	"cassiasaddle/io/cassiapool"
	"cassiasaddle/io/cassiaworker"
)

// resultBatchDelay is how long a result waits for others to be sent in the same frame; it is short compared with the
// time that targets take to answer.
const resultBatchDelay = 6 * time.Millisecond

// Exchanger sends a request to a target and returns the result. *cassiapool.Pool implements it.
type Exchanger interface {
	Exchange(ctx context.Context, call cassiapool.Call) cassiapool.Result
}

// Targets looks up the targets that may be used.
type Targets interface {
	Target(name cassiaid.TargetName) (cassiadirectory.Target, bool)
	// Zones returns the availability zones that have targets. The caller must not change the list.
	Zones() []cassiaid.Zone
	// AwaitNews waits a short time for what changed while this VM was paused, unless it was not.
	AwaitNews(ctx context.Context)
	// ObserveReach takes note of whether a target answered what was sent to it at a time.
	ObserveReach(reached bool, sentAt time.Time)
}

// Aggregator sends the attempts of other VMs' batches to targets and returns one result for each, pruned but not
// merged. It is safe for concurrent use.
type Aggregator struct {
	// OnExtraRequest, if set, is called for each extra attempt that another VM asks for, with whether the retry budget
	// allowed it. It must not call the aggregator, whose lock is held.
	OnExtraRequest func(allowed bool)
	// Bodies bounds the bodies of the batches that are served.
	Bodies *cassiabody.Share

	exchanger Exchanger
	targets   Targets
	workers   cassiaworker.Workers

	mutex   sync.Mutex
	zones   []cassiaid.Zone
	budgets cassiabudget.ServiceBudgets[cassiacatalog.ServiceName]
	fitness cassiafitness.Monitor
	running map[cassiaid.VMName]map[uint64]context.CancelFunc
}

// NewAggregator returns an aggregator that sends attempts through exchanger to the given targets. The extraRequests
// allowance bounds the extra requests that all VMs together may send to each service.
func NewAggregator(exchanger Exchanger, targets Targets, extraRequests cassiabudget.Allowance) *Aggregator {
	return &Aggregator{exchanger: exchanger, targets: targets,
		budgets: cassiabudget.ServiceBudgets[cassiacatalog.ServiceName]{Allowance: extraRequests},
		running: make(map[cassiaid.VMName]map[uint64]context.CancelFunc)}
}

// Serve starts the attempts of a batch without waiting for them; their results go to reply in one or more frames.
func (a *Aggregator) Serve(from cassiaid.VMName, m *cassiaschema.AggregateBatch, reply cassiapeer.Replier) {
	if len(m.GetAttempts()) == 0 {
		return
	}
	now := time.Now()
	b := &servedBatch{firstAttemptID: m.GetFirstAttemptId(), outstanding: len(m.GetAttempts()), reply: reply, floor: m.GetFloor(),
		pruner: cassiarecord.Pruner{Count: int(m.GetTopK())}}
	call := decodeCall(m, now)
	release, ok := a.Bodies.TryHold(len(call.Body))
	if !ok {
		// The other VM then sends its attempts itself for a while.
		for _, attempt := range m.GetAttempts() {
			b.add(servedResult{attempt: attempt, Result: cassiapool.Result{Outcome: cassiagateway.OutcomeTargetUnknown}})
		}
		return
	}
	b.release = release
	for _, attempt := range m.GetAttempts() {
		id := b.firstAttemptID + attempt.GetNumber()
		ctx, cancel := context.WithCancel(context.Background())
		a.addRunning(from, id, cancel)
		a.workers.Go(func() {
			defer cancel()
			result := a.exchange(ctx, call, m.GetRoute(), attempt)
			a.removeRunning(from, id)
			b.add(servedResult{attempt: attempt, Result: result})
		})
	}
}

func (a *Aggregator) exchange(ctx context.Context, call cassiapool.Call, route string,
	attempt *cassiaschema.AggregateAttempt) cassiapool.Result {
	call.Instance = attempt.GetTarget()
	a.targets.AwaitNews(ctx)
	target, ok := a.targets.Target(cassiaid.TargetName(call.Instance))
	if !ok {
		return cassiapool.Result{Outcome: cassiagateway.OutcomeTargetUnknown}
	}
	running, refusal := a.admit(target, route, attempt)
	if running == nil {
		return cassiapool.Result{Outcome: refusal}
	}
	call.Address, call.StartUnixMillis = target.Address, target.StartUnixMillis
	sentAt := time.Now()
	result := a.exchanger.Exchange(ctx, call)
	if answered, unanswered := result.Outcome.Reached(); answered || unanswered {
		a.targets.ObserveReach(answered, sentAt)
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.fitness.End(time.Now(), running, fitnessResult(result))
	return result
}

// admit records the start of an attempt. If the target is unfit or the retry budget of the service is used up, it
// returns nil and the outcome to report instead.
func (a *Aggregator) admit(target cassiadirectory.Target, route string,
	attempt *cassiaschema.AggregateAttempt) (*cassiafitness.Attempt, cassiagateway.Outcome) {
	zones := a.targets.Zones()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := time.Now()
	running := a.fitness.Begin(now, target.Name, route, attempt.GetForce())
	if running == nil {
		return nil, cassiagateway.OutcomeUnfit
	}
	if !slices.Equal(a.zones, zones) {
		a.zones = zones
		a.budgets.SetZones(now, zones)
	}
	allowed := a.budgets.Admit(now, target.Service, attempt.GetExtra())
	if attempt.GetExtra() && a.OnExtraRequest != nil {
		a.OnExtraRequest(allowed)
	}
	if !allowed {
		a.fitness.End(now, running, cassiafitness.Unknown)
		return nil, cassiagateway.OutcomeOverBudget
	}
	return running, ""
}

// fitnessResult returns what a result means for the fitness of the target. A target that names the rate that it accepts, or asks for a
// pause, may reject requests although it is fit.
func fitnessResult(r cassiapool.Result) cassiafitness.Result {
	if r.Outcome == cassiagateway.OutcomeRejected && r.Acceptance.State == cassiabudget.AcceptanceLimited || r.Statement.Pause > 0 {
		return cassiafitness.Unknown
	}
	switch r.Outcome {
	case cassiagateway.OutcomeAnswered:
		return cassiafitness.Answered
	case cassiagateway.OutcomeFailed, cassiagateway.OutcomeRejected, cassiagateway.OutcomeBroken, cassiagateway.OutcomeLost,
		cassiagateway.OutcomeUnsent:
		return cassiafitness.Failed
	default:
		return cassiafitness.Unknown
	}
}

// Cancel cancels attempts of a VM; their results are still sent.
func (a *Aggregator) Cancel(from cassiaid.VMName, m *cassiaschema.AggregateCancel) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, id := range m.GetAttemptIds() {
		if cancel := a.running[from][id]; cancel != nil {
			cancel()
		}
	}
}

// PeerLost cancels all attempts of a VM whose connection was lost.
func (a *Aggregator) PeerLost(from cassiaid.VMName) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, cancel := range a.running[from] {
		cancel()
	}
	delete(a.running, from)
}

func (a *Aggregator) addRunning(from cassiaid.VMName, id uint64, cancel context.CancelFunc) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.running[from] == nil {
		a.running[from] = make(map[uint64]context.CancelFunc)
	}
	a.running[from][id] = cancel
}

func (a *Aggregator) removeRunning(from cassiaid.VMName, id uint64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	delete(a.running[from], id)
}

// servedBatch collects the results of one batch that another VM sent.
type servedBatch struct {
	// firstAttemptID is added to an attempt's number in the batch to get its ID.
	firstAttemptID uint64
	reply          cassiapeer.Replier
	// floor is a record below which unpruned results hold none; it may be empty.
	floor []byte
	// release gives the memory for the body back when all attempts have ended; nil if there is none.
	release func()

	mutex       sync.Mutex
	pruner      cassiarecord.Pruner
	outstanding int
	ready       []servedResult
	timer       *time.Timer
}

type servedResult struct {
	attempt *cassiaschema.AggregateAttempt
	cassiapool.Result
}

// add records a result. It sends the pending results when this is the last one of the batch, otherwise resultBatchDelay
// after the first of them.
func (b *servedBatch) add(r servedResult) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.ready = append(b.ready, r)
	b.outstanding--
	switch {
	case b.outstanding == 0:
		if b.timer != nil {
			b.timer.Stop()
		}
		if b.release != nil {
			b.release()
		}
		b.flush()
	case len(b.ready) == 1:
		b.timer = time.AfterFunc(resultBatchDelay, func() {
			b.mutex.Lock()
			defer b.mutex.Unlock()
			b.flush()
		})
	}
}

// flush sends the pending results. The caller holds the mutex, so that frames leave in the order in which the results
// were pruned.
func (b *servedBatch) flush() {
	if len(b.ready) == 0 {
		return
	}
	results := &cassiaschema.AggregateResults{FirstAttemptId: b.firstAttemptID}
	var pruned []*cassiaschema.AggregateResult
	var parts [][]byte
	for _, r := range b.ready {
		result := &cassiaschema.AggregateResult{Number: r.attempt.GetNumber(), Acceptance: r.Acceptance.Message(),
			Availability: r.Statement.Message()}
		results.Results = append(results.Results, result)
		if r.Outcome != cassiagateway.OutcomeAnswered {
			result.Failure = string(r.Outcome)
			continue
		}
		result.Stamp = r.Reply.Stamp
		if r.attempt.GetWhole() {
			result.Records = cassiarecord.GreatestFrom([][]byte{r.Reply.Body}, b.pruner.Count, b.floor)
			continue
		}
		pruned = append(pruned, result)
		parts = append(parts, r.Reply.Body)
	}
	for i, records := range b.pruner.Prune(parts...) {
		pruned[i].Records = records
	}
	b.ready = nil
	// If the reply is lost, the other VM ends the attempts as silent at their deadline.
	_ = b.reply(&cassiaschema.PeerFrame{Body: &cassiaschema.PeerFrame_AggregateResults{AggregateResults: results}})
}

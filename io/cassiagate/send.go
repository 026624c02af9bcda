package cassiagate

import (
	"context"
	"time"

	"cassiasaddle/core/cassiagateway"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaquarantine"
	"cassiasaddle/io/cassiaaggregate"
	"cassiasaddle/io/cassiaguard"
	"cassiasaddle/io/cassiapool"
)

// suspectWaitLimit bounds how long an attempt of a request that may crash targets waits for another one of it.
const suspectWaitLimit = 200 * time.Millisecond

// batchKey identifies the attempts of one query that are sent through the same VM.
type batchKey struct {
	vm    cassiaid.VMName
	query cassiagateway.QueryID
}

// send starts an attempt if the guard allows it at once; otherwise the attempt of a suspect waits for its turn.
func (g *Gate) send(batches map[batchKey]*cassiaaggregate.Batch, e cassiagateway.Send) {
	q := g.pending[e.Query]
	if q == nil {
		g.abandon(e.Attempt)
		return
	}
	run := cassiaquarantine.Run{Attempt: e.Attempt, Fingerprint: q.fingerprints.caller, Content: q.fingerprints.content, Shard: e.Shard}
	if g.guard.TryStart(run, e.Target) {
		g.transmit(batches, q, e)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.cancels[e.Attempt] = cancel
	g.group.Go(func() error {
		defer cancel()
		g.sendSuspect(ctx, q, run, e)
		return nil
	})
}

// sendSuspect starts an attempt of a suspect when no other one runs, or reports why it does not.
func (g *Gate) sendSuspect(ctx context.Context, q *pendingQuery, run cassiaquarantine.Run, e cassiagateway.Send) {
	verdict := g.guard.StartSuspect(ctx, cassiaid.FrontKey{}, run, e.Target, suspectWaitLimit)
	g.report.suspectStart(run, e.Target, verdict)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	delete(g.cancels, e.Attempt)
	ended := cassiagateway.AttemptEnded{Attempt: e.Attempt}
	switch {
	case verdict == cassiaquarantine.VerdictQuarantined:
		ended.Outcome = cassiagateway.OutcomeQuarantined
	case verdict == cassiaquarantine.VerdictWait:
		ended.Outcome = cassiagateway.OutcomeAbandoned
	case cassiaguard.Refuses(verdict):
		ended.Outcome = cassiagateway.OutcomeWithheld
	case ctx.Err() != nil || g.pending[e.Query] == nil:
		if share := g.guard.Record(cassiaid.FrontKey{}, e.Attempt, cassiaquarantine.EndingOther); share != nil {
			g.group.Go(func() error { share(); return nil })
		}
		ended.Outcome = cassiagateway.OutcomeAbandoned
	default:
		batches := make(map[batchKey]*cassiaaggregate.Batch)
		g.transmit(batches, q, e)
		g.sendBatches(batches)
		return
	}
	g.report.attemptEnded(ended.Outcome)
	g.perform(g.gateway.Update(ended))
}

// transmit sends an attempt that the guard has started, or adds it to the batch for the VM that is to send it.
func (g *Gate) transmit(batches map[batchKey]*cassiaaggregate.Batch, q *pendingQuery, e cassiagateway.Send) {
	if e.Aggregator != "" && g.aggregatorClient != nil {
		addToBatch(batches, q, e)
		return
	}
	call := q.call
	call.Address, call.Instance, call.StartUnixMillis = e.Address, string(e.Target), e.StartUnixMillis
	call.Deadline, call.NewConnection = e.Deadline, e.NewConnection
	ctx, cancel := context.WithCancel(context.Background())
	g.cancels[e.Attempt] = cancel
	call.BeforeSend = func() bool {
		if g.pauses.Wait(ctx) && !g.lists(e.Target) {
			return false
		}
		g.Update(cassiagateway.AttemptBegins{Attempt: e.Attempt})
		return ctx.Err() == nil
	}
	g.workers.Go(func() {
		defer cancel()
		g.exchange(ctx, call, e.Attempt)
	})
}

// lists reports whether a target may be used.
func (g *Gate) lists(name cassiaid.TargetName) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	_, ok := g.targets[name]
	return ok
}

// exchange performs an attempt and reports how it ended. The gateway learns of the loss of a target after the other VMs, so
// that whoever repeats the request finds them informed.
func (g *Gate) exchange(ctx context.Context, call cassiapool.Call, id cassiaid.AttemptID) {
	result := g.pool.Exchange(ctx, call)
	g.report.attemptEnded(result.Outcome)
	share := g.guard.Record(cassiaid.FrontKey{}, id, endingOf(result.Outcome))
	if share != nil && result.Outcome == cassiagateway.OutcomeLost {
		share()
		share = nil
	}
	g.mutex.Lock()
	delete(g.cancels, id)
	g.perform(g.gateway.Update(cassiagateway.AttemptEnded{Attempt: id, Outcome: result.Outcome, Reply: result.Reply,
		Acceptance: result.Acceptance, Statement: result.Statement}))
	g.mutex.Unlock()
	if share != nil {
		share()
	}
}

// endingOf returns what the outcome of an attempt tells about its request.
func endingOf(o cassiagateway.Outcome) cassiaquarantine.Ending {
	switch o {
	case cassiagateway.OutcomeAnswered, cassiagateway.OutcomeFailed:
		return cassiaquarantine.EndingAnswered
	case cassiagateway.OutcomeLost:
		return cassiaquarantine.EndingLost
	default:
		return cassiaquarantine.EndingOther
	}
}

// sendBatches sends each batch to its VM.
func (g *Gate) sendBatches(batches map[batchKey]*cassiaaggregate.Batch) {
	for key, batch := range batches {
		g.aggregatorClient.Send(key.vm, *batch)
	}
}

// addToBatch adds an attempt to the batch for the VM that is to send it.
func addToBatch(batches map[batchKey]*cassiaaggregate.Batch, q *pendingQuery, e cassiagateway.Send) {
	key := batchKey{vm: e.Aggregator, query: e.Query}
	batch := batches[key]
	if batch == nil {
		batch = &cassiaaggregate.Batch{Query: e.Query, Call: q.call, Route: q.route.Name, TopK: q.route.TopK}
		batch.Call.Deadline = e.Deadline
		batches[key] = batch
	}
	if len(e.Floor) > 0 {
		batch.Floor = e.Floor
	}
	batch.Attempts = append(batch.Attempts, cassiaaggregate.Attempt{ID: e.Attempt, Target: e.Target, Unpruned: e.Unpruned,
		Extra: e.AggregatorPays, Force: e.Force})
}

package cassiaentry

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaplan"
	"cassiasaddle/core/cassiaroute"
	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/io/cassiaclaimer"
	"cassiasaddle/io/cassiahttp"
	"cassiasaddle/io/cassiapeer"
)

// run holds the planner of one request and the attempts that it has in flight.
type run struct {
	entry       *Entry
	id          cassiaid.QueryID
	request     *cassiahttp.Request
	fingerprint cassiaid.Fingerprint
	// grant is the claim of a non-idempotent request; nil for an idempotent one.
	grant  *cassiaclaimer.Grant
	query  *cassiaplan.Query
	events *mailbox[event]
	timer  *time.Timer
	// inFlight holds the attempts in flight; attempted holds the shards that had an attempt before, whose next attempts
	// count as extra.
	inFlight  map[cassiaid.AttemptID]sentAttempt
	attempted map[cassiaid.ShardIndex]bool
	finish    *cassiaplan.Finish
}

// sentAttempt is an attempt in flight.
type sentAttempt struct {
	owner  cassiaid.VMName
	target cassiaid.TargetName
	at     time.Time
}

// event is a message for the planner, or the loss of a VM that may hold attempts of the run.
type event struct {
	message   cassiaplan.Message
	lostOwner cassiaid.VMName
}

// messageOf converts an event to a planner message. For a lost VM it adds the attempts that are in flight there, which
// only the goroutine of the run may read.
func (r *run) messageOf(v event) cassiaplan.Message {
	if v.message != nil {
		return v.message
	}
	lost := cassiaplan.OwnerLost{Owner: v.lostOwner, Sent: true}
	for id, sent := range r.inFlight {
		if sent.owner == v.lostOwner {
			lost.Attempts = append(lost.Attempts, id)
		}
	}
	return lost
}

func (r *run) post(m cassiaplan.Message) { r.events.put(event{message: m}) }

// execute runs the planner until it finishes.
func (r *run) execute(ctx context.Context) *cassiaplan.Finish {
	r.timer = time.NewTimer(time.Hour)
	defer r.timer.Stop()
	r.step(cassiaplan.Begin{})
	callerGone := ctx.Done()
	for r.finish == nil {
		select {
		case <-r.events.signal:
			for _, v := range r.events.takeAll() {
				r.step(r.messageOf(v))
			}
		case <-r.timer.C:
			r.step(cassiaplan.TimerFired{})
		case <-callerGone:
			// The planner continues if a repeat of the request needs the outcome.
			callerGone = nil
			r.step(cassiaplan.CallerGone{})
		}
	}
	r.endAttempts()
	return r.finish
}

// step passes one message to the planner and performs its effects.
func (r *run) step(m cassiaplan.Message) {
	switch m := m.(type) {
	case cassiaplan.Results:
		r.recordResults(m)
	case cassiaplan.OwnerLost:
		r.recordEnded(m.Attempts, false)
	}
	var effects []cassiaplan.Effect
	r.entry.config.Routes.With(func(*cassiaroute.Table) { effects = r.query.Update(m) })
	for _, e := range effects {
		r.perform(e)
	}
}

func (r *run) perform(e cassiaplan.Effect) {
	switch e := e.(type) {
	case cassiaplan.SendBatch:
		r.sendBatch(e)
	case cassiaplan.AskKnowledge:
		r.askKnowledge(e)
	case cassiaplan.Cancel:
		r.recordEnded(e.Attempts, true)
		r.entry.cancel(r.id, e)
	case cassiaplan.SetTimer:
		r.timer.Reset(e.At.Sub(r.entry.config.Clock.Now()))
	case cassiaplan.Count:
		r.entry.count(e.Counter)
	case cassiaplan.Finish:
		r.finish = &e
	}
}

// recordResults reports the results and latencies of attempts to the routing table.
func (r *run) recordResults(m cassiaplan.Results) {
	now := r.entry.config.Clock.Now()
	updates := make([]cassiaroute.Message, 0, 2*len(m.Results))
	for _, result := range m.Results {
		id := cassiaid.AttemptID(result.AttemptId)
		sent, ok := r.inFlight[id]
		seen := cassiaroute.ResultSeen{Front: r.request.Key, Result: result}
		if ok {
			delete(r.inFlight, id)
			seen.Took = now.Sub(sent.at)
			updates = append(updates, cassiaroute.AttemptEnded{Target: sent.target})
		}
		updates = append(updates, seen)
	}
	r.entry.config.Routes.Update(updates...)
}

// recordEnded reports to the routing table that attempts are no longer in flight; gaveUp is true when the run stopped
// waiting for them, for example because the query finished.
func (r *run) recordEnded(ids []cassiaid.AttemptID, gaveUp bool) {
	now := r.entry.config.Clock.Now()
	var updates []cassiaroute.Message
	for _, id := range ids {
		if sent, ok := r.inFlight[id]; ok {
			delete(r.inFlight, id)
			ended := cassiaroute.AttemptEnded{Target: sent.target}
			if gaveUp {
				ended.GaveUpAfter = now.Sub(sent.at)
			}
			updates = append(updates, ended)
		}
	}
	r.entry.config.Routes.Update(updates...)
}

func (r *run) endAttempts() {
	ids := make([]cassiaid.AttemptID, 0, len(r.inFlight))
	for id := range r.inFlight {
		ids = append(ids, id)
	}
	r.recordEnded(ids, true)
}

// sendBatch sends one batch to an owner and records its attempts as in flight.
func (r *run) sendBatch(e cassiaplan.SendBatch) {
	now := r.entry.config.Clock.Now()
	remaining := e.Deadline.Sub(now)
	ids := make([]cassiaid.AttemptID, 0, len(e.Attempts))
	for _, a := range e.Attempts {
		ids = append(ids, a.ID)
	}
	lost := cassiaplan.OwnerLost{Owner: e.Owner, Attempts: ids}
	if remaining <= 0 || !r.mayDispatch() {
		r.post(lost)
		return
	}
	r.recordSent(e, now)
	batch := r.newBatch(e, remaining)
	r.entry.count(countBatches)
	if e.Owner == r.entry.config.Self {
		r.entry.handleLocally(batch)
		return
	}
	r.entry.group.Go(func() error {
		// Check again, because the VM may have been paused since the batch was built.
		batch.Remaining = durationpb.New(e.Deadline.Sub(r.entry.config.Clock.Now()))
		if batch.Remaining.AsDuration() <= 0 || !r.mayDispatch() {
			r.post(lost)
			return nil
		}
		if err := r.entry.send(r.id, e.Owner, batch); err != nil {
			lost.Sent = !errors.Is(err, cassiapeer.ErrNotSent)
			r.post(lost)
		}
		return nil
	})
}

func (r *run) recordSent(e cassiaplan.SendBatch, now time.Time) {
	updates := make([]cassiaroute.Message, 0, len(e.Attempts))
	for _, a := range e.Attempts {
		r.inFlight[a.ID] = sentAttempt{owner: e.Owner, target: a.Target, at: now}
		updates = append(updates, cassiaroute.AttemptSent{Front: r.request.Key, Target: a.Target, Extra: r.attempted[a.Shard]})
		r.attempted[a.Shard] = true
	}
	r.entry.config.Routes.Update(updates...)
}

func (r *run) newBatch(e cassiaplan.SendBatch, remaining time.Duration) *cassiaschema.ShardBatch {
	front := r.request.Front
	batch := &cassiaschema.ShardBatch{
		QueryId: r.id[:], Team: string(r.request.Key.Team), Front: string(r.request.Key.Front),
		Kind: front.Kind, Priority: front.Priority,
		ShardMapEpoch: uint64(e.Epoch), Snapshot: uint64(e.Snapshot),
		Remaining: durationpb.New(remaining), FlushAfter: durationpb.New(e.FlushAfter),
		Fingerprint: uint64(r.fingerprint), IdempotencyKey: r.request.IdempotencyKey, Body: r.request.Body,
		Attempts: make([]*cassiaschema.ShardAttempt, 0, len(e.Attempts)),
	}
	shards := r.frontAt(e.Epoch)
	for _, a := range e.Attempts {
		batch.Attempts = append(batch.Attempts, &cassiaschema.ShardAttempt{
			AttemptId: uint64(a.ID), Shard: uint32(a.Shard), ShardName: cassiahttp.ShardName(shards, a.Shard), Target: string(a.Target), Hedge: a.Hedge,
		})
	}
	return batch
}

func (r *run) askKnowledge(e cassiaplan.AskKnowledge) {
	request := &cassiaschema.KnowledgeRequest{Team: string(r.request.Key.Team), Front: string(r.request.Key.Front)}
	for _, t := range e.Targets {
		request.Targets = append(request.Targets, string(t))
	}
	r.entry.group.Go(func() error {
		ctx, cancel := context.WithDeadline(r.entry.context, r.request.Deadline)
		defer cancel()
		reply, err := r.entry.requestKnowledge(ctx, e.Owner, request)
		if err == nil {
			r.entry.config.Routes.Update(cassiaroute.KnowledgeSeen{Targets: reply.Targets})
		}
		r.post(cassiaplan.Knowledge{Owner: e.Owner, Targets: reply.GetTargets(), Lost: err != nil})
		return nil
	})
}

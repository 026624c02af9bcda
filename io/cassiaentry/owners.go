package cassiaentry

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/rotisserie/eris"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaplan"
	"cassiasaddle/core/cassiaroute"
	"cassiasaddle/core/cassiaschema"
)

// sendTimeout bounds the sending of a batch or a cancellation, including a new connection handshake.
const sendTimeout = 2 * time.Second

// laneOf returns the lane of a query; frames on one lane stay in order.
func laneOf(query cassiaid.QueryID) uint64 { return binary.LittleEndian.Uint64(query[:8]) }

// send sends a batch to another VM and records when the first reply is due.
func (e *Entry) send(query cassiaid.QueryID, owner cassiaid.VMName, batch *cassiaschema.ShardBatch) error {
	ctx, cancel := context.WithTimeout(e.context, min(sendTimeout, batch.Remaining.AsDuration()))
	defer cancel()
	batch.SentUnixMicros = e.config.Clock.Now().UnixMicro()
	frame := &cassiaschema.PeerFrame{Body: &cassiaschema.PeerFrame_ShardBatch{ShardBatch: batch}}
	// The reply is expected from before the send, because a handshake with an unreachable VM blocks until its timeout.
	e.silence.expectReply(owner, e.config.Clock.Now().Add(batch.FlushAfter.AsDuration()+silenceGrace))
	err := e.config.Peers.Send(ctx, owner, laneOf(query), frame)
	if err != nil {
		e.markUnreachable(owner, e.config.Clock.Now())
		return err
	}
	return nil
}

// handleLocally passes a batch to the owner on this VM.
func (e *Entry) handleLocally(batch *cassiaschema.ShardBatch) {
	e.config.Owner.HandleBatch(e.config.Self, batch, func(reply *cassiaschema.ShardBatchReply) { e.HandleReply(e.config.Self, reply) })
}

// cancel asks an owner to stop attempts. If the message is lost, the targets only finish work that is not used.
func (e *Entry) cancel(query cassiaid.QueryID, c cassiaplan.Cancel) {
	request := &cassiaschema.CancelAttempts{QueryId: query[:]}
	for _, id := range c.Attempts {
		request.AttemptIds = append(request.AttemptIds, uint64(id))
	}
	if c.Owner == e.config.Self {
		e.config.Owner.Cancel(request)
		return
	}
	e.group.Go(func() error {
		ctx, cancel := context.WithTimeout(e.context, sendTimeout)
		defer cancel()
		frame := &cassiaschema.PeerFrame{Body: &cassiaschema.PeerFrame_CancelAttempts{CancelAttempts: request}}
		if err := e.config.Peers.Send(ctx, c.Owner, laneOf(query), frame); err != nil {
			e.count("cancelLost")
		}
		return nil
	})
}

// requestKnowledge asks an owner which snapshots its targets hold.
func (e *Entry) requestKnowledge(ctx context.Context, owner cassiaid.VMName, request *cassiaschema.KnowledgeRequest) (*cassiaschema.KnowledgeReply, error) {
	if owner == e.config.Self {
		return e.config.Owner.Knowledge(ctx, request), nil
	}
	frame := &cassiaschema.PeerFrame{Body: &cassiaschema.PeerFrame_KnowledgeRequest{KnowledgeRequest: request}}
	reply, err := e.config.Peers.Exchange(ctx, owner, frame)
	if err != nil {
		return nil, err
	}
	knowledge := reply.GetKnowledgeReply()
	if knowledge == nil {
		return nil, eris.Errorf("%s did not reply with what its targets hold; ask another VM", owner)
	}
	return knowledge, nil
}

// HandleReply passes the results of an owner to the query that they belong to; results of a finished query are only
// counted.
func (e *Entry) HandleReply(owner cassiaid.VMName, reply *cassiaschema.ShardBatchReply) {
	if e.silence.clear(owner) {
		e.config.Routes.Update(cassiaroute.OwnerReachable{Owner: owner})
	}
	if owner != e.config.Self {
		e.count(countReplies)
	}
	var id cassiaid.QueryID
	copy(id[:], reply.QueryId)
	e.mutex.Lock()
	r := e.runs[id]
	e.mutex.Unlock()
	if r != nil {
		r.post(cassiaplan.Results{Owner: owner, Results: reply.Results})
		return
	}
	for range reply.Results {
		e.count(cassiaplan.CountDroppedLate)
	}
}

// PeerLost reports the lost connection to a VM to every query, so that none waits for results from it.
func (e *Entry) PeerLost(owner cassiaid.VMName) {
	e.silence.clear(owner)
	e.markUnreachable(owner, e.config.Clock.Now())
	e.forEachRun(func(r *run) { r.events.put(event{lostOwner: owner}) })
}

// markUnreachable reports an owner as unreachable to the routing table, which ranks it last for a second or until a
// reply from it arrives.
func (e *Entry) markUnreachable(owner cassiaid.VMName, at time.Time) {
	e.silence.markUnreachable(owner)
	e.config.Routes.Update(cassiaroute.OwnerUnreachable{Owner: owner, At: at})
}

// Quarantined stops the queries of a request that was quarantined because it crashes targets.
func (e *Entry) Quarantined(fingerprint cassiaid.Fingerprint, remaining time.Duration) {
	e.forEachRun(func(r *run) {
		if r.fingerprint == fingerprint {
			r.post(cassiaplan.Quarantined{Remaining: remaining})
		}
	})
}

func (e *Entry) forEachRun(f func(*run)) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, r := range e.runs {
		f(r)
	}
}

package cassiaentry

import (
	"context"
	"encoding/binary"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaplan"
	"cassiasaddle/core/cassiaroute"
	"cassiasaddle/core/cassiaschema"
)

const (
	// sendTimeout bounds the way of a batch into the connection, a new handshake included.
	sendTimeout = 2 * time.Second
	// silenceGrace is added to the time at which an owner has to send its first results.
	silenceGrace = 100 * time.Millisecond
	// silenceInterval is how often owners are checked for silence.
	silenceInterval = 50 * time.Millisecond
)

// laneOf keeps the frames of one query in order.
func laneOf(query cassiaid.QueryID) uint64 { return binary.LittleEndian.Uint64(query[:8]) }

// send sends a batch to another VM and expects its first results in time.
func (e *Entry) send(query cassiaid.QueryID, owner cassiaid.VMName, batch *cassiaschema.ShardBatch) error {
	ctx, cancel := context.WithTimeout(e.context, min(sendTimeout, batch.Remaining.AsDuration()))
	defer cancel()
	batch.SentUnixMicros = e.config.Clock.Now().UnixMicro()
	frame := &cassiaschema.PeerFrame{Body: &cassiaschema.PeerFrame_ShardBatch{ShardBatch: batch}}
	// Before the sending, since a handshake with a VM that is cut off does not end in time.
	e.silence.expect(owner, e.config.Clock.Now().Add(batch.FlushAfter.AsDuration()+silenceGrace))
	err := e.config.Peers.Send(ctx, owner, laneOf(query), frame)
	if err != nil {
		e.doubt(owner)
		return err
	}
	return nil
}

// local passes a batch to the owner side of this VM.
func (e *Entry) local(batch *cassiaschema.ShardBatch) {
	e.config.Owner.HandleBatch(e.config.Self, batch, func(reply *cassiaschema.ShardBatchReply) { e.HandleReply(e.config.Self, reply) })
}

// cancel tells an owner that attempts are no longer wanted; a lost message costs only the targets' time.
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

// knowledge asks an owner what its targets hold.
func (e *Entry) knowledge(ctx context.Context, owner cassiaid.VMName, request *cassiaschema.KnowledgeRequest) (*cassiaschema.KnowledgeReply, error) {
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

// HandleReply takes results from an owner.
func (e *Entry) HandleReply(owner cassiaid.VMName, reply *cassiaschema.ShardBatchReply) {
	if e.silence.heard(owner) {
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

// PeerLost tells every run that waits for a VM that it will not answer.
func (e *Entry) PeerLost(owner cassiaid.VMName) {
	e.silence.heard(owner)
	e.doubt(owner)
	e.each(func(r *run) { r.events.put(event{lostOwner: owner}) })
}

// doubt ranks an owner last until something is heard from it.
func (e *Entry) doubt(owner cassiaid.VMName) {
	e.silence.doubt(owner)
	e.config.Routes.Update(cassiaroute.OwnerUnreachable{Owner: owner})
}

// Quarantined stops the runs of a request that crashes targets.
func (e *Entry) Quarantined(fingerprint cassiaid.Fingerprint, remaining time.Duration) {
	e.each(func(r *run) {
		if r.fingerprint == fingerprint {
			r.post(cassiaplan.Quarantined{Remaining: remaining})
		}
	})
}

func (e *Entry) each(f func(*run)) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, r := range e.runs {
		f(r)
	}
}

// WatchSilence marks owners that send nothing when they have to as unreachable, until ctx ends.
func (e *Entry) WatchSilence(ctx context.Context) error {
	ticker := time.NewTicker(silenceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			for _, owner := range e.silence.overdue(e.config.Clock.Now()) {
				e.count("ownerSilent")
				e.doubt(owner)
				e.each(func(r *run) { r.post(cassiaplan.OwnerSilent{Owner: owner}) })
			}
		}
	}
}

// silence remembers by when each owner has to send something, and which owners are in doubt since they did not.
type silence struct {
	mutex    sync.Mutex
	expected map[cassiaid.VMName]owed
	doubted  map[cassiaid.VMName]bool
}

// owed is what an owner has to send.
type owed struct {
	by time.Time
	// again is true after the first time that it did not.
	again bool
}

// expect notes that an owner has to send something by a time, unless it already owes something earlier.
func (s *silence) expect(owner cassiaid.VMName, by time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.expected == nil {
		s.expected = make(map[cassiaid.VMName]owed)
	}
	if _, owes := s.expected[owner]; !owes {
		s.expected[owner] = owed{by: by}
	}
}

// heard tells whether the owner was in doubt.
func (s *silence) heard(owner cassiaid.VMName) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.expected, owner)
	doubted := s.doubted[owner]
	delete(s.doubted, owner)
	return doubted
}

func (s *silence) doubt(owner cassiaid.VMName) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.doubted == nil {
		s.doubted = make(map[cassiaid.VMName]bool)
	}
	s.doubted[owner] = true
}

// overdue returns the owners that were to send something before now; each is returned twice, so that one sign is told
// from a lasting silence also when no further batch goes to the owner.
func (s *silence) overdue(now time.Time) []cassiaid.VMName {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var owners []cassiaid.VMName
	for owner, o := range s.expected {
		if !o.by.Before(now) {
			continue
		}
		owners = append(owners, owner)
		if o.again {
			delete(s.expected, owner)
		} else {
			s.expected[owner] = owed{by: now.Add(silenceGrace), again: true}
		}
	}
	return owners
}

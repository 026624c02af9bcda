package cassiaplan

import (
	"time"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// phase is where a query stands.
type phase int

const (
	idle phase = iota
	asking
	running
	finished
)

// Query is the progress of one request; it is not safe for concurrent use.
type Query struct {
	request Request
	view    View
	clock   Clock
	random  RandomSource

	phase     phase
	front     *cassiaschema.Front
	epoch     cassiaid.Epoch
	snapshot  cassiaid.Snapshot
	restarted bool
	shards    []shard
	merged    int
	rowBytes  int
	// ran is true once a target has answered, whether or not its rows were merged.
	ran    bool
	crash  crashWatch
	canary canary

	// attempts holds every attempt ever made, so that a late result is told from a foreign one.
	attempts map[cassiaid.AttemptID]*attempt
	avoided  map[cassiaid.VMName]bool
	learned  map[cassiaid.TargetName]learned
	asked    knowledgeRound
	timer    time.Time
	outbox   outbox
}

// NewQuery returns a query that waits for Begin.
func NewQuery(request Request, view View, clock Clock, random RandomSource) *Query {
	return &Query{
		request:  request,
		view:     view,
		clock:    clock,
		random:   random,
		attempts: make(map[cassiaid.AttemptID]*attempt, len(request.Front.GetShards())),
		avoided:  map[cassiaid.VMName]bool{},
		learned:  map[cassiaid.TargetName]learned{},
	}
}

// Update takes one message and returns what has to be done, in order.
func (q *Query) Update(m Message) []Effect {
	now := q.clock.Now()
	if q.phase == finished {
		q.countLate(m)
		return q.outbox.take(SendBatch{})
	}
	q.handle(m, now)
	q.progress(now)
	if q.phase != finished {
		q.setTimer(now)
	}
	return q.outbox.take(q.batch())
}

func (q *Query) handle(m Message, now time.Time) {
	switch m := m.(type) {
	case Begin:
		q.begin(now)
	case Knowledge:
		q.hearKnowledge(m)
	case Results:
		q.takeResults(m)
	case OwnerLost:
		q.loseOwner(m)
	case OwnerSilent:
		q.passOver(m.Owner, now)
	case Quarantined:
		q.refuseQuarantined(m.Remaining)
	case CallerGone:
		q.loseCaller()
	case TimerFired:
		q.timer = time.Time{}
	}
}

// progress does all that has become due or possible.
func (q *Query) progress(now time.Time) {
	if q.phase == asking {
		q.endAsking(now)
	}
	if q.phase == running {
		q.recoverShards(now)
	}
	if q.phase == running {
		q.giveUpCutOff(now)
	}
	if q.phase == running || q.phase == asking {
		q.finishIfDone(now)
	}
	if q.phase == running {
		q.hedge(now)
		q.stopEarly(now)
	}
}

// begin plans the first run.
func (q *Query) begin(now time.Time) {
	if q.phase != idle {
		return
	}
	q.phase = running
	q.readFront(q.request.Front)
	if q.request.Shards != nil {
		q.resetShards(q.request.Shards)
	}
	if len(q.shards) == 0 {
		q.refuse(Refusal{Kind: RefusalBadRequest, Ran: RanNo,
			Message: "the request names no shard of the front; check the front's shards"})
		return
	}
	if q.refuseCutOff(); q.phase == finished {
		return
	}
	q.startCanary()
	if !q.askIfCold(now) {
		q.pin()
	}
}

// readFront takes over a front's settings and forgets the shards' progress.
func (q *Query) readFront(front *cassiaschema.Front) {
	q.front = front
	q.epoch = cassiaid.Epoch(front.GetShardMapEpoch())
	q.resetShards(ShardsFor(front, q.request.ShardKey))
}

func (q *Query) resetShards(indexes []cassiaid.ShardIndex) {
	q.shards = make([]shard, len(indexes))
	for i, index := range indexes {
		q.shards[i] = shard{index: index, targets: targetsOf(q.front, index)}
	}
	q.merged, q.rowBytes = 0, 0
	q.crash.probe = nil
}

// pin fixes the snapshot of the run; recoverShards then asks every shard.
func (q *Query) pin() {
	q.phase = running
	if best, _ := q.bestSnapshot(); best != 0 {
		q.snapshot = best
	}
}

// shard returns the progress of a shard in the present run, nil when it is not asked.
func (q *Query) shard(index cassiaid.ShardIndex) *shard {
	if i := int(index); i < len(q.shards) && q.shards[i].index == index {
		return &q.shards[i]
	}
	for i := range q.shards {
		if q.shards[i].index == index {
			return &q.shards[i]
		}
	}
	return nil
}

// batch returns what all batches of one Update have in common.
func (q *Query) batch() SendBatch {
	return SendBatch{
		Snapshot:   q.snapshot,
		Epoch:      q.epoch,
		Deadline:   q.request.Deadline.Add(-replyMargin),
		FlushAfter: q.flushAfter(),
	}
}

package cassiaplan

import (
	"time"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// phase is a stage in the life of a query.
type phase int

const (
	phaseIdle phase = iota
	phaseAskingOwners
	phaseRunning
	phaseFinished
)

// Query is the state machine that executes one request. It is not safe for concurrent use.
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
	// merged is the number of shards whose rows are merged, rowBytes the total size of those rows.
	merged   int
	rowBytes int
	// targetAnswered is true once any target has answered, even if its rows were dropped.
	targetAnswered bool
	crashGuard     crashGuard
	canary         canary

	// attempts holds all attempts of all runs, so that a late result can be distinguished from one that belongs to
	// another query.
	attempts map[cassiaid.AttemptID]*attempt
	// avoidedOwners holds the owners that were lost, silent or unable to serve this query; no new attempt goes to them.
	avoidedOwners map[cassiaid.VMName]bool
	reports       map[cassiaid.TargetName]targetReport
	knowledge     knowledgeRound
	// timer is the time of the last SetTimer, zero after it fired.
	timer  time.Time
	outbox outbox
}

// NewQuery returns a query that starts when Update receives Begin.
func NewQuery(request Request, view View, clock Clock, random RandomSource) *Query {
	return &Query{
		request:       request,
		view:          view,
		clock:         clock,
		random:        random,
		attempts:      make(map[cassiaid.AttemptID]*attempt, len(request.Front.GetShards())),
		avoidedOwners: map[cassiaid.VMName]bool{},
		reports:       map[cassiaid.TargetName]targetReport{},
	}
}

// Update processes one message and returns the effects that the caller must perform, in order. Once the query has
// finished it only returns counts.
func (q *Query) Update(m Message) []Effect {
	now := q.clock.Now()
	if q.phase == phaseFinished {
		q.countLate(m)
		return q.outbox.flush(SendBatch{})
	}
	q.handle(m, now)
	q.progress(now)
	if q.phase != phaseFinished {
		q.setTimer(now)
	}
	return q.outbox.flush(q.batch())
}

// handle applies a message to the state of the query.
func (q *Query) handle(m Message, now time.Time) {
	switch m := m.(type) {
	case Begin:
		q.begin(now)
	case Knowledge:
		q.handleKnowledge(m)
	case Results:
		q.handleResults(m)
	case OwnerLost:
		q.handleOwnerLost(m)
	case OwnerSilent:
		q.handleOwnerSilent(m.Owner, now)
	case Quarantined:
		q.refuseQuarantined(m.Remaining)
	case CallerGone:
		q.handleCallerGone()
	case TimerFired:
		q.timer = time.Time{}
	}
}

// progress takes every step that the time and the current state allow.
func (q *Query) progress(now time.Time) {
	if q.phase == phaseAskingOwners {
		q.finishKnowledgeRound(now)
	}
	if q.phase == phaseRunning {
		q.recoverShards(now)
	}
	if q.phase == phaseRunning {
		q.giveUpCutOffShards(now)
	}
	if q.phase == phaseRunning || q.phase == phaseAskingOwners {
		q.finishIfDone(now)
	}
	if q.phase == phaseRunning {
		q.sendHedges(now)
		q.stopEarly(now)
	}
}

// begin starts the first run: it selects the shards and then either asks owners which snapshots their targets hold or
// pins a snapshot. It refuses the query if there is no shard to ask or if refuseIfCutOff does.
func (q *Query) begin(now time.Time) {
	if q.phase != phaseIdle {
		return
	}
	q.phase = phaseRunning
	q.setFront(q.request.Front)
	if q.request.Shards != nil {
		q.resetShards(q.request.Shards)
	}
	if len(q.shards) == 0 {
		q.refuse(Refusal{Kind: RefusalBadRequest, Ran: RanNo,
			Message: "the request names no shard of the front; check the front's shards"})
		return
	}
	if q.refuseIfCutOff(); q.phase == phaseFinished {
		return
	}
	q.startCanary()
	if !q.requestKnowledgeIfCold(now) {
		q.pinSnapshot()
	}
}

// setFront adopts a version of the front's settings and resets the progress of all shards.
func (q *Query) setFront(front *cassiaschema.Front) {
	q.front = front
	q.epoch = cassiaid.Epoch(front.GetShardMapEpoch())
	q.resetShards(ShardsFor(front, q.request.ShardKey))
}

// resetShards replaces the shards of the run and discards their progress.
func (q *Query) resetShards(indexes []cassiaid.ShardIndex) {
	q.shards = make([]shard, len(indexes))
	for i, index := range indexes {
		q.shards[i] = shard{index: index, targets: shardTargets(q.front, index)}
	}
	q.merged, q.rowBytes = 0, 0
	q.crashGuard.canaryShard = nil
}

// pinSnapshot fixes the snapshot of the run, keeping the previous one if no snapshot is known; recoverShards then asks
// every shard.
func (q *Query) pinSnapshot() {
	q.phase = phaseRunning
	if best, _ := q.bestSnapshot(); best != 0 {
		q.snapshot = best
	}
}

// shard returns the progress of a shard in the current run, or nil if the run does not ask it.
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

// batch returns the fields that all batches of one Update share.
func (q *Query) batch() SendBatch {
	return SendBatch{
		Snapshot:   q.snapshot,
		Epoch:      q.epoch,
		Deadline:   q.request.Deadline.Add(-replyMargin),
		FlushAfter: q.flushAfter(),
	}
}

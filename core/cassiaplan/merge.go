package cassiaplan

import (
	"cassiasaddle/core/cassiafront"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// handleResults processes results; each attempt is settled by at most one of them.
func (q *Query) handleResults(m Results) {
	for _, r := range m.Results {
		q.handleResult(m.Owner, r)
		if q.phase == phaseFinished {
			return
		}
	}
}

// handleResult applies one result to its attempt, or counts it as dropped if it belongs to no open attempt.
func (q *Query) handleResult(owner cassiaid.VMName, r *cassiaschema.ShardResult) {
	a := q.attempts[cassiaid.AttemptID(r.GetAttemptId())]
	if !isReplyTo(a, owner, r) {
		q.outbox.count(CountDroppedForeign)
		return
	}
	q.recordResult(r)
	if !a.open {
		a.mayHaveStarted = a.mayHaveStarted || started(r)
		q.outbox.count(dropCounter(a))
		return
	}
	a.open = false
	a.mayHaveStarted = started(r)
	s := q.shard(a.Shard)
	q.crashGuard.record(s, r)
	switch r.GetOutcome() {
	case cassiaschema.ShardOutcome_answered:
		q.targetAnswered = true
		q.handleRows(s, a, r)
	case cassiaschema.ShardOutcome_quarantined:
		q.refuseQuarantined(quarantineRetryAfter)
	default:
		q.handleFailure(s, a, r.GetOutcome())
	}
}

// isReplyTo reports whether a result has the owner, shard and target of the attempt.
func isReplyTo(a *attempt, owner cassiaid.VMName, r *cassiaschema.ShardResult) bool {
	return a != nil && a.owner == owner && uint32(a.Shard) == r.GetShard() && string(a.Target) == r.GetTarget()
}

// started reports whether the target may have run the attempt.
func started(r *cassiaschema.ShardResult) bool {
	return r.GetStarted() || r.GetOutcome() == cassiaschema.ShardOutcome_answered
}

// dropCounter returns the counter for a result of an attempt that is already closed.
func dropCounter(a *attempt) Counter {
	if a.cancelled {
		return CountDroppedLate
	}
	return CountDroppedDuplicate
}

// handleRows merges the rows of an answer if they come from the pinned snapshot and shard map and fit the size limit of
// the front.
func (q *Query) handleRows(s *shard, a *attempt, r *cassiaschema.ShardResult) {
	switch {
	case cassiaid.Epoch(r.GetShardMapEpoch()) != q.epoch:
		q.outbox.count(CountDroppedEpoch)
		s.recordFailure(failureByOutcome[cassiaschema.ShardOutcome_repartitioned])
	case cassiaid.Snapshot(r.GetSnapshot()) != q.snapshot:
		q.outbox.count(CountDroppedSnapshot)
		s.recordFailure(failureByOutcome[cassiaschema.ShardOutcome_snapshotGone])
	case !s.pending():
		q.outbox.count(CountDroppedDuplicate)
	case q.rowBytes+len(r.GetRows()) > cassiafront.MaxAnswerBytes(q.front):
		q.outbox.count(CountAnswerTooBig)
		q.abandon(s, MissingAnswerTooBig)
	default:
		q.merge(s, a, r.GetRows())
	}
}

// merge adds the rows of a shard to the answer and cancels its other attempts.
func (q *Query) merge(s *shard, a *attempt, rows []byte) {
	s.merged = true
	s.rows = rows
	q.merged++
	q.rowBytes += len(rows)
	if a.Hedge {
		q.outbox.count(CountHedgeWon)
	}
	q.cancelAttempts(s)
}

// abandon closes a shard and cancels its attempts.
func (q *Query) abandon(s *shard, reason MissingReason) {
	s.close(reason)
	q.cancelAttempts(s)
}

func (q *Query) cancelAttempts(s *shard) {
	for _, a := range s.attempts {
		q.cancel(a)
	}
}

func (q *Query) cancelAll() {
	for i := range q.shards {
		q.cancelAttempts(&q.shards[i])
	}
}

// countLate counts results that arrive after the query has finished.
func (q *Query) countLate(m Message) {
	results, ok := m.(Results)
	if !ok {
		return
	}
	for _, r := range results.Results {
		a := q.attempts[cassiaid.AttemptID(r.GetAttemptId())]
		if !isReplyTo(a, results.Owner, r) {
			q.outbox.count(CountDroppedForeign)
			continue
		}
		q.outbox.count(dropCounter(a))
	}
}

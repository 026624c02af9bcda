package cassiaplan

import (
	"time"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// minRestartTime is the least remaining time that justifies the load of a restart.
const minRestartTime = 20 * time.Millisecond

// restartIfNeeded restarts the whole query, at most once, on a newer shard map or snapshot if a shard needs it.
func (q *Query) restartIfNeeded(now time.Time) {
	if q.restarted || !q.hasTimeToRestart(now) || !q.safeToRestart() {
		return
	}
	if q.needsRestart(MissingRepartitioned) {
		if front := q.view.Front(q.request.Key); cassiaid.Epoch(front.GetShardMapEpoch()) > q.epoch {
			q.restart(front, CountRestartEpoch)
			return
		}
	}
	if q.needsRestart(MissingSnapshotGone) {
		best, shards := q.bestSnapshot()
		if best > q.snapshot && shards > q.shardsBySnapshot()[q.snapshot] {
			q.restart(q.front, CountRestartSnapshot)
		}
	}
}

// needsRestart reports whether a pending shard without an open attempt last failed for the given reason and only a
// restart can resolve it.
func (q *Query) needsRestart(reason MissingReason) bool {
	for i := range q.shards {
		s := &q.shards[i]
		if !s.pending() || s.hasOpenAttempts() || s.reason != reason {
			continue
		}
		if candidates, _ := q.candidates(s, holdsSnapshot); len(candidates) == 0 || reason == MissingRepartitioned && !q.idempotent() {
			return true
		}
	}
	return false
}

// hasTimeToRestart reports whether enough time remains for a restart.
func (q *Query) hasTimeToRestart(now time.Time) bool {
	least := max(minRestartTime, 2*q.view.HedgeAfter(q.request.Key))
	return q.request.Deadline.Sub(now) >= least
}

// safeToRestart reports whether the request may be run again as a whole.
func (q *Query) safeToRestart() bool { return q.idempotent() || !q.mayHaveStarted() }

// restart cancels the current run and begins a new one with the given settings of the front. Under a new shard map it
// asks the shards that ShardsFor returns, because Request.Shards refers to the previous shard map.
func (q *Query) restart(front *cassiaschema.Front, counter Counter) {
	q.outbox.count(counter)
	q.restarted = true
	q.cancelAll()
	shards := q.request.Shards
	q.setFront(front)
	if counter == CountRestartSnapshot && shards != nil {
		q.resetShards(shards)
	}
	q.pinSnapshot()
}

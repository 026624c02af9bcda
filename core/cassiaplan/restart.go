package cassiaplan

import (
	"time"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// minRestartTime is the least remaining time for which a restart is worth its load.
const minRestartTime = 20 * time.Millisecond

// restartIfNeeded begins the whole query again, once, on a newer shard map or snapshot when a shard needs it.
func (q *Query) restartIfNeeded(now time.Time) {
	if q.restarted || !q.hasTimeToRestart(now) || !q.safeToRestart() {
		return
	}
	if q.needsRestart(MissingRepartitioned) {
		if front := q.view.Front(q.request.Key); cassiaid.Epoch(front.GetShardMapEpoch()) > q.epoch {
			q.startOver(front, CountRestartEpoch)
			return
		}
	}
	if q.needsRestart(MissingSnapshotGone) {
		best, shards := q.bestSnapshot()
		if best > q.snapshot && shards > q.holders()[q.snapshot] {
			q.startOver(q.front, CountRestartSnapshot)
		}
	}
}

// needsRestart tells whether a shard is stuck for a reason that only a restart mends.
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

func (q *Query) hasTimeToRestart(now time.Time) bool {
	least := max(minRestartTime, 2*q.view.HedgeAfter(q.request.Key))
	return q.request.Deadline.Sub(now) >= least
}

// safeToRestart tells whether the request may be sent again as a whole.
func (q *Query) safeToRestart() bool { return q.idempotent() || !q.mayHaveRun() }

func (q *Query) startOver(front *cassiaschema.Front, counter Counter) {
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

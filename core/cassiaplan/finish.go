package cassiaplan

import (
	"math"
	"time"
)

// Values of Refusal.RetryAfter.
const (
	retryAfter           = time.Second
	quarantineRetryAfter = 30 * time.Second
)

// finishIfDone finishes the query at its deadline, when no shard is pending, or when too few shards are left to reach
// the needed coverage.
func (q *Query) finishIfDone(now time.Time) {
	pending := 0
	for i := range q.shards {
		if q.shards[i].pending() {
			pending++
		}
	}
	switch {
	case !now.Before(q.request.Deadline):
		q.conclude(MissingLate)
	case pending == 0:
		q.conclude(MissingLate)
	case q.merged+pending < q.neededShards():
		q.conclude(MissingCancelled)
	}
}

// neededShards returns how many shards an answer must contain; it is at least 1.
func (q *Query) neededShards() int {
	return max(1, minShards(q.front.GetMinCoverage(), len(q.shards)))
}

// minShards returns the least number of shards that is at least the given fraction of all.
func minShards(fraction float64, all int) int {
	const rounding = 1e-9
	return int(math.Ceil(fraction*float64(all) - rounding))
}

// conclude finishes the query with the merged rows, or refuses it if they are too few. pendingReason is the reason
// reported for shards that are still pending.
func (q *Query) conclude(pendingReason MissingReason) {
	q.cancelAll()
	if q.merged >= q.neededShards() {
		q.finish(Finish{Answer: q.answer(pendingReason)})
		return
	}
	q.refuse(q.incompleteRefusal(pendingReason))
}

// answer returns the merged rows with their coverage.
func (q *Query) answer(pendingReason MissingReason) *Answer {
	a := &Answer{Snapshot: q.snapshot, Epoch: q.epoch, Coverage: q.coverage(pendingReason)}
	for i := range q.shards {
		if s := &q.shards[i]; s.merged {
			a.Rows = append(a.Rows, ShardRows{Shard: s.index, Rows: s.rows})
		}
	}
	return a
}

// coverage counts the merged shards as answered and lists every other shard as missing: with its own reason if the
// shard was closed or waits for a shard map, otherwise with pendingReason.
func (q *Query) coverage(pendingReason MissingReason) Coverage {
	c := Coverage{Asked: len(q.shards)}
	for i := range q.shards {
		s := &q.shards[i]
		switch {
		case s.merged:
			c.Answered++
		case (s.closed || s.epochBackoffs > 0 && !s.hasOpenAttempts()) && s.reason != "":
			c.Missing = append(c.Missing, MissingShard{Shard: s.index, Reason: s.reason})
		default:
			c.Missing = append(c.Missing, MissingShard{Shard: s.index, Reason: pendingReason})
		}
	}
	return c
}

// finish ends the query. The caller must have cancelled the attempts in flight.
func (q *Query) finish(f Finish) {
	q.phase = phaseFinished
	q.outbox.add(f)
}

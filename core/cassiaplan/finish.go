package cassiaplan

import (
	"math"
	"time"
)

// Times that a refusal advises to wait.
const (
	retryAfter           = time.Second
	quarantineRetryAfter = 30 * time.Second
)

// finishIfDone ends the query at its deadline, when every shard is settled, or when it can not succeed any more.
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

// neededShards returns how many shards an answer has to hold.
func (q *Query) neededShards() int {
	return max(1, minShards(q.front.GetMinCoverage(), len(q.shards)))
}

// minShards returns the least number of shards that is a fraction of all.
func minShards(fraction float64, all int) int {
	const rounding = 1e-9
	return int(math.Ceil(fraction*float64(all) - rounding))
}

// conclude ends the query with what is merged; unsettled is the reason for shards that are still pending.
func (q *Query) conclude(unsettled MissingReason) {
	q.cancelAll()
	if q.merged >= q.neededShards() {
		q.finish(Finish{Answer: q.answer(unsettled)})
		return
	}
	q.refuse(q.incompleteRefusal(unsettled))
}

func (q *Query) answer(unsettled MissingReason) *Answer {
	a := &Answer{Snapshot: q.snapshot, Epoch: q.epoch, Coverage: q.coverage(unsettled)}
	for i := range q.shards {
		if s := &q.shards[i]; s.merged {
			a.Rows = append(a.Rows, ShardRows{Shard: s.index, Rows: s.rows})
		}
	}
	return a
}

// coverage counts the merged shards, and nothing else, as answered.
func (q *Query) coverage(unsettled MissingReason) Coverage {
	c := Coverage{Asked: len(q.shards)}
	for i := range q.shards {
		s := &q.shards[i]
		switch {
		case s.merged:
			c.Answered++
		case (s.closed || s.epochBackoffs > 0 && !s.hasOpenAttempts()) && s.reason != "":
			c.Missing = append(c.Missing, MissingShard{Shard: s.index, Reason: s.reason})
		default:
			c.Missing = append(c.Missing, MissingShard{Shard: s.index, Reason: unsettled})
		}
	}
	return c
}

// finish ends the query; whatever is in flight was cancelled before.
func (q *Query) finish(f Finish) {
	q.phase = phaseFinished
	q.outbox.add(f)
}

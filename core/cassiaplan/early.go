package cassiaplan

import (
	"time"

	"cassiasaddle/core/cassiaschema"
)

// Thresholds of the early stop for fronts with preference preferTail.
const (
	// defaultEarlyCoverage is the coverage that allows the early stop when the front sets no minCoverage.
	defaultEarlyCoverage = 0.95
	// overdueFactor times the hedge delay must have passed since a shard's first attempt before the shard is overdue.
	overdueFactor = 3
	// lastAttemptOverdueFactor times the hedge delay must also have passed since the shard's last attempt.
	lastAttemptOverdueFactor = 2
)

// stopEarly finishes the query without the pending shards once enough shards are merged and every pending one is
// overdue.
func (q *Query) stopEarly(now time.Time) {
	if !q.mayStopEarly() {
		return
	}
	for i := range q.shards {
		s := &q.shards[i]
		if s.pending() && now.Before(q.overdueAt(s)) {
			return
		}
	}
	q.outbox.count(CountEarlyStop)
	q.conclude(MissingLate)
}

// mayStopEarly reports whether the front prefers a short tail latency and enough shards are merged.
func (q *Query) mayStopEarly() bool {
	return q.front.GetPreference() == cassiaschema.Preference_preferTail && q.idempotent() &&
		q.view.HedgeAfter(q.request.Key) > 0 && q.merged >= q.earlyStopShards()
}

// overdueAt returns when a pending shard becomes overdue, that is unlikely to be answered soon.
func (q *Query) overdueAt(s *shard) time.Time {
	if len(s.attempts) == 0 {
		return q.request.Deadline
	}
	after := q.view.HedgeAfter(q.request.Key)
	first := s.attempts[0].sentAt.Add(overdueFactor * after)
	last := s.attempts[len(s.attempts)-1].sentAt.Add(lastAttemptOverdueFactor * after)
	if last.After(first) {
		return last
	}
	return first
}

// earlyStopShards returns how many shards must be merged before the query may stop early.
func (q *Query) earlyStopShards() int {
	if q.front.GetMinCoverage() > 0 {
		return q.neededShards()
	}
	return minShards(defaultEarlyCoverage, len(q.shards))
}

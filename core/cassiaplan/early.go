package cassiaplan

import (
	"time"

	"cassiasaddle/core/cassiaschema"
)

// Rules of the early stop of preferTail.
const (
	// defaultEarlyCoverage is the coverage at which to stop when the front sets no minCoverage.
	defaultEarlyCoverage = 0.95
	// overdueFactor is how many times the hedge delay a shard may take before it counts as overdue.
	overdueFactor = 3
	// latestOverdueFactor is how many times the hedge delay the latest attempt of an overdue shard has had.
	latestOverdueFactor = 2
)

// stopEarly answers without the rest once enough is merged and every missing shard is overdue.
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

// mayStopEarly tells whether the front prefers a short tail and enough is merged.
func (q *Query) mayStopEarly() bool {
	return q.front.GetPreference() == cassiaschema.Preference_preferTail && q.idempotent() &&
		q.view.HedgeAfter(q.request.Key) > 0 && q.merged >= q.earlyStopShards()
}

// overdueAt returns when a shard is unlikely to be answered soon.
func (q *Query) overdueAt(s *shard) time.Time {
	if len(s.attempts) == 0 {
		return q.request.Deadline
	}
	after := q.view.HedgeAfter(q.request.Key)
	first := s.attempts[0].sent.Add(overdueFactor * after)
	last := s.attempts[len(s.attempts)-1].sent.Add(latestOverdueFactor * after)
	if last.After(first) {
		return last
	}
	return first
}

// earlyStopShards returns how many shards have to be merged before the early stop.
func (q *Query) earlyStopShards() int {
	if q.front.GetMinCoverage() > 0 {
		return q.neededShards()
	}
	return minShards(defaultEarlyCoverage, len(q.shards))
}

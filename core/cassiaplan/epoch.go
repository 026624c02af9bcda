package cassiaplan

import (
	"time"

	"cassiasaddle/core/cassiabackoff"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// Bounds of the wait for a shard map that targets and VMs take over one by one.
const (
	// minEpochBackoff is the first pause before a shard is asked again; it doubles up to maxEpochPause.
	minEpochBackoff = 10 * time.Millisecond
	maxEpochBackoff = 40 * time.Millisecond
	// maxEpochAttempts bounds the attempts at a shard in one run that end as refused for its shard map and not run.
	maxEpochAttempts = 24
)

// waitForEpoch keeps a shard pending that no replica serves by the query's shard map, and tells whether it did: targets
// that are behind are asked again after a pause, and a newer shard map in the settings restarts the query.
func (q *Query) waitForEpoch(s *shard, now time.Time) bool {
	if s.reason != MissingRepartitioned || !q.idempotent() || len(s.attempts) >= maxEpochAttempts || !q.mayReachEpoch(s) {
		return false
	}
	pause := cassiabackoff.Pause(minEpochBackoff, maxEpochBackoff, s.epochBackoffs)
	if q.request.Deadline.Sub(now) < pause+max(minRestartTime, q.view.HedgeAfter(q.request.Key)) {
		return false
	}
	if s.epochBackoffs++; s.epochBackoffs == 1 {
		q.outbox.count(CountEpochWait)
	}
	s.retryAt = now.Add(pause)
	for _, a := range s.attempts {
		a.mayAskAgain = a.mayAskAgain || a.refusedEpoch && q.target(a.Target).Epoch < q.epoch
	}
	return true
}

// mayReachEpoch tells whether a replica has yet to take over the query's shard map, or the query that of its replicas.
func (q *Query) mayReachEpoch(s *shard) bool {
	for _, t := range s.targets {
		if !q.restarted || q.target(cassiaid.TargetName(t.GetName())).Epoch < q.epoch {
			return true
		}
	}
	return false
}

// recordEpochRefusal notes that a target refused an attempt for its shard map; it costs no more than the message.
func (q *Query) recordEpochRefusal(s *shard, a *attempt, outcome cassiaschema.ShardOutcome, f *failure) {
	if outcome == cassiaschema.ShardOutcome_repartitioned && !a.mayHaveStarted {
		a.refusedEpoch = true
		f.freeRetry = len(s.attempts) < maxEpochAttempts
	}
}

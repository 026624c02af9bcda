package cassiaplan

import (
	"time"

	"cassiasaddle/core/cassiabackoff"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// Limits on waiting while targets and VMs adopt a new shard map one by one.
const (
	// minEpochBackoff is the first delay before a shard is asked again; it doubles up to maxEpochBackoff.
	minEpochBackoff = 10 * time.Millisecond
	maxEpochBackoff = 40 * time.Millisecond
	// maxEpochAttempts is the number of attempts for a shard after which a refusal because of the shard map leads
	// neither to a wait nor to a free retry. A restart of the query begins a new count.
	maxEpochAttempts = 24
)

// waitForEpoch schedules another attempt for a shard that no replica serves under the query's shard map yet, and
// returns true. It returns false if the shard has had maxEpochAttempts, waiting cannot help, too little time remains,
// or the request is not idempotent. Targets with an older shard map are asked again after a backoff; a newer shard map
// in the settings restarts the query.
func (q *Query) waitForEpoch(s *shard, now time.Time) bool {
	if s.reason != MissingRepartitioned || !q.idempotent() || len(s.attempts) >= maxEpochAttempts || !q.mayReachEpoch(s) {
		return false
	}
	delay := cassiabackoff.Delay(minEpochBackoff, maxEpochBackoff, s.epochBackoffs)
	if q.request.Deadline.Sub(now) < delay+max(minRestartTime, q.view.HedgeAfter(q.request.Key)) {
		return false
	}
	if s.epochBackoffs++; s.epochBackoffs == 1 {
		q.outbox.count(CountEpochWait)
	}
	s.retryAt = now.Add(delay)
	for _, a := range s.attempts {
		a.mayAskAgain = a.mayAskAgain || a.refusedEpoch && q.target(a.Target).Epoch < q.epoch
	}
	return true
}

// mayReachEpoch reports whether waiting can help: a replica may still adopt the query's shard map, or the query may
// still restart on that of its replicas.
func (q *Query) mayReachEpoch(s *shard) bool {
	for _, t := range s.targets {
		if !q.restarted || q.target(cassiaid.TargetName(t.GetName())).Epoch < q.epoch {
			return true
		}
	}
	return false
}

// recordEpochRefusal marks an attempt that its target refused because of the shard map. Its retry is free up to
// maxEpochAttempts, because the refusal cost no more than a message.
func (q *Query) recordEpochRefusal(s *shard, a *attempt, outcome cassiaschema.ShardOutcome, f *failure) {
	if outcome == cassiaschema.ShardOutcome_repartitioned && !a.mayHaveStarted {
		a.refusedEpoch = true
		f.freeRetry = len(s.attempts) < maxEpochAttempts
	}
}

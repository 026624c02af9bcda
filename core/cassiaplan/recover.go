package cassiaplan

import (
	"time"

	"cassiasaddle/core/cassiaschema"
)

// maxNonIdempotentAttempts limits the attempts for a shard of a non-idempotent request.
const maxNonIdempotentAttempts = 2

// failure describes how an unsuccessful outcome is reported and retried.
type failure struct {
	reason  MissingReason
	counter Counter
	// final is true when another attempt would not help.
	final bool
	// freeRetry is true when the retry takes nothing from the budget because it adds no lasting load: no target
	// received the last attempt, a target refused it because of the shard map (see recordEpochRefusal), or this is the
	// shard's first retry after a lost owner or after a refusal (see freeRetryOnce).
	freeRetry bool
	// freeRetryOnce is true when the target refused the attempt or was unreachable. The retry after the shard's first
	// failure of this kind is free if the target did not start the attempt, because then still only one target runs the
	// shard.
	freeRetryOnce bool
}

// failureByOutcome maps outcomes to failures. An outcome that is not listed is treated like ShardOutcome_failed.
var failureByOutcome = map[cassiaschema.ShardOutcome]failure{
	cassiaschema.ShardOutcome_failed:        {reason: MissingFailed, counter: CountRetryFailed},
	cassiaschema.ShardOutcome_badReply:      {reason: MissingFailed, counter: CountRetryFailed},
	cassiaschema.ShardOutcome_cancelled:     {reason: MissingFailed, counter: CountRetryFailed},
	cassiaschema.ShardOutcome_overloaded:    {reason: MissingOverloaded, counter: CountRetryOverloaded, freeRetryOnce: true},
	cassiaschema.ShardOutcome_draining:      {reason: MissingUnreachable, counter: CountRetryDraining, freeRetryOnce: true},
	cassiaschema.ShardOutcome_unreachable:   {reason: MissingUnreachable, counter: CountRetryUnreachable, freeRetryOnce: true},
	cassiaschema.ShardOutcome_snapshotGone:  {reason: MissingSnapshotGone, counter: CountRetrySnapshot},
	cassiaschema.ShardOutcome_repartitioned: {reason: MissingRepartitioned, counter: CountRetryEpoch},
	cassiaschema.ShardOutcome_timedOut:      {reason: MissingLate, final: true},
	cassiaschema.ShardOutcome_notOwner:      {reason: MissingNoOwner, counter: CountRetryNotOwner, freeRetry: true},
	cassiaschema.ShardOutcome_vmLeaving:     {reason: MissingUnreachable, counter: CountRetryVMLeaving, freeRetry: true},
}

// ownerLostFailure is the failure of an attempt whose owner was lost.
var ownerLostFailure = failure{reason: MissingUnreachable, counter: CountRetryOwnerLost}

// handleFailure records an unsuccessful outcome; recoverShards decides whether to retry.
func (q *Query) handleFailure(s *shard, a *attempt, outcome cassiaschema.ShardOutcome) {
	f, ok := failureByOutcome[outcome]
	if !ok {
		f = failureByOutcome[cassiaschema.ShardOutcome_failed]
	}
	if f.freeRetry {
		q.avoidedOwners[a.owner] = true
		a.ownerFailed = true
		f.freeRetry = !a.mayHaveStarted
	}
	if f.freeRetryOnce && !a.mayHaveStarted && !s.refused {
		s.refused = true
		f.freeRetry = true
	}
	q.recordEpochRefusal(s, a, outcome, &f)
	s.recordFailure(f)
}

// handleOwnerLost closes the attempts whose results a lost owner can no longer deliver.
func (q *Query) handleOwnerLost(m OwnerLost) {
	q.avoidedOwners[m.Owner] = true
	for _, id := range m.Attempts {
		a := q.attempts[id]
		if a == nil || !a.open || a.owner != m.Owner {
			continue
		}
		a.open = false
		a.ownerFailed = true
		a.mayHaveStarted = m.Sent
		s := q.shard(a.Shard)
		f := ownerLostFailure
		f.freeRetry = !m.Sent || !s.ownerLost
		s.ownerLost = true
		s.recordFailure(f)
	}
}

// recoverShards sends an attempt for each shard that has none in flight, or closes the shard.
func (q *Query) recoverShards(now time.Time) {
	q.restartIfNeeded(now)
	var shards []shardCandidates
	first := q.firstShardToAsk()
	for i := range q.shards {
		s := &q.shards[(first+i)%len(q.shards)]
		if !s.pending() || s.hasOpenAttempts() || now.Before(s.retryAt) || q.deferForCanary(s, now) || q.crashGuard.deferRetry(s) {
			continue
		}
		if candidates := q.nextCandidates(s, now); len(candidates) > 0 {
			shards = append(shards, shardCandidates{shard: s, candidates: candidates})
		}
	}
	q.ask(shards, false, now)
}

// ask sends one attempt for each shard to one of its candidates.
func (q *Query) ask(shards []shardCandidates, hedge bool, now time.Time) {
	if len(shards) == 0 {
		return
	}
	picked := pickCandidates(shards, q.view.LocalZone(), q.random.Uint64())
	for i, c := range shards {
		q.newAttempt(c.shard, picked[i], hedge, now)
		c.shard.hedgeAt = now.Add(q.view.HedgeAfter(q.request.Key))
	}
}

// nextCandidates returns the candidates for the next attempt at a shard. If there are none, it schedules a later
// attempt (see waitForEpoch) or closes the shard. It also closes the shard if no retry is allowed.
func (q *Query) nextCandidates(s *shard, now time.Time) []candidate {
	first := len(s.attempts) == 0
	if !first && !q.mayRetry(s) {
		s.close(s.reason)
		return nil
	}
	worst := unusable
	if first {
		worst = lacksSnapshot
	}
	candidates, reason := q.candidates(s, worst)
	if len(candidates) == 0 {
		if first {
			s.reason = reason
		} else if q.waitForEpoch(s, now) {
			return nil
		}
		s.close(s.reason)
		return nil
	}
	if !first && !q.chargeRetry(s) {
		s.close(s.reason)
		return nil
	}
	return candidates
}

// mayRetry reports whether the request may have another attempt at a shard, regardless of the budget.
func (q *Query) mayRetry(s *shard) bool {
	if s.lastFailure.final || q.crashGuard.forbidsRetry(s) {
		return false
	}
	if q.idempotent() {
		return true
	}
	return !s.mayHaveStarted() && len(s.attempts) < maxNonIdempotentAttempts
}

// chargeRetry takes a retry from the budget unless it is free, and reports whether it may be sent.
func (q *Query) chargeRetry(s *shard) bool {
	if !s.lastFailure.freeRetry && !q.view.TakeRetry(q.request.Key) {
		q.outbox.count(CountRetryDenied)
		return false
	}
	q.outbox.count(s.lastFailure.counter)
	return true
}

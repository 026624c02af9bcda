package cassiaplan

import "time"

// canaryDeadlineDivisor sets the wait for a canary, as a fraction of the remaining time, while the latency of the front
// is unknown.
const canaryDeadlineDivisor = 4

// crashDetectionDelay is the longest time from the crash of a target until all owners are notified of it.
const crashDetectionDelay = 15 * time.Millisecond

// canary holds back all shards but one until that one is answered, so that a request that crashes its targets does not
// reach all of them at once.
type canary struct {
	// active is true while the other shards are held back.
	active bool
	// releaseAt is when the other shards are asked even if the canary shard has neither been answered nor lost a
	// target.
	releaseAt time.Time
}

// startCanary activates the canary for an unproven idempotent request that asks more than one shard.
func (q *Query) startCanary() {
	q.canary.active = q.request.Unproven && q.idempotent() && len(q.shards) > 1
	if q.canary.active {
		q.outbox.count(CountCanary)
	}
}

// deferForCanary reports whether a shard must not be asked yet because of the canary. If no canary shard is pending,
// the shard becomes the canary shard. If a retry of the canary shard has lost another target (canaryCrashed), the shard
// is closed.
func (q *Query) deferForCanary(s *shard, now time.Time) bool {
	if !q.canary.active {
		return false
	}
	switch canaryShard := q.crashGuard.canaryShard; {
	case q.crashGuard.canaryCrashed:
		s.close(MissingFailed)
		return true
	case q.crashGuard.canaryAnswered:
		q.canary.active = false
	case q.canaryLate(now):
		q.outbox.count(CountCanaryLate)
		q.canary.active = false
	case canaryShard == nil || !canaryShard.pending():
		q.crashGuard.canaryShard = s
		q.canary.releaseAt = now.Add(q.canaryWait(now))
	default:
		return s != canaryShard
	}
	return false
}

// canaryLate reports whether the canary has taken so long that the other shards are asked without waiting for it.
func (q *Query) canaryLate(now time.Time) bool {
	return q.crashGuard.targetsLost == 0 && !q.canary.releaseAt.IsZero() && !now.Before(q.canary.releaseAt)
}

// canaryWait returns how long the other shards wait for the canary.
func (q *Query) canaryWait(now time.Time) time.Duration {
	if after := q.view.HedgeAfter(q.request.Key); after > 0 {
		return after + crashDetectionDelay
	}
	return q.request.Deadline.Sub(now) / canaryDeadlineDivisor
}

// firstShardToAsk returns the index of the shard that recoverShards considers first.
func (q *Query) firstShardToAsk() int {
	if !q.canary.active || q.crashGuard.canaryShard != nil {
		return 0
	}
	return q.canaryShardIndex()
}

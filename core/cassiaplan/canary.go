package cassiaplan

import "time"

// canaryDeadlineDivisor divides the remaining time into the wait for a canary while the front's latency is not known.
const canaryDeadlineDivisor = 4

// crashDetectionDelay is how long it may take after the crash of a target until the owners know of it.
const crashDetectionDelay = 15 * time.Millisecond

// canary has one shard answer before the others are asked, so that a request which crashes the targets that run it does
// not reach all of them at once.
type canary struct {
	// active is true while the other shards are held back.
	active bool
	// releaseAt is when the others are asked although the canary has neither answered nor lost its target.
	releaseAt time.Time
}

// startCanary holds the other shards back if the request asks for it.
func (q *Query) startCanary() {
	q.canary.active = q.request.Unproven && q.idempotent() && len(q.shards) > 1
	if q.canary.active {
		q.outbox.count(CountCanary)
	}
}

// deferForCanary tells whether a shard has to wait for the canary, and makes it the canary when there is none.
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

// canaryLate tells whether the canary takes so long that the other shards go ahead.
func (q *Query) canaryLate(now time.Time) bool {
	return q.crashGuard.targetsLost == 0 && !q.canary.releaseAt.IsZero() && !now.Before(q.canary.releaseAt)
}

func (q *Query) canaryWait(now time.Time) time.Duration {
	if after := q.view.HedgeAfter(q.request.Key); after > 0 {
		return after + crashDetectionDelay
	}
	return q.request.Deadline.Sub(now) / canaryDeadlineDivisor
}

// firstShardToAsk returns where to begin to look for a shard to ask.
func (q *Query) firstShardToAsk() int {
	if !q.canary.active || q.crashGuard.canaryShard != nil {
		return 0
	}
	return q.canaryShardIndex()
}

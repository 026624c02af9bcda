package cassiaplan

import "time"

// canaryDeadlineParts divides the remaining time into the wait for a canary while the front's latency is not known.
const canaryDeadlineParts = 4

// crashNotice is how long it may take after the crash of a target until the owners know of it.
const crashNotice = 15 * time.Millisecond

// canary has one shard answer before the others are asked, so that a request which crashes the targets that run it does
// not reach all of them at once.
type canary struct {
	// waiting is true while the other shards are held back.
	waiting bool
	// until is when the others are asked although the canary has neither answered nor lost its target.
	until time.Time
}

// startCanary holds the other shards back if the request asks for it.
func (q *Query) startCanary() {
	q.canary.waiting = q.request.Unproven && q.idempotent() && len(q.shards) > 1
	if q.canary.waiting {
		q.outbox.count(CountCanary)
	}
}

// awaitsCanary tells whether a shard has to wait for the canary, and makes it the canary when there is none.
func (q *Query) awaitsCanary(s *shard, now time.Time) bool {
	if !q.canary.waiting {
		return false
	}
	switch probe := q.crash.probe; {
	case q.crash.condemned:
		s.close(MissingFailed)
		return true
	case q.crash.cleared:
		q.canary.waiting = false
	case q.canaryLate(now):
		q.outbox.count(CountCanaryLate)
		q.canary.waiting = false
	case probe == nil || !probe.pending():
		q.crash.probe = s
		q.canary.until = now.Add(q.canaryWait(now))
	default:
		return s != probe
	}
	return false
}

// canaryLate tells whether the canary takes so long that the other shards go ahead.
func (q *Query) canaryLate(now time.Time) bool {
	return q.crash.lost == 0 && !q.canary.until.IsZero() && !now.Before(q.canary.until)
}

func (q *Query) canaryWait(now time.Time) time.Duration {
	if after := q.view.HedgeAfter(q.request.Key); after > 0 {
		return after + crashNotice
	}
	return q.request.Deadline.Sub(now) / canaryDeadlineParts
}

// pickCanary returns where to begin to look for a shard to ask.
func (q *Query) pickCanary() int {
	if !q.canary.waiting || q.crash.probe != nil {
		return 0
	}
	return q.probeShard()
}

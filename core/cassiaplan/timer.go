package cassiaplan

import "time"

// replyMargin is how long before the query's deadline owners must finish, so that their replies arrive in time.
const replyMargin = 5 * time.Millisecond

// minFlushAfter is the minimum of FlushAfter; it limits the number of replies that an owner splits its results into.
const minFlushAfter = 5 * time.Millisecond

// setTimer requests a TimerFired message for the next time at which anything becomes due.
func (q *Query) setTimer(now time.Time) {
	if q.phase == phaseIdle {
		return
	}
	next := q.nextDue(now)
	if next.Equal(q.timer) {
		return
	}
	q.timer = next
	q.outbox.add(SetTimer{At: next})
}

// nextDue returns the next time after now at which the query has to act, at the latest its deadline.
func (q *Query) nextDue(now time.Time) time.Time {
	next := q.request.Deadline
	consider := func(t time.Time) {
		if t.After(now) && t.Before(next) {
			next = t
		}
	}
	if q.phase == phaseAskingOwners {
		consider(q.knowledge.deadline)
		return next
	}
	if q.canary.active && q.crashGuard.targetsLost == 0 {
		consider(q.canary.releaseAt)
	}
	hedging, stopping := q.mayHedge(), q.mayStopEarly()
	cutOffPossible := q.idempotent() && q.view.AnyUnreachable()
	for i := range q.shards {
		s := &q.shards[i]
		if !s.pending() {
			continue
		}
		consider(s.retryAt)
		if hedging && q.mayHedgeShard(s) {
			consider(s.hedgeAt)
		}
		if stopping {
			consider(q.overdueAt(s))
		}
		if cutOffPossible && q.cutOff(s) {
			consider(q.graceEnd(s))
		}
	}
	return next
}

// flushAfter returns how long owners collect results before they send them. Half of the hedge delay lets the results
// arrive before the query decides on hedges.
func (q *Query) flushAfter() time.Duration {
	return max(q.view.HedgeAfter(q.request.Key)/2, minFlushAfter)
}

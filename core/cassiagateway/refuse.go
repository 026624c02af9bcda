package cassiagateway

import "time"

const (
	// minRetryAfter and maxRetryAfter are the limits of Retry-After. A random time between them spreads callers that
	// were refused together.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Second
	// retryAfterShare is the largest share of the caller's remaining time that Retry-After takes up, since a caller
	// does not wait for more than a third of it before it repeats the request.
	retryAfterShare = 0.3
)

// refuse ends a query without an answer. For a route without fan-out, a failure answer of the target is passed on to
// the caller if there is one.
func (g *Gateway) refuse(now time.Time, q *query, reason RefusalReason) {
	begun := q.hasBegun()
	for _, s := range q.shards {
		for _, a := range s.running {
			q.trace.Unanswered++
			q.trace.UnansweredTarget = a.target.Name
		}
	}
	g.release(now, q)
	if q.trace.Attempts > 0 {
		g.observeLateness(now, q)
	}
	q.trace.Answered = q.answered
	answer := Answer{Trace: q.trace, Statements: q.statements}
	if !q.route.FansOut() && q.shards[0].failure != nil {
		answer.Reply = q.shards[0].failure
		g.emit(Finish{Query: q.id, Answer: answer})
		return
	}
	if q.unauthorized && (reason == RefusalFailed || reason == RefusalUnreachable) {
		reason = RefusalUnauthorized
	}
	if reason == RefusalFailed && q.overloaded {
		reason = RefusalOverloaded
	}
	if q.limited && (reason == RefusalOverloaded || reason == RefusalFailed) {
		reason = RefusalLimited
	}
	answer.Refusal = &Refusal{Reason: reason, NotRun: !q.mayHaveRun && !begun, RetryAfter: g.retryAfter(now, q)}
	if reason == RefusalLimited {
		answer.Refusal.RetryAfter = g.limitedRetryAfter(now, q)
	}
	g.emit(Finish{Query: q.id, Answer: answer})
}

// retryAfter returns how long a refused caller should wait: a random time, so that callers spread over the period in
// which they can still be served.
func (g *Gateway) retryAfter(now time.Time, q *query) time.Duration {
	longest := time.Duration(retryAfterShare * float64(q.deadline.Sub(now)))
	longest = min(max(longest, minRetryAfter), maxRetryAfter)
	return minRetryAfter + time.Duration(g.random.Float64()*float64(longest-minRetryAfter))
}

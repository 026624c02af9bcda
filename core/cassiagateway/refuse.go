package cassiagateway

import "time"

const (
	// Bounds of the time after which a refused caller may come back. The least spreads callers that were refused together;
	// the most is what a caller with a short deadline still has time for.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Second
	// retryAfterShare is the part of the caller's time left after which it may come back; callers do not wait for longer
	// than a third.
	retryAfterShare = 0.3
)

// refuse ends a request without an answer. A target's own failure is passed on if it is all there is.
func (g *Gateway) refuse(now time.Time, q *query, reason RefusalReason) {
	begun := false
	for _, s := range q.shards {
		for _, a := range s.running {
			begun = begun || a.begun
		}
	}
	g.release(now, q)
	if q.trace.Attempts > 0 {
		g.observeLateness(now, q)
	}
	q.trace.Answered = q.answered
	answer := Answer{Trace: q.trace}
	if !q.route.FansOut() && q.shards[0].failure != nil {
		answer.Reply = q.shards[0].failure
		g.emit(Finish{Query: q.id, Answer: answer})
		return
	}
	if reason == RefusalFailed && q.overloaded {
		reason = RefusalOverloaded
	}
	answer.Refusal = &Refusal{Reason: reason, NotRun: !q.mayHaveRun && !begun, RetryAfter: g.retryAfter(now, q)}
	g.emit(Finish{Query: q.id, Answer: answer})
}

// retryAfter returns when a refused caller should come back: spread over the time in which it still can be served.
func (g *Gateway) retryAfter(now time.Time, q *query) time.Duration {
	longest := time.Duration(retryAfterShare * float64(q.deadline.Sub(now)))
	longest = min(max(longest, minRetryAfter), maxRetryAfter)
	return minRetryAfter + time.Duration(g.random.Float64()*float64(longest-minRetryAfter))
}

package cassiaplan

import (
	"fmt"
	"time"
)

// refuse cancels the attempts in flight and finishes the query without rows.
func (q *Query) refuse(r Refusal) {
	q.cancelAll()
	q.finish(Finish{Refusal: &r})
}

// ranState returns whether any target ran the request, as far as is known.
func (q *Query) ranState() Ran {
	switch {
	case q.targetAnswered:
		return RanYes
	case q.mayHaveStarted():
		return RanUnknown
	default:
		return RanNo
	}
}

// incompleteRefusal returns the refusal of a query with too few merged shards.
func (q *Query) incompleteRefusal(pendingReason MissingReason) Refusal {
	coverage := q.coverage(pendingReason)
	ran := q.ranState()
	switch {
	case ran == RanNo && allMissingFor(coverage, MissingOverloaded):
		return Refusal{Kind: RefusalOverloaded, Ran: ran, RetryAfter: retryAfter,
			Message: "every target refused the request for load; retry later or add targets"}
	case ran == RanNo:
		return Refusal{Kind: RefusalNotRun, Ran: ran, RetryAfter: retryAfter,
			Message: "no target ran the request (" + summarizeReasons(coverage) + "); it is safe to retry"}
	case anyMissingFor(coverage, MissingAnswerTooBig):
		return Refusal{Kind: RefusalTooLarge, Ran: ran, Coverage: &coverage,
			Message: "the answer is larger than the front's maxAnswerBytes; narrow the request or raise the limit"}
	case !q.idempotent():
		return Refusal{Kind: RefusalOutcomeUnknown, Ran: ran, Coverage: &coverage,
			Message: "the request may have run (" + summarizeReasons(coverage) + "); look up its effect before sending it under a new key"}
	case q.merged == 0 && anyMissingFor(coverage, MissingLate):
		return Refusal{Kind: RefusalDeadlineExceeded, Ran: ran, RetryAfter: retryAfter,
			Message: "no shard answered before the deadline; retry, or raise the front's deadline"}
	default:
		return q.insufficientCoverage(coverage, ran)
	}
}

// insufficientCoverage returns the refusal for coverage below the front's minCoverage.
func (q *Query) insufficientCoverage(c Coverage, ran Ran) Refusal {
	return Refusal{Kind: RefusalInsufficientCoverage, Ran: ran, RetryAfter: retryAfter, Coverage: &c,
		Message: fmt.Sprintf("%d of %d shards answered and the front needs %d (%s); retry, or lower minCoverage",
			c.Answered, c.Asked, q.neededShards(), summarizeReasons(c))}
}

// refuseQuarantined refuses a query whose fingerprint is quarantined.
func (q *Query) refuseQuarantined(remaining time.Duration) {
	q.cancelAll()
	q.refuse(Refusal{Kind: RefusalQuarantined, Ran: q.ranState(), RetryAfter: remaining,
		Message: "targets were lost while they ran this request; do not send it again before the quarantine ends"})
}

// handleCallerGone abandons a query whose caller is gone, unless it is non-idempotent and may have run, so that its
// outcome must still be recorded.
func (q *Query) handleCallerGone() {
	if !q.idempotent() && q.mayHaveStarted() {
		return
	}
	q.cancelAll()
	q.refuse(Refusal{Kind: RefusalCallerGone, Ran: q.ranState(),
		Message: "the caller closed its connection before the answer; send the request again if it is still needed"})
}

// allMissingFor reports whether at least one shard is missing and every missing shard has the given reason.
func allMissingFor(c Coverage, reason MissingReason) bool {
	for _, m := range c.Missing {
		if m.Reason != reason {
			return false
		}
	}
	return len(c.Missing) > 0
}

// anyMissingFor reports whether any shard is missing for the given reason.
func anyMissingFor(c Coverage, reason MissingReason) bool {
	for _, m := range c.Missing {
		if m.Reason == reason {
			return true
		}
	}
	return false
}

// summarizeReasons returns the number of missing shards for each reason, as in "late: 2, overloaded: 1".
func summarizeReasons(c Coverage) string {
	counts := map[MissingReason]int{}
	var order []MissingReason
	for _, m := range c.Missing {
		if counts[m.Reason] == 0 {
			order = append(order, m.Reason)
		}
		counts[m.Reason]++
	}
	text := ""
	for i, r := range order {
		if i > 0 {
			text += ", "
		}
		text += fmt.Sprintf("%s: %d", r, counts[r])
	}
	return text
}

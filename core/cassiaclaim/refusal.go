package cassiaclaim

import (
	"time"

	"cassiasaddle/core/cassiaplan"
)

// minRetryAfter is the shortest RetryAfter of a refusal.
const minRetryAfter = time.Second

func refusedExpired(retention time.Duration) cassiaplan.Refusal {
	return cassiaplan.Refusal{Kind: cassiaplan.RefusalNotRun, Ran: cassiaplan.RanNo,
		Message: "the Idempotency-Key is older than the claim retention of " + retention.String() +
			", so this send was not run; look up what an earlier send did, then use a new key"}
}

func refusedAhead() cassiaplan.Refusal {
	return cassiaplan.Refusal{Kind: cassiaplan.RefusalNotRun, Ran: cassiaplan.RanNo,
		Message: "the Idempotency-Key carries a time too far in the future; set the caller's clock and use a new key"}
}

func refusedStore(retryAfter time.Duration) cassiaplan.Refusal {
	return cassiaplan.Refusal{Kind: cassiaplan.RefusalNotRun, Ran: cassiaplan.RanNo,
		RetryAfter: max(retryAfter, minRetryAfter),
		Message:    "the claim could not be written to the platform's key-value service; retry with the same key"}
}

func refusedLate() cassiaplan.Refusal {
	return cassiaplan.Refusal{Kind: cassiaplan.RefusalNotRun, Ran: cassiaplan.RanNo, RetryAfter: minRetryAfter,
		Message: "the deadline passed before the claim was written; retry with the same key"}
}

func refusedFull() cassiaplan.Refusal {
	return cassiaplan.Refusal{Kind: cassiaplan.RefusalOverloaded, Ran: cassiaplan.RanNo, RetryAfter: windowLength,
		Message: "too many claims at this time; retry with a new key"}
}

func refusedBody() cassiaplan.Refusal {
	return cassiaplan.Refusal{Kind: cassiaplan.RefusalBadRequest, Ran: cassiaplan.RanNo,
		Message: "the Idempotency-Key was used for a request with another body; use a new key for a new request"}
}

func refusedClaimed() cassiaplan.Refusal {
	return cassiaplan.Refusal{Kind: cassiaplan.RefusalOutcomeUnknown, Ran: cassiaplan.RanUnknown, RetryAfter: minRetryAfter,
		Message: "another send under this Idempotency-Key may have run; repeat with the same key to learn its outcome"}
}

func refusedFinished() cassiaplan.Refusal {
	return cassiaplan.Refusal{Kind: cassiaplan.RefusalOutcomeUnknown, Ran: cassiaplan.RanYes,
		Message: "an earlier send under this Idempotency-Key ran and its answer was not kept; look up its effect"}
}

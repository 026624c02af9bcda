package cassiaentry

import (
	"context"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaplan"
	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/io/cassiaclaimer"
	"cassiasaddle/io/cassiahttp"
)

// countPaused counts claims that were won too late to send their request.
const countPaused cassiaplan.Counter = "claimWonTooLate"

// Claims decides which send of a non-idempotent request may run.
type Claims interface {
	Claim(ctx context.Context, request cassiaclaimer.ClaimRequest) (*cassiaclaimer.Grant, *cassiaplan.Refusal)
}

// askOnce answers a non-idempotent question: it runs at most once, whatever VMs its repeats reach.
func (e *Entry) askOnce(ctx context.Context, question *cassiahttp.Question, fingerprint cassiaid.Fingerprint) ([]byte, *cassiaplan.Refusal) {
	grant, refusal := e.config.Claims.Claim(ctx, cassiaclaimer.ClaimRequest{
		Team: question.Key.Team, Front: question.Key.Front, Key: question.IdempotencyKey,
		BodyHash: uint64(fingerprint), Deadline: question.Deadline,
	})
	if refusal != nil {
		return nil, refusal
	}
	if answer, ok := grant.Remembered(); ok {
		return answer, nil
	}
	// The outcome is worth learning for repeats even when this caller leaves.
	ctx = context.WithoutCancel(ctx)
	if !grant.MayDispatch(e.config.Clock.Now()) {
		e.count(countPaused)
		grant.Finish(ctx, cassiaschema.ClaimOutcome_notStarted, nil)
		return nil, &cassiaplan.Refusal{
			Kind: cassiaplan.RefusalNotRun, Ran: cassiaplan.RanNo, RetryAfter: retryAfterLeaving,
			Message: "the deadline passed before the request could be sent; repeat it with the same Idempotency-Key",
		}
	}
	answer, refusal := e.answer(ctx, question, fingerprint, false, grant)
	switch {
	case refusal == nil:
		grant.Finish(ctx, cassiaschema.ClaimOutcome_finished, answer)
	case refusal.Ran == cassiaplan.RanNo:
		grant.Finish(ctx, cassiaschema.ClaimOutcome_notStarted, nil)
	case refusal.Ran == cassiaplan.RanYes:
		grant.Finish(ctx, cassiaschema.ClaimOutcome_finished, nil)
	}
	return answer, refusal
}

// mayDispatch tells whether a batch of the run may still leave this VM.
func (r *run) mayDispatch() bool {
	return r.grant == nil || r.grant.MayDispatch(r.entry.config.Clock.Now())
}

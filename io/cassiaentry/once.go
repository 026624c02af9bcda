package cassiaentry

import (
	"context"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaplan"
	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/io/cassiaclaimer"
	"cassiasaddle/io/cassiahttp"
)

// Claimer wins the right to run a non-idempotent request.
type Claimer interface {
	Claim(ctx context.Context, request cassiaclaimer.ClaimRequest) (*cassiaclaimer.Grant, *cassiaplan.Refusal)
}

// askOnce runs a non-idempotent question under a claim, or returns the remembered answer of an earlier send.
func (e *Entry) askOnce(ctx context.Context, question *cassiahttp.Question, fingerprint cassiaid.Fingerprint) ([]byte, *cassiaplan.Refusal) {
	grant, refusal := e.config.Claimer.Claim(ctx, cassiaclaimer.ClaimRequest{
		Team: question.Key.Team, Front: question.Key.Front, Key: question.IdempotencyKey,
		BodyHash: uint64(fingerprint), Deadline: question.Deadline,
	})
	if refusal != nil {
		return nil, refusal
	}
	if answer, ok := grant.Remembered(); ok {
		e.count("answerRemembered")
		return answer, nil
	}
	// A caller that goes away will repeat the request: it runs to its end, so that the repeat learns the outcome.
	ctx = context.WithoutCancel(ctx)
	answer, refusal := e.answer(ctx, question, fingerprint, false, grant)
	grant.Finish(ctx, outcomeOf(refusal), answer)
	return answer, refusal
}

// outcomeOf returns what a repeat of the request is to learn.
func outcomeOf(refusal *cassiaplan.Refusal) cassiaschema.ClaimOutcome {
	switch {
	case refusal == nil:
		return cassiaschema.ClaimOutcome_finished
	case refusal.Ran == cassiaplan.RanNo:
		return cassiaschema.ClaimOutcome_notStarted
	default:
		return cassiaschema.ClaimOutcome_unknown
	}
}

// mayDispatch tells whether a batch of the run may still leave this VM.
func (r *run) mayDispatch() bool {
	return r.grant == nil || r.grant.MayDispatch(r.entry.config.Clock.Now())
}

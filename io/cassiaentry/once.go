package cassiaentry

import (
	"context"
	"sync"
	"time"

	"cassiasaddle/core/cassiaclaim"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaplan"
	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/io/cassiaclaimer"
	"cassiasaddle/io/cassiahttp"
)

// countClaimTooLate counts claims that were granted too late to send their request.
const countClaimTooLate cassiaplan.Counter = "claimWonTooLate"

// countEarlierSend counts repeats refused because an earlier send may have run.
const countEarlierSend cassiaplan.Counter = "earlierSendFound"

// Claims decides which send of a non-idempotent request may run.
type Claims interface {
	Claim(ctx context.Context, request cassiaclaimer.ClaimRequest) (*cassiaclaimer.Grant, *cassiaplan.Refusal)
}

// queryNonIdempotent answers a non-idempotent request. The request runs at most once, whichever VMs its repeats reach.
func (e *Entry) queryNonIdempotent(ctx context.Context, request *cassiahttp.Request, fingerprint cassiaid.Fingerprint) ([]byte, *cassiaplan.Refusal) {
	grant, refusal := e.config.Claims.Claim(ctx, cassiaclaimer.ClaimRequest{
		Team: request.Key.Team, Front: request.Key.Front, Key: request.IdempotencyKey,
		BodyHash: uint64(fingerprint), Deadline: request.Deadline,
	})
	if refusal != nil {
		return nil, e.checkEarlierSend(ctx, request, refusal)
	}
	if answer, ok := grant.Remembered(); ok {
		return answer, nil
	}
	// The query continues when this caller disconnects, because repeats of the request need its outcome.
	ctx = context.WithoutCancel(ctx)
	if !grant.MayDispatch(e.config.Clock.Now()) {
		e.count(countClaimTooLate)
		grant.Finish(ctx, cassiaschema.ClaimOutcome_notStarted, nil)
		return nil, &cassiaplan.Refusal{
			Kind: cassiaplan.RefusalNotRun, Ran: cassiaplan.RanNo, RetryAfter: retryAfterNotRun,
			Message: "the deadline passed before the request could be sent; repeat it with the same Idempotency-Key",
		}
	}
	e.sentKeys.add(e.config.Clock.Now(), request)
	answer, refusal := e.answer(ctx, request, fingerprint, e.needsCanary(request, fingerprint), grant)
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

// mayDispatch reports whether a batch of the run may still be sent. It is always true for an idempotent request.
func (r *run) mayDispatch() bool {
	return r.grant == nil || r.grant.MayDispatch(r.entry.config.Clock.Now())
}

// Inquirer asks other VMs whether they have sent a request.
type Inquirer interface {
	// SentElsewhere reports whether another VM is known to have sent a request. scoped is the Scoped field of its
	// cassiaclaim.Key: the idempotency key with team and front.
	SentElsewhere(ctx context.Context, scoped string) bool
}

// checkEarlierSend turns a refusal that says "not run" into an unknown outcome when an earlier send of the request may
// have run. While the claims cannot be read, only the VMs that sent the request can report this.
func (e *Entry) checkEarlierSend(ctx context.Context, request *cassiahttp.Request, refusal *cassiaplan.Refusal) *cassiaplan.Refusal {
	key, err := claimKey(request)
	if refusal.Ran != cassiaplan.RanNo || refusal.Kind == cassiaplan.RefusalBadRequest || err != nil {
		return refusal
	}
	if !e.Sent(key.Scoped) && !e.config.Inquirer.SentElsewhere(ctx, key.Scoped) {
		return refusal
	}
	e.count(countEarlierSend)
	return &cassiaplan.Refusal{
		Kind: cassiaplan.RefusalOutcomeUnknown, Ran: cassiaplan.RanUnknown, RetryAfter: refusal.RetryAfter,
		Message: "an earlier send of this request left for a target, and its outcome can't be read now; repeat it with the same Idempotency-Key",
	}
}

// Sent reports whether this VM is known to have sent the request with a scoped idempotency key (Scoped of
// cassiaclaim.Key) within cassiaclaim.MaxRetention. False is not certain: when very many keys come, keys are forgotten
// earlier.
func (e *Entry) Sent(scoped string) bool { return e.sentKeys.has(e.config.Clock.Now(), scoped) }

func claimKey(request *cassiahttp.Request) (cassiaclaim.Key, error) {
	return cassiaclaim.ParseKey(request.Key, request.IdempotencyKey)
}

// sentKeys holds the idempotency keys of the requests that this VM sent. It is safe for concurrent use; its zero value
// is empty.
type sentKeys struct {
	mutex sync.Mutex
	keys  cassiaclaim.SentKeys
}

func (s *sentKeys) add(now time.Time, request *cassiahttp.Request) {
	key, err := claimKey(request)
	if err != nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.keys.Add(now, key)
}

func (s *sentKeys) has(now time.Time, scoped string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.keys.Has(now, scoped)
}

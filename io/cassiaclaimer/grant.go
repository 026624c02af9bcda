package cassiaclaimer

import (
	"context"
	"sync/atomic"
	"time"

	"cassiasaddle/core/cassiaclaim"
	"cassiasaddle/core/cassiaschema"
)

// Grant is the permission to run a request once or, for a repeat, the remembered answer of the send that ran it.
type Grant struct {
	claimer  *Claimer
	acquire  cassiaclaim.Acquire
	nonce    cassiaclaim.Nonce
	answer   []byte
	finished atomic.Bool
}

// Remembered returns the answer of an earlier send, if there is one; the request must not run again then.
func (g *Grant) Remembered() ([]byte, bool) { return g.answer, g.answer != nil }

// MayDispatch reports whether the request may still be sent to a target. Call it immediately before sending, since it
// turns false at the request's deadline.
func (g *Grant) MayDispatch(now time.Time) bool {
	// The monotonic clock may not advance while the VM is suspended, so compare the wall clock as well.
	inTime := now.Before(g.acquire.Deadline) && now.Round(0).Before(g.acquire.Deadline.Round(0))
	return inTime && g.answer == nil && !g.finished.Load()
}

// Finish records the outcome of the request for its repeats; only the first call has an effect. Pass notStarted only
// for a request that was never dispatched or that no target has started, because a repeat may run after it.
func (g *Grant) Finish(ctx context.Context, outcome cassiaschema.ClaimOutcome, answer []byte) {
	if g.answer != nil || g.finished.Swap(true) {
		return
	}
	g.claimer.post(ctx, cassiaclaim.RecordOutcome{Key: g.acquire.Key, BodyHash: g.acquire.BodyHash, Nonce: g.nonce,
		Outcome: outcome, Answer: answer})
}

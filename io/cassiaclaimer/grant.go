package cassiaclaimer

import (
	"context"
	"sync/atomic"
	"time"

	"cassiasaddle/core/cassiaclaim"
	"cassiasaddle/core/cassiaschema"
)

// Grant is the right to run a request once, or the remembered answer of the send that ran it.
type Grant struct {
	claimer  *Claimer
	ask      cassiaclaim.Ask
	nonce    cassiaclaim.Nonce
	answer   []byte
	finished atomic.Bool
}

// Remembered returns the answer of an earlier send; the request must not be run then.
func (g *Grant) Remembered() ([]byte, bool) { return g.answer, g.answer != nil }

// MayDispatch tells whether the request may still leave; ask it last before the bytes do.
func (g *Grant) MayDispatch(now time.Time) bool {
	// The wall clock counts time during which the VM was suspended, which the monotonic clock may not.
	inTime := now.Before(g.ask.Deadline) && now.Round(0).Before(g.ask.Deadline.Round(0))
	return inTime && g.answer == nil && !g.finished.Load()
}

// Finish records what became of the request, for repeats; only the first call counts. notStarted is only for a request
// that was never dispatched or that no target started: a repeat may run after it.
func (g *Grant) Finish(ctx context.Context, outcome cassiaschema.ClaimOutcome, answer []byte) {
	if g.answer != nil || g.finished.Swap(true) {
		return
	}
	g.claimer.post(ctx, cassiaclaim.Settle{Key: g.ask.Key, BodyHash: g.ask.BodyHash, Nonce: g.nonce,
		Outcome: outcome, Answer: answer})
}

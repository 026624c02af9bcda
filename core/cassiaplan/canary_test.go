package cassiaplan

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// beginUnproven starts a query that is not known to have been answered before and returns the effects of Begin.
func (w *world) beginUnproven(f cassiaid.Fingerprint) []Effect {
	request := Request{Front: w.front, ShardKey: testKey, Deadline: epochStart.Add(300 * time.Millisecond), Fingerprint: f, Unproven: true}
	w.query = NewQuery(request, w, &w.clock, rand.New(rand.NewPCG(1, 2)))
	return w.query.Update(Begin{})
}

// countAttempts returns the number of attempts sent.
func countAttempts(effects []Effect) int {
	n := 0
	for _, b := range effectsOf[SendBatch](effects) {
		n += len(b.Attempts)
	}
	return n
}

// crashed returns the result of an attempt whose target was lost while running it.
func crashed(b SendBatch, a Attempt) *cassiaschema.ShardResult {
	r := answer(b, a)
	r.Outcome, r.TargetLost, r.Rows = cassiaschema.ShardOutcome_failed, true, nil
	return r
}

func TestCanaryIsAnsweredBeforeTheOthersAreAsked(t *testing.T) {
	c := qt.New(t)
	w := newWorld(20)
	first := w.beginUnproven(7)
	c.Assert(countAttempts(first), qt.Equals, 1)
	rest := w.reply(first, answer)
	c.Assert(countAttempts(rest), qt.Equals, 19)
	c.Assert(finishOf(c, w.reply(rest, answer)).Answer.Coverage.Answered, qt.Equals, 20)
}

func TestCanaryBoundsTheTargetsLost(t *testing.T) {
	for _, retries := range []int{0, 1000} {
		c := qt.New(t)
		w := newWorld(20)
		w.retryBudget = retries
		lost := 0
		effects := w.beginUnproven(7)
		for len(effectsOf[SendBatch](effects)) > 0 {
			lost += countAttempts(effects)
			effects = w.reply(effects, crashed)
		}
		c.Assert(lost, qt.Equals, 2)
		c.Assert(finishOf(c, effects).Refusal.Ran, qt.Equals, RanUnknown)
	}
}

func TestCanaryThatLosesItsTargetClearsByItsRetry(t *testing.T) {
	c := qt.New(t)
	w := newWorld(20)
	again := w.reply(w.beginUnproven(7), crashed)
	c.Assert(countAttempts(again), qt.Equals, 1)
	rest := w.reply(again, answer)
	c.Assert(countAttempts(rest), qt.Equals, 19)
	c.Assert(finishOf(c, w.reply(rest, answer)).Answer.Coverage.Answered, qt.Equals, 20)
}

func TestLateCanaryDoesNotHoldTheOthersBack(t *testing.T) {
	c := qt.New(t)
	w := newWorld(20)
	w.hedgeBudget = 0
	w.beginUnproven(7)
	rest := w.at(w.hedgeAfter + crashDetectionDelay)
	c.Assert(counted(rest, CountCanaryLate), qt.Equals, 1)
	c.Assert(countAttempts(rest), qt.Equals, 19)
}

func TestRefusedCanaryIsTriedElsewhere(t *testing.T) {
	c := qt.New(t)
	w := newWorld(20)
	w.retryBudget = 0
	overloaded := func(b SendBatch, a Attempt) *cassiaschema.ShardResult {
		return refused(b, a, cassiaschema.ShardOutcome_overloaded)
	}
	sameShard := w.reply(w.beginUnproven(7), overloaded)
	c.Assert(countAttempts(sameShard), qt.Equals, 1)
	nextShard := w.reply(sameShard, overloaded)
	c.Assert(countAttempts(nextShard), qt.Equals, 1)
	c.Assert(countAttempts(w.reply(nextShard, answer)), qt.Equals, 18)
}

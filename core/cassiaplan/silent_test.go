package cassiaplan

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// TestSilentOwnerIsPassedOver checks that shards which wait for a silent owner are asked through other owners although
// the hedge budget is empty.
func TestSilentOwnerIsPassedOver(t *testing.T) {
	c := qt.New(t)
	w := newWorld(12)
	w.hedgeBudget, w.retryBudget = 0, 0
	first := w.begin()
	silent := effectsOf[SendBatch](first)[0]
	rest := w.reply(first, func(b SendBatch, a Attempt) *cassiaschema.ShardResult {
		if b.Owner == silent.Owner {
			return nil
		}
		return answer(b, a)
	})
	c.Assert(effectsOf[Finish](rest), qt.HasLen, 0)
	w.clock.now = epochStart.Add(50 * time.Millisecond)
	again := w.query.Update(OwnerSilent{Owner: silent.Owner})
	c.Assert(counted(again, CountHedgeOwnerSilent), qt.Equals, len(silent.Attempts))
	for _, b := range effectsOf[SendBatch](again) {
		c.Assert(b.Owner, qt.Not(qt.Equals), silent.Owner)
	}
	f := finishOf(c, w.reply(again, answer))
	c.Assert(f.Answer.Coverage.Answered, qt.Equals, 12)
}

// TestSilentOwnerOfNonIdempotentIsWaitedFor checks that a non-idempotent request gets no second attempt.
func TestSilentOwnerOfNonIdempotentIsWaitedFor(t *testing.T) {
	c := qt.New(t)
	w := newWorld(4)
	w.front.Kind = cassiaschema.RequestKind_nonIdempotent
	first := w.begin()
	again := w.query.Update(OwnerSilent{Owner: effectsOf[SendBatch](first)[0].Owner})
	c.Assert(effectsOf[SendBatch](again), qt.HasLen, 0)
}

// TestSilentOwnerIsPassedOverOnce checks that repeated silence of one owner allows no further attempt for a shard.
func TestSilentOwnerIsPassedOverOnce(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1)
	w.hedgeBudget, w.retryBudget = 0, 0
	silent := effectsOf[SendBatch](w.begin())[0]
	w.clock.now = epochStart.Add(50 * time.Millisecond)
	again := w.query.Update(OwnerSilent{Owner: silent.Owner})
	c.Assert(effectsOf[SendBatch](again), qt.HasLen, 1)
	w.reply(again, func(b SendBatch, a Attempt) *cassiaschema.ShardResult {
		r := refused(b, a, cassiaschema.ShardOutcome_failed)
		r.Started = true
		return r
	})
	c.Assert(effectsOf[SendBatch](w.query.Update(OwnerSilent{Owner: silent.Owner})), qt.HasLen, 0)
}

// TestEachSilentOwnerIsPassedOver checks that further owners are asked as long as each one is silent, until none is
// left.
func TestEachSilentOwnerIsPassedOver(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1)
	w.hedgeBudget, w.retryBudget = 0, 0
	asked := map[cassiaid.VMName]bool{}
	step := w.begin()
	for i := range 4 {
		sends := effectsOf[SendBatch](step)
		c.Assert(sends, qt.HasLen, 1)
		c.Assert(asked[sends[0].Owner], qt.IsFalse)
		asked[sends[0].Owner] = true
		w.clock.now = epochStart.Add(time.Duration(i+1) * 50 * time.Millisecond)
		step = w.query.Update(OwnerSilent{Owner: sends[0].Owner})
	}
	c.Assert(effectsOf[SendBatch](step), qt.HasLen, 0)
}

// TestSilentOwnersOfAttemptAndHedgeArePassedOver checks that a shard is asked through a third owner when both its first
// attempt and its hedge are at silent owners.
func TestSilentOwnersOfAttemptAndHedgeArePassedOver(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1)
	first := effectsOf[SendBatch](w.begin())[0]
	hedge := effectsOf[SendBatch](w.at(20 * time.Millisecond))[0]
	c.Assert(effectsOf[SendBatch](w.query.Update(OwnerSilent{Owner: first.Owner})), qt.HasLen, 0)
	c.Assert(effectsOf[SendBatch](w.query.Update(OwnerSilent{Owner: hedge.Owner})), qt.HasLen, 1)
}

package cassiaplan

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"cassiasaddle/core/cassiaid"
)

// lose reports the owner of a batch as lost after the batch was sent.
func (w *world) lose(b SendBatch) []Effect {
	m := OwnerLost{Owner: b.Owner, Sent: true}
	for _, a := range b.Attempts {
		m.Attempts = append(m.Attempts, a.ID)
	}
	return w.query.Update(m)
}

// TestLostOwnerPaysForOneRetry checks that the shards of a lost owner are asked once through other owners although the
// retry budget is empty, and that a second lost owner allows no further retry.
func TestLostOwnerPaysForOneRetry(t *testing.T) {
	c := qt.New(t)
	w := newWorld(12)
	w.retryBudget = 0
	lost := effectsOf[SendBatch](w.begin())[0]
	again := effectsOf[SendBatch](w.lose(lost))
	asked := map[cassiaid.ShardIndex]bool{}
	for _, b := range again {
		c.Assert(b.Owner, qt.Not(qt.Equals), lost.Owner)
		for _, a := range b.Attempts {
			asked[a.Shard] = true
		}
	}
	c.Assert(asked, qt.HasLen, len(lost.Attempts))
	for _, b := range again {
		effects := w.lose(b)
		c.Assert(effectsOf[SendBatch](effects), qt.HasLen, 0)
		c.Assert(counted(effects, CountRetryDenied), qt.Equals, len(b.Attempts))
	}
}

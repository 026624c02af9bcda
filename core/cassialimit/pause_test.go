package cassialimit

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cassiasaddle/core/cassiaschema"
)

// TestPausedTargetGetsNoAttempts guards against attempts that start during the pause that a target has asked for, that wait for its end
// while another replica could serve them, and against a rush at its end.
func TestPausedTargetGetsNoAttempts(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClockAt(origin)
	l := NewLimiter(clock, Bounds{Concurrency: 4})
	l.Update(offerAt(clock, 1, time.Second))
	l.Update(offerAt(clock, 2, time.Second))
	until := clock.Now().Add(3 * time.Second)
	c.Check(withoutWakeAt(l.Update(Pause{Until: until})), qt.DeepEquals, []Effect{Refuse{ID: 2, Reason: ReasonOverloaded}})
	c.Check(withoutWakeAt(l.Update(Done{ID: 1, Outcome: cassiaschema.ShardOutcome_answered, Elapsed: time.Millisecond})), qt.HasLen, 0)
	c.Check(withoutWakeAt(l.Update(offerAt(clock, 3, 9*time.Second))), qt.DeepEquals, []Effect{Refuse{ID: 3, Reason: ReasonOverloaded}})
	clock.Advance(until.Sub(clock.Now()) - maxRateWait)
	waiting := l.Update(offerAt(clock, 4, time.Second))
	c.Assert(waiting, qt.HasLen, 1)
	c.Check(waiting[0], qt.Equals, Effect(WakeAt{Time: until}))
	l.Update(offerAt(clock, 5, time.Second))
	clock.Advance(maxRateWait)
	c.Check(withoutWakeAt(l.Update(Tick{})), qt.DeepEquals, []Effect{Start{ID: 4}})
}

// TestLostTargetEndsItsPause guards against a target that stays out of use after another process has taken its place.
func TestLostTargetEndsItsPause(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClockAt(origin)
	l := NewLimiter(clock, Bounds{})
	l.Update(Pause{Until: clock.Now().Add(time.Hour)})
	l.Update(Lost{})
	c.Check(withoutWakeAt(l.Update(offerAt(clock, 1, time.Second))), qt.DeepEquals, []Effect{Start{ID: 1}})
	l.Update(Done{ID: 1, Outcome: cassiaschema.ShardOutcome_answered, Elapsed: time.Millisecond})
	// Another front has lost the target meanwhile.
	l.Update(Pause{Until: clock.Now().Add(time.Hour)})
	l.Update(Pause{})
	c.Check(withoutWakeAt(l.Update(offerAt(clock, 2, time.Second))), qt.DeepEquals, []Effect{Start{ID: 2}})
}

package cassiapause

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
)

// beats advances the clock in steps of BeatInterval, with a Beat after each.
func beats(clock *clockwork.FakeClock, d *Detector, number int) (asked int) {
	for range number {
		clock.Advance(BeatInterval)
		if d.Update(Beat{}) != nil {
			asked++
		}
	}
	return asked
}

func TestVMWaitsForNewsAfterAPause(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	d := NewDetector(clock)
	c.Assert(beats(clock, d, 50), qt.Equals, 0)
	c.Check(d.WaitUntil().IsZero(), qt.IsTrue)
	askedBefore := clock.Now()
	clock.Advance(4 * time.Second)
	c.Assert(d.Update(Beat{}), qt.Equals, Effect(Ask{Paused: 4 * time.Second}))
	c.Check(d.WaitUntil(), qt.Equals, clock.Now().Add(maxWait))
	// What was asked before or during the pause may have been answered before its end.
	c.Check(d.Update(Learned{AskedAt: askedBefore}), qt.IsNil)
	c.Check(d.WaitUntil().IsZero(), qt.IsFalse)
	askedAfter := clock.Now()
	clock.Advance(10 * time.Millisecond)
	c.Check(d.Update(Learned{AskedAt: askedAfter}), qt.Equals, Effect(Proceed{}))
	c.Check(d.WaitUntil().IsZero(), qt.IsTrue)
}

// TestVMWithoutNewsGoesOn guards against a VM that serves nobody because the store is out of reach.
func TestVMWithoutNewsGoesOn(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	d := NewDetector(clock)
	clock.Advance(2 * time.Second)
	d.Update(Beat{})
	c.Assert(d.WaitUntil().IsZero(), qt.IsFalse)
	clock.Advance(maxWait)
	c.Check(d.WaitUntil().IsZero(), qt.IsTrue)
}

package cassiadirectory

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
)

func registration(startUnixMillis, sequence int64, state State) Registration {
	return Registration{Target: "t", Service: "s", Address: "10.0.0.1:80", Slots: 2, State: state, StartUnixMillis: startUnixMillis, Sequence: sequence}
}

func TestDrainingTargetGetsNothing(t *testing.T) {
	c := qt.New(t)
	d := NewDirectory(clockwork.NewFakeClock())
	d.Update(Registered{registration(1, 1, StateReady)})
	c.Assert(d.Targets(), qt.HasLen, 1)
	d.Update(Registered{registration(1, 3, StateDraining)})
	c.Check(d.Targets(), qt.HasLen, 0)
	d.Update(Registered{registration(1, 2, StateReady)})
	c.Check(d.Targets(), qt.HasLen, 0, qt.Commentf("an older entry that arrives late changes nothing"))
}

func TestRestartUnderTheSameName(t *testing.T) {
	c := qt.New(t)
	d := NewDirectory(clockwork.NewFakeClock())
	d.Update(Registered{registration(5, 9, StateDraining)})
	d.Update(Registered{registration(6, 1, StateReady)})
	c.Assert(d.Targets(), qt.HasLen, 1)
	d.Update(Registered{registration(5, 10, StateDraining)})
	c.Check(d.Targets(), qt.HasLen, 1)
}

func TestRemovedTargetIsUsedUntilItCountsAsGone(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	d := NewDirectory(clock)
	d.Update(Registered{registration(1, 1, StateReady)})
	c.Assert(d.Update(Removed{"t"}), qt.IsTrue)
	c.Assert(d.Targets(), qt.HasLen, 1)
	c.Check(d.Targets()[0].Unregistered, qt.IsTrue)
	c.Check(d.WakeAt(), qt.Equals, clock.Now().Add(removedGrace))
	clock.Advance(removedGrace)
	c.Check(d.Update(Tick{}), qt.IsTrue)
	c.Check(d.Targets(), qt.HasLen, 0)
	d.Update(Registered{registration(1, 1, StateReady)})
	c.Check(d.Targets(), qt.HasLen, 1, qt.Commentf("the target registered again"))
}

// TestEntriesThatLapsedWhileTheStoreWasAway checks that an empty list right after the store's return removes no target
// before it has had time to register again: its entry lapsed because the target could not renew it during the outage.
func TestEntriesThatLapsedWhileTheStoreWasAway(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	d := NewDirectory(clock)
	d.Update(Registered{registration(1, 1, StateReady)})
	d.Update(StoreLost{})
	d.Update(Removed{"t"})
	clock.Advance(10 * time.Second)
	d.Update(Tick{})
	c.Assert(d.Targets(), qt.HasLen, 1)
	d.Update(StoreRegained{})
	d.Update(Listed{})
	clock.Advance(storeReturnGrace - time.Millisecond)
	c.Check(d.Targets(), qt.HasLen, 1)
	clock.Advance(time.Millisecond)
	c.Check(d.Targets(), qt.HasLen, 0, qt.Commentf("a target that has not registered again within storeReturnGrace is gone"))
}

// TestTargetThatWasGoneBeforeAnOutageStaysGone guards against targets that were removed long ago being used again after one failed call of
// the store.
func TestTargetThatWasGoneBeforeAnOutageStaysGone(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	d := NewDirectory(clock)
	d.Update(Registered{registration(1, 1, StateReady)})
	d.Update(Removed{"t"})
	clock.Advance(removedGrace)
	c.Assert(d.Targets(), qt.HasLen, 0)
	for range 2 {
		d.Update(StoreLost{})
		c.Check(d.Targets(), qt.HasLen, 0, qt.Commentf("while the store is away"))
		d.Update(StoreLost{})
		d.Update(StoreRegained{})
		c.Check(d.Targets(), qt.HasLen, 0, qt.Commentf("after its return"))
		d.Update(Listed{})
		c.Check(d.Targets(), qt.HasLen, 0)
	}
	d.Update(Registered{registration(2, 1, StateReady)})
	c.Check(d.Targets(), qt.HasLen, 1)
}

func TestWithdrawnTargetGetsNothing(t *testing.T) {
	c := qt.New(t)
	d := NewDirectory(clockwork.NewFakeClock())
	d.Update(Registered{registration(1, 1, StateReady)})
	c.Check(d.Update(Withdrawn{"t"}), qt.IsTrue)
	c.Check(d.Targets(), qt.HasLen, 0)
}

// TestTargetThatAListLacksIsGone checks that a target that is missing from a list gets no grace period: it may have left
// long before the list was read.
func TestTargetThatAListLacksIsGone(t *testing.T) {
	c := qt.New(t)
	d := NewDirectory(clockwork.NewFakeClock())
	d.Update(Registered{registration(1, 1, StateReady)})
	c.Check(d.Update(Listed{}), qt.IsTrue)
	c.Check(d.Targets(), qt.HasLen, 0)
}

package cassiaentry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaroute"
)

// TestSilenceIsToldTwice checks that an owner which sends nothing after a single batch is reported twice, and that a
// reply ends both the reports and the unreachable state.
func TestSilenceIsToldTwice(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	overdue := func(s *silenceTracker, after time.Duration) int { return len(s.overdue(now.Add(after))) }
	var s silenceTracker
	s.expectReply("vm", now)
	s.expectReply("vm", now.Add(time.Hour))
	c.Assert(overdue(&s, 0), qt.Equals, 0)
	c.Assert(overdue(&s, time.Millisecond), qt.Equals, 1)
	c.Assert(overdue(&s, silenceGrace), qt.Equals, 0)
	c.Assert(overdue(&s, silenceGrace+2*time.Millisecond), qt.Equals, 1)
	c.Assert(overdue(&s, time.Hour), qt.Equals, 0)

	const vm cassiaid.VMName = "vm"
	c.Assert(s.clear(vm), qt.IsFalse)
	s.markUnreachable(vm)
	s.expectReply(vm, now)
	c.Assert(s.clear(vm), qt.IsTrue)
	c.Assert(s.clear(vm), qt.IsFalse)
	c.Assert(overdue(&s, time.Hour), qt.Equals, 0)
}

// TestLastingSilenceMakesAnOwnerUnreachable checks that the two reports about a silent owner mark it as unreachable:
// the times that they carry are at least cassiaroute.OwnerUnreachableAfter apart, even if the first report takes
// longer to reach the routing table than the second.
func TestLastingSilenceMakesAnOwnerUnreachable(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	table := cassiaroute.NewTable("vm0", "z0", clock)
	var s silenceTracker
	s.expectReply("vm", clock.Now())
	for _, delay := range []time.Duration{time.Millisecond, 0} {
		clock.Advance(silenceGrace + time.Nanosecond)
		foundAt := clock.Now()
		c.Assert(s.overdue(foundAt), qt.DeepEquals, []cassiaid.VMName{"vm"})
		c.Assert(table.Unreachable("vm"), qt.IsFalse)
		clock.Advance(delay)
		table.Update(cassiaroute.OwnerUnreachable{Owner: "vm", At: foundAt})
		clock.Advance(-delay)
	}
	c.Assert(table.Unreachable("vm"), qt.IsTrue)
}

package cassiafitness

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const ms = time.Millisecond

// newTrainedMonitor returns a monitor that has seen minSamples attempts of the route search take 10 ms each.
func newTrainedMonitor(now time.Time) *Monitor {
	m := &Monitor{}
	for range minSamples {
		a := m.Begin(now, "other", "search", false)
		m.End(now.Add(10*ms), a, Answered)
	}
	return m
}

// TestStalledTargetTakesOnlyForcedAttempts: while an attempt runs longer than its stall limit, its target gets only forced
// attempts; it gets all attempts again once that one has ended.
func TestStalledTargetTakesOnlyForcedAttempts(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	m := newTrainedMonitor(now)
	first := m.Begin(now, "t", "search", false)
	c.Assert(first, qt.Not(qt.IsNil))
	second := m.Begin(now.Add(20*ms), "t", "search", false)
	c.Assert(second, qt.Not(qt.IsNil))
	c.Check(m.Begin(now.Add(40*ms), "t", "search", false), qt.IsNil)
	c.Check(m.Begin(now.Add(40*ms), "u", "search", false), qt.Not(qt.IsNil))
	forced := m.Begin(now.Add(40*ms), "t", "search", true)
	c.Check(forced, qt.Not(qt.IsNil))
	m.End(now.Add(45*ms), first, Answered)
	m.End(now.Add(45*ms), second, Answered)
	c.Check(m.Begin(now.Add(45*ms), "t", "search", false), qt.Not(qt.IsNil))
}

// TestUnknownRouteStallsNothing: attempts of a route without enough samples never make a target stalled, however long they run.
func TestUnknownRouteStallsNothing(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	m := newTrainedMonitor(now)
	m.Begin(now, "t", "unknown", false)
	c.Check(m.Begin(now.Add(time.Second), "t", "search", false), qt.Not(qt.IsNil))
}

// TestFailingTargetIsTriedAgain: a target that fails every other attempt is declined most of the time, one that fails one in a
// hundred never, and after three half-lives without attempts a failing target is tried again.
func TestFailingTargetIsTriedAgain(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	m := &Monitor{}
	runAttempts := func(every int) (declined int) {
		for i := range 100 {
			now = now.Add(10 * ms)
			a := m.Begin(now, "t", "search", false)
			if a == nil {
				declined++
				continue
			}
			result := Answered
			if i%every == 0 {
				result = Failed
			}
			m.End(now, a, result)
		}
		return declined
	}
	c.Check(runAttempts(100), qt.Equals, 0)
	c.Check(runAttempts(2) > 50, qt.IsTrue)
	c.Check(m.Begin(now.Add(3*failureHalfLife), "t", "search", false), qt.Not(qt.IsNil))
}

// TestAttemptsThatTellNothing: attempts that end for reasons unrelated to the target do not make it unfit.
func TestAttemptsThatTellNothing(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	m := &Monitor{}
	for range 100 {
		a := m.Begin(now, "t", "search", false)
		c.Assert(a, qt.Not(qt.IsNil))
		m.End(now, a, Unknown)
	}
	c.Check(m.targets, qt.HasLen, 0)
}

// TestEndedAttemptsAreForgotten: no state is kept for a target without attempts, and the number of routes is bounded.
func TestEndedAttemptsAreForgotten(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	m := &Monitor{}
	for i := range 3 * maxRoutes {
		a := m.Begin(now, "t", string(rune('a'+i)), false)
		m.End(now, a, Answered)
	}
	c.Check(m.targets, qt.HasLen, 0)
	c.Check(len(m.routes) <= maxRoutes, qt.IsTrue)
}

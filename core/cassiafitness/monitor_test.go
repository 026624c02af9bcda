package cassiafitness

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const ms = time.Millisecond

// learned returns a monitor that has seen a route's attempts take 10 ms.
func newTrainedMonitor(now time.Time) *Monitor {
	m := &Monitor{}
	for range minSamples {
		a := m.Begin(now, "other", "search", false)
		m.End(now.Add(10*ms), a, Answered)
	}
	return m
}

// TestStalledTargetTakesOnlyForcedAttempts: while an attempt takes much longer than usual, its target takes no others unless they
// are forced, and all again once it has ended.
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

// TestUnknownRouteStallsNothing: a route whose usual duration is not known tells nothing, however long its attempts take.
func TestUnknownRouteStallsNothing(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	m := newTrainedMonitor(now)
	m.Begin(now, "t", "unknown", false)
	c.Check(m.Begin(now.Add(time.Second), "t", "search", false), qt.Not(qt.IsNil))
}

// TestFailingTargetIsTriedAgain: a target that loses two answers in five is unfit, one that loses one in a hundred is not, and
// nothing is held against a target for long.
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

// TestAttemptsThatTellNothing: what ends for other reasons than the target's is not held against it.
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

// TestEndedAttemptsAreForgotten: nothing is left of targets without attempts, and routes are bounded.
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

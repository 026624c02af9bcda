package cassiagateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiasaddle/core/cassiaavailability"
	"cassiasaddle/core/cassiabudget"
	"cassiasaddle/core/cassiacatalog"
	"cassiasaddle/core/cassiadirectory"
	"cassiasaddle/core/cassiaid"
)

// state has targets make a statement, which this VM hears with its next requests.
func (w *limitedWorld) state(s cassiaavailability.Statement, targets ...cassiaid.TargetName) {
	for _, t := range targets {
		w.statements[t] = s
	}
	for range 6 {
		w.request(w.search)
		w.request(w.one)
	}
	clear(w.sent)
}

// relist replaces the list of targets by one of targets that started at a time.
func (w *limitedWorld) relist(startUnixMillis int64, targets ...cassiaid.TargetName) {
	var list []cassiadirectory.Target
	for _, t := range targets {
		list = append(list, cassiadirectory.Target{Name: t, Service: serviceName(0), Zone: "a", Slots: 2, StartUnixMillis: startUnixMillis})
	}
	w.gateway.Update(TargetsChanged{Targets: list})
}

// TestLeavingTargetGetsNoMoreRequests guards against targets that leave and go on receiving requests since their registrations do not
// say so, or since the list of targets goes back to an earlier state.
func TestLeavingTargetGetsNoMoreRequests(t *testing.T) {
	c := qt.New(t)
	w := newLimitedWorld(1)
	leaving, other := targetName(0, 0), targetName(0, 1)
	w.relist(5, leaving, other)
	w.state(cassiaavailability.Statement{Leaving: true}, leaving)
	w.statements[leaving] = cassiaavailability.Statement{}
	for _, list := range []func(){
		func() {},
		func() { w.relist(5, other); w.relist(5, leaving, other) },
		func() { w.relist(3, leaving, other) },
		func() { w.clock.Advance(time.Hour); w.relist(5, leaving, other) },
	} {
		list()
		for range 20 {
			c.Assert(w.request(w.one).Reply, qt.IsNotNil)
		}
		c.Check(w.sent[leaving], qt.Equals, 0)
	}
	w.relist(6, leaving, other)
	for range 20 {
		w.request(w.one)
	}
	c.Check(w.sent[leaving] > 0, qt.IsTrue, qt.Commentf("a new process of the target is not used"))
}

// TestQueryIsRefusedAtOnceWhenAllTargetsLeave guards against requests that are held until their deadline while no target may be used,
// and against a VM that takes itself out of use for what other VMs can't serve either.
func TestQueryIsRefusedAtOnceWhenAllTargetsLeave(t *testing.T) {
	c := qt.New(t)
	w := newLimitedWorld(2)
	w.state(cassiaavailability.Statement{Leaving: true}, targetName(0, 0), targetName(0, 1))
	begun := w.clock.Now()
	refusal := w.request(w.one).Refusal
	c.Assert(refusal, qt.IsNotNil)
	c.Check(refusal.NotRun, qt.IsTrue)
	c.Check(w.clock.Since(begun), qt.Equals, time.Duration(0))
	c.Check(w.request(w.search).Merged.Missing, qt.Equals, 1)
	c.Check(w.gateway.CanServe(), qt.IsTrue)
}

// TestPausedTargetGetsNoRequests guards against requests to a target during the pause that it has asked for, and against a rush at its
// end.
func TestPausedTargetGetsNoRequests(t *testing.T) {
	c := qt.New(t)
	w := newLimitedWorld(1)
	paused := targetName(0, 0)
	w.state(cassiaavailability.Statement{Pause: 3 * time.Second}, paused)
	w.statements[paused] = cassiaavailability.Statement{}
	t0 := w.gateway.targets[paused]
	c.Check(t0.failureRate, qt.Equals, 0.0)
	c.Check(t0.ejected(), qt.IsFalse)
	end := t0.pausedUntil
	for w.clock.Now().Add(2 * limitedWork).Before(end) {
		c.Assert(w.request(w.one).Reply, qt.IsNotNil)
	}
	c.Check(w.sent[paused], qt.Equals, 0)
	w.clock.Advance(end.Sub(w.clock.Now()))
	c.Check(t0.service.concurrency(t0, 1), qt.Equals, 1)
	for range 20 {
		c.Assert(w.request(w.one).Reply, qt.IsNotNil)
	}
	c.Check(w.sent[paused] > 0, qt.IsTrue)
	c.Check(t0.service.concurrency(t0, 1) > 1, qt.IsTrue)
}

// TestQueriesAreRefusedAtOnceWhileAllTargetsPause guards against queries that wait until their deadline for targets that want none, and
// against a Retry-After that brings callers back before the first pause ends.
func TestQueriesAreRefusedAtOnceWhileAllTargetsPause(t *testing.T) {
	c := qt.New(t)
	w := newLimitedWorld(2)
	w.state(cassiaavailability.Statement{Pause: 6 * time.Second}, targetName(0, 0), targetName(1, 0))
	w.state(cassiaavailability.Statement{Pause: 5 * time.Second}, targetName(0, 1), targetName(1, 1))
	clear(w.statements)
	first := w.gateway.targets[targetName(0, 1)].pausedUntil
	for _, route := range []*cassiacatalog.Route{w.one, w.search} {
		var returns []time.Time
		for range 20 {
			begun := w.clock.Now()
			answer := w.request(route)
			c.Assert(answer.Refusal, qt.IsNotNil)
			c.Assert(answer.Refusal.NotRun, qt.IsTrue)
			c.Assert(w.clock.Since(begun), qt.Equals, time.Duration(0))
			returns = append(returns, begun.Add(answer.Refusal.RetryAfter))
		}
		c.Check(returns[0].Before(first), qt.IsFalse, qt.Commentf("%v before the end of the pause", first.Sub(returns[0])))
		c.Check(returns[len(returns)-1].After(returns[0]), qt.IsTrue, qt.Commentf("all callers return at the same time"))
	}
	c.Check(w.sent, qt.HasLen, 0)
	w.clock.Advance(first.Sub(w.clock.Now()))
	c.Check(w.request(w.one).Reply, qt.IsNotNil)
}

// TestWaitingQueryIsServedWhenAPauseEnds guards against a query that may wait for the end of a pause and is not sent then.
func TestWaitingQueryIsServedWhenAPauseEnds(t *testing.T) {
	c := qt.New(t)
	w := newLimitedWorld(1)
	w.state(cassiaavailability.Statement{Pause: 60 * time.Millisecond}, targetName(0, 0), targetName(0, 1))
	clear(w.statements)
	effects := w.gateway.Update(Arrived{Query: 1 << 30, Route: w.one, Deadline: w.clock.Now().Add(2 * time.Second)})
	c.Assert(effectsOf[Send](effects), qt.HasLen, 0)
	c.Assert(effectsOf[Finish](effects), qt.HasLen, 0)
	end := w.gateway.targets[targetName(0, 0)].pausedUntil
	for w.clock.Now().Before(end) {
		wakes := effectsOf[WakeAt](effects)
		c.Assert(wakes, qt.HasLen, 1)
		c.Assert(wakes[0].Time.After(end), qt.IsFalse)
		w.clock.Advance(wakes[0].Time.Sub(w.clock.Now()))
		effects = w.gateway.Update(Tick{})
	}
	c.Check(effectsOf[Send](effects), qt.HasLen, 1)
}

// TestUnwantedAttemptGoesToAnotherTarget guards against a target that counts as failing since another VM has not sent it a request,
// and against a retry budget that is charged for that.
func TestUnwantedAttemptGoesToAnotherTarget(t *testing.T) {
	c := qt.New(t)
	w := newLimitedWorld(1)
	w.gateway.settings.ExtraRequests = cassiabudget.Allowance{}
	effects := w.gateway.Update(Arrived{Query: 1 << 30, Route: w.one, Deadline: w.clock.Now().Add(2 * time.Second)})
	send := effectsOf[Send](effects)[0]
	effects = w.gateway.Update(AttemptEnded{Attempt: send.Attempt, Outcome: OutcomeUnwanted, Statement: cassiaavailability.Statement{Leaving: true}})
	again := effectsOf[Send](effects)
	c.Assert(again, qt.HasLen, 1)
	c.Check(again[0].Target, qt.Not(qt.Equals), send.Target)
	c.Check(w.gateway.targets[send.Target].failureRate, qt.Equals, 0.0)
	c.Check(w.gateway.targets[send.Target].leaving, qt.IsTrue)
}

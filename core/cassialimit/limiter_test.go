package cassialimit

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"cassiasaddle/core/cassiabudget"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"

	_ "cassiasaddle/test/cassiaseed"
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func offerAt(clock clockwork.Clock, id cassiaid.AttemptID, after time.Duration) Offer {
	return Offer{ID: id, Deadline: clock.Now().Add(after)}
}

// withoutWakeAt removes the WakeAt effects.
func withoutWakeAt(effects []Effect) []Effect {
	return slices.DeleteFunc(effects, func(e Effect) bool { _, ok := e.(WakeAt); return ok })
}

func TestLimiterStartsOneAndQueuesTheRest(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClockAt(origin)
	l := NewLimiter(clock, Bounds{Concurrency: 4})
	c.Assert(withoutWakeAt(l.Update(offerAt(clock, 1, time.Second))), qt.DeepEquals, []Effect{Start{ID: 1}})
	c.Assert(withoutWakeAt(l.Update(offerAt(clock, 2, time.Second))), qt.HasLen, 0)
	done := Done{ID: 1, Outcome: cassiaschema.ShardOutcome_answered, Elapsed: time.Millisecond}
	c.Assert(withoutWakeAt(l.Update(done)), qt.DeepEquals, []Effect{Start{ID: 2}})
}

func TestLimiterMessages(t *testing.T) {
	const second = time.Second
	answered := cassiaschema.ShardOutcome_answered
	tests := []struct {
		name     string
		messages func(clock clockwork.Clock) []Message
		want     []Effect
	}{
		{"priority, then deadline", func(k clockwork.Clock) []Message {
			urgent := offerAt(k, 4, 3*second)
			urgent.Priority = cassiaschema.Priority_urgent
			return []Message{offerAt(k, 1, second), offerAt(k, 2, 2*second), offerAt(k, 3, second), urgent,
				Done{ID: 1, Outcome: cassiaschema.ShardOutcome_failed}, Done{ID: 4, Outcome: cassiaschema.ShardOutcome_failed}}
		}, []Effect{Start{ID: 1}, Start{ID: 4}, Start{ID: 3}}},
		{"one with enough time goes before one with too little", func(k clockwork.Clock) []Message {
			return []Message{offerAt(k, 1, 9*second), offerAt(k, 2, 1400*time.Millisecond), offerAt(k, 3, 3*second),
				Done{ID: 1, Outcome: answered, Elapsed: second}, Done{ID: 3, Outcome: answered, Elapsed: second}}
		}, []Effect{Start{ID: 1}, Start{ID: 3}, Start{ID: 2}}},
		{"draining refuses all that wait and come", func(k clockwork.Clock) []Message {
			return []Message{offerAt(k, 1, second), offerAt(k, 2, second), Drain{}, offerAt(k, 3, second), Undrain{}, offerAt(k, 4, second),
				Done{ID: 1, Outcome: answered, Elapsed: time.Millisecond}}
		}, []Effect{Start{ID: 1}, Refuse{ID: 2, Reason: ReasonDraining}, Refuse{ID: 3, Reason: ReasonDraining}, Start{ID: 4}}},
		{"a lost target refuses what waits", func(k clockwork.Clock) []Message {
			return []Message{offerAt(k, 1, second), offerAt(k, 2, second), Lost{}}
		}, []Effect{Start{ID: 1}, Refuse{ID: 2, Reason: ReasonLost}}},
		{"cancel stops or refuses", func(k clockwork.Clock) []Message {
			return []Message{offerAt(k, 1, second), offerAt(k, 2, second), Cancel{ID: 2}, Cancel{ID: 1}, Cancel{ID: 9}}
		}, []Effect{Start{ID: 1}, Refuse{ID: 2, Reason: ReasonCancelled}, Stop{ID: 1}}},
		{"a deadline that is over, and one too near for the queue", func(k clockwork.Clock) []Message {
			return []Message{offerAt(k, 1, second), Done{ID: 1, Outcome: answered, Elapsed: second}, offerAt(k, 2, 0),
				offerAt(k, 3, 5*second), offerAt(k, 4, 5*second), offerAt(k, 5, 1500*time.Millisecond)}
		}, []Effect{Start{ID: 1}, Refuse{ID: 2, Reason: ReasonTimedOut}, Start{ID: 3}, Start{ID: 4}, Refuse{ID: 5, Reason: ReasonOverloaded}}},
		{"a repeated offer and a repeated end count once", func(k clockwork.Clock) []Message {
			done := Done{ID: 1, Outcome: cassiaschema.ShardOutcome_failed}
			return []Message{offerAt(k, 1, second), offerAt(k, 1, second), offerAt(k, 2, second), done, done, offerAt(k, 3, second)}
		}, []Effect{Start{ID: 1}, Start{ID: 2}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClockAt(origin)
			l := NewLimiter(clock, Bounds{Concurrency: 4})
			var got []Effect
			for _, m := range tt.messages(clock) {
				got = append(got, withoutWakeAt(l.Update(m))...)
			}
			qt.Assert(t, got, qt.DeepEquals, tt.want)
		})
	}
}

func TestUnreachableTargetStartsSlowlyAgain(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClockAt(origin)
	l := NewLimiter(clock, Bounds{Concurrency: 4})
	id := cassiaid.AttemptID(0)
	run := func(outcome cassiaschema.ShardOutcome) {
		first := id + 1
		for range 8 {
			id++
			l.Update(offerAt(clock, id, time.Minute))
		}
		for i := first; i <= id; i++ {
			l.Update(Done{ID: i, Outcome: outcome, Elapsed: 5 * time.Millisecond})
		}
	}
	run(cassiaschema.ShardOutcome_answered)
	c.Assert(l.Limit(), qt.Equals, 4)
	run(cassiaschema.ShardOutcome_unreachable)
	c.Assert(l.Limit(), qt.Equals, 1)
}

// TestLimiterProperties sends random messages to a limiter and checks every effect: each attempt is either started or refused, and
// only once; it is started only before its deadline and within the limit and the bounds; an attempt that has to run alone runs
// alone.
func TestLimiterProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClockAt(origin)
		bounds := Bounds{Concurrency: rapid.IntRange(1, 6).Draw(t, "concurrency"), Queue: rapid.IntRange(1, 8).Draw(t, "queue")}
		l := NewLimiter(clock, bounds)
		m := &model{offers: map[cassiaid.AttemptID]Offer{}, state: map[cassiaid.AttemptID]string{}}
		for step := range rapid.IntRange(1, 200).Draw(t, "steps") {
			clock.Advance(time.Duration(rapid.IntRange(0, 20).Draw(t, "advance")) * time.Millisecond)
			message := m.drawMessage(t, clock.Now(), cassiaid.AttemptID(step+1))
			m.checkEffects(t, clock.Now(), l, bounds, l.Update(message))
		}
		clock.Advance(time.Hour)
		m.checkEffects(t, clock.Now(), l, bounds, l.Update(Tick{}))
		for id, state := range m.state {
			if state == "offered" && len(m.withState("running")) == 0 {
				t.Fatalf("attempt %d got neither start nor refusal", id)
			}
		}
	})
}

// model records the offered attempts of TestLimiterProperties and their states: offered, running, refused or ended.
type model struct {
	offers map[cassiaid.AttemptID]Offer
	state  map[cassiaid.AttemptID]string
}

func (m *model) withState(state string) []cassiaid.AttemptID {
	var ids []cassiaid.AttemptID
	for id, s := range m.state {
		if s == state {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (m *model) drawMessage(t *rapid.T, now time.Time, id cassiaid.AttemptID) Message {
	switch kind := rapid.IntRange(0, 11).Draw(t, "kind"); {
	case kind <= 4:
		o := Offer{ID: id, Deadline: now.Add(time.Duration(rapid.IntRange(-5, 300).Draw(t, "deadline")) * time.Millisecond)}
		o.Priority = cassiaschema.Priority(rapid.IntRange(0, 2).Draw(t, "priority"))
		o.Alone = rapid.IntRange(0, 5).Draw(t, "alone") == 0
		m.offers[id], m.state[id] = o, "offered"
		return o
	case kind <= 8:
		running := m.withState("running")
		if len(running) == 0 {
			return Tick{}
		}
		ended := rapid.SampledFrom(running).Draw(t, "ended")
		m.state[ended] = "ended"
		return Done{
			ID:      ended,
			Outcome: cassiaschema.ShardOutcome(rapid.IntRange(0, 12).Draw(t, "outcome")),
			Elapsed: time.Duration(rapid.IntRange(0, 100).Draw(t, "elapsed")) * time.Millisecond,
		}
	case kind == 9:
		return Cancel{ID: cassiaid.AttemptID(rapid.IntRange(1, int(id)).Draw(t, "cancelled"))}
	case kind == 10:
		return rapid.SampledFrom([]Message{Drain{}, Undrain{}, Lost{}}).Draw(t, "event")
	}
	return Tick{}
}

func (m *model) checkEffects(t *rapid.T, now time.Time, l *Limiter, bounds Bounds, effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Start:
			if m.state[e.ID] != "offered" {
				t.Fatalf("attempt %d started in state %q", e.ID, m.state[e.ID])
			}
			if !now.Before(m.offers[e.ID].Deadline) {
				t.Fatalf("attempt %d started at or after its deadline", e.ID)
			}
			m.state[e.ID] = "running"
		case Refuse:
			if m.state[e.ID] != "offered" {
				t.Fatalf("attempt %d refused in state %q", e.ID, m.state[e.ID])
			}
			m.state[e.ID] = "refused"
		}
	}
	running := m.withState("running")
	started := slices.ContainsFunc(effects, func(e Effect) bool { _, ok := e.(Start); return ok })
	if started && len(running) > l.Limit() {
		t.Fatalf("%d attempts run after a start, limit %d", len(running), l.Limit())
	}
	if len(running) > bounds.Concurrency {
		t.Fatalf("%d attempts run, bound %d", len(running), bounds.Concurrency)
	}
	for _, id := range running {
		if m.offers[id].Alone && len(running) > 1 {
			t.Fatalf("attempt %d has to run alone but runs with %d others", id, len(running)-1)
		}
	}
	if queued := l.Queued(); queued > bounds.Queue {
		t.Fatalf("%d attempts wait, bound %d", queued, bounds.Queue)
	}
}

// TestWaitingAttemptThatNoLongerFitsIsRefusedInTime: a waiting attempt that can no longer meet its deadline on this target is
// refused early enough for another target to answer.
func TestWaitingAttemptThatNoLongerFitsIsRefusedInTime(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClockAt(origin)
	l := NewLimiter(clock, Bounds{Concurrency: 1})
	l.Update(offerAt(clock, 1, 10*time.Second))
	l.Update(Done{ID: 1, Outcome: cassiaschema.ShardOutcome_answered, Elapsed: 500 * time.Millisecond})
	l.Update(offerAt(clock, 2, 10*time.Second))
	c.Assert(l.Running(), qt.Equals, 1)
	c.Assert(withoutWakeAt(l.Update(offerAt(clock, 3, 1300*time.Millisecond))), qt.HasLen, 0)
	clock.Advance(900 * time.Millisecond)
	c.Assert(withoutWakeAt(l.Update(Tick{})), qt.DeepEquals, []Effect{Refuse{ID: 3, Reason: ReasonOverloaded}})
}

// limited returns the Done of an attempt whose target names a rate.
func limited(id cassiaid.AttemptID, outcome cassiaschema.ShardOutcome, rate float64) Done {
	return Done{ID: id, Outcome: outcome, Elapsed: time.Millisecond, Acceptance: cassiabudget.AcceptanceOf([]float64{rate})}
}

// TestLimiterKeepsToTheRateOfItsTarget guards against attempts that start because there is room, although the target accepts no more,
// and against attempts that wait for long where others could serve the caller.
func TestLimiterKeepsToTheRateOfItsTarget(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClockAt(origin)
	l := NewLimiter(clock, Bounds{Concurrency: 4, Owners: 2})
	l.Update(offerAt(clock, 1, time.Second))
	l.Update(limited(1, cassiaschema.ShardOutcome_answered, 10))
	started, refused := 0, 0
	for id := range cassiaid.AttemptID(1000) {
		effects := l.Update(offerAt(clock, 2+id, time.Second))
		clock.Advance(10 * time.Millisecond)
		for _, e := range append(effects, l.Update(Tick{})...) {
			switch e := e.(type) {
			case Start:
				started++
				l.Update(limited(e.ID, cassiaschema.ShardOutcome_answered, 10))
			case Refuse:
				c.Assert(e.Reason, qt.Equals, ReasonOverloaded)
				refused++
			}
		}
		c.Assert(l.Queued() <= 1, qt.IsTrue)
	}
	// One of two owners starts 5 a second for 10 s, and what it has saved up in a second.
	c.Check(started >= 45 && started <= 56, qt.IsTrue, qt.Commentf("%d attempts started, %d were refused", started, refused))
	c.Check(started+refused >= 999, qt.IsTrue)
}

// TestRejectionsAtTheRateDoNotLowerTheLimit: a target that names a rate is healthy.
func TestRejectionsAtTheRateDoNotLowerTheLimit(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClockAt(origin)
	l := NewLimiter(clock, Bounds{Concurrency: 8})
	for id := range cassiaid.AttemptID(20) {
		l.Update(offerAt(clock, id, time.Second))
		l.Update(offerAt(clock, 1000+id, time.Second))
		l.Update(limited(id, cassiaschema.ShardOutcome_answered, 1e6))
		l.Update(limited(1000+id, cassiaschema.ShardOutcome_answered, 1e6))
		clock.Advance(time.Second)
	}
	before := l.Limit()
	c.Assert(before > 1, qt.IsTrue)
	l.Update(offerAt(clock, 5000, time.Second))
	l.Update(limited(5000, cassiaschema.ShardOutcome_overloaded, 1e6))
	c.Check(l.Limit(), qt.Equals, before)
}

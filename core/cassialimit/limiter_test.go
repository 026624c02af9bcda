package cassialimit

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func offerAt(clock clockwork.Clock, id cassiaid.AttemptID, after time.Duration) Offer {
	return Offer{ID: id, Deadline: clock.Now().Add(after)}
}

// only returns the effects without WakeAt.
func only(effects []Effect) []Effect {
	return slices.DeleteFunc(effects, func(e Effect) bool { _, ok := e.(WakeAt); return ok })
}

func TestLimiterStartsOneAndQueuesTheRest(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClockAt(origin)
	l := NewLimiter(clock, Bounds{Concurrency: 4})
	c.Assert(only(l.Update(offerAt(clock, 1, time.Second))), qt.DeepEquals, []Effect{Start{ID: 1}})
	c.Assert(only(l.Update(offerAt(clock, 2, time.Second))), qt.HasLen, 0)
	done := Done{ID: 1, Outcome: cassiaschema.ShardOutcome_answered, Elapsed: time.Millisecond}
	c.Assert(only(l.Update(done)), qt.DeepEquals, []Effect{Start{ID: 2}})
}

// TestLimiterProperties drives a limiter with random messages and judges every effect.
func TestLimiterProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClockAt(origin)
		bounds := Bounds{Concurrency: rapid.IntRange(1, 6).Draw(t, "concurrency"), Queue: rapid.IntRange(1, 8).Draw(t, "queue")}
		l := NewLimiter(clock, bounds)
		m := &model{offers: map[cassiaid.AttemptID]Offer{}, state: map[cassiaid.AttemptID]string{}}
		for step := range rapid.IntRange(1, 200).Draw(t, "steps") {
			clock.Advance(time.Duration(rapid.IntRange(0, 20).Draw(t, "advance")) * time.Millisecond)
			message := m.draw(t, clock.Now(), cassiaid.AttemptID(step+1))
			m.judge(t, clock.Now(), l, bounds, l.Update(message))
		}
		clock.Advance(time.Hour)
		m.judge(t, clock.Now(), l, bounds, l.Update(Tick{}))
		for id, state := range m.state {
			if state == "offered" && len(m.withState("running")) == 0 {
				t.Fatalf("attempt %d got neither start nor refusal", id)
			}
		}
	})
}

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

func (m *model) draw(t *rapid.T, now time.Time, id cassiaid.AttemptID) Message {
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

func (m *model) judge(t *rapid.T, now time.Time, l *Limiter, bounds Bounds, effects []Effect) {
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
	if len(running) > bounds.Concurrency {
		t.Fatalf("%d attempts run, bound %d", len(running), bounds.Concurrency)
	}
	for _, id := range running {
		if m.offers[id].Alone && len(running) > 1 {
			t.Fatalf("attempt %d is to run alone but runs with %d others", id, len(running)-1)
		}
	}
	if queued := l.Queued(); queued > bounds.Queue {
		t.Fatalf("%d attempts wait, bound %d", queued, bounds.Queue)
	}
}

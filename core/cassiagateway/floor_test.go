package cassiagateway

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"cassiasaddle/core/cassiabudget"
	"cassiasaddle/core/cassiadirectory"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiarecord"
)

// TestHedgesWithAFloorGiveTheSameAnswer checks that an answer has the greatest records of its shards although the results of hedges leave
// out what is below their floor, whichever replies come first or replace others.
func TestHedgesWithAFloorGiveTheSameAnswer(t *testing.T) {
	floors := 0
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		clock := clockwork.NewFakeClock()
		shards := 3 + random.IntN(6)
		g, route := remoteShards(clock, shards)
		route.TopK, route.MaxAttempts, route.DesiredLatency = 1+random.IntN(4), 3, 300*time.Millisecond
		var targets []cassiadirectory.Target
		for s := range shards {
			for replica := range 3 {
				targets = append(targets, cassiadirectory.Target{Name: targetName(s, replica), Service: serviceName(s), Zone: "b", Slots: 2})
			}
		}
		g.Update(TargetsChanged{Targets: targets})
		earnRetries(g, clock, route)
		// Replicas of a shard may answer with different records.
		part := func() []byte {
			body := make([]byte, random.IntN(5)*cassiarecord.RecordSize)
			for i := range body {
				body[i] = byte(random.IntN(3))
			}
			return body
		}
		pruner := cassiarecord.Pruner{Count: route.TopK}
		running := effectsOf[Send](g.Update(Arrived{Query: 1, Route: route, Deadline: clock.Now().Add(time.Second)}))
		full := make(map[string][]byte)
		var finished *Answer
		for finished == nil {
			var effects []Effect
			switch {
			case len(running) == 0 || random.IntN(2) == 0:
				clock.Advance(time.Duration(random.IntN(60)) * time.Millisecond)
				earnOneRetry(g, clock)
				effects = g.Update(Tick{})
			case random.IntN(4) == 0:
				// The retry may come after a hedge of another shard was answered.
				effects = g.Update(AttemptsEnded{[]AttemptEnded{{Attempt: running[0].Attempt, Outcome: OutcomeRejected}}})
				running = running[1:]
			default:
				i := random.IntN(len(running))
				send := running[i]
				running = slices.Delete(running, i, i+1)
				body := part()
				full[string(send.Target)] = body
				var result []byte
				if send.Unpruned {
					result = cassiarecord.GreatestFrom([][]byte{body}, route.TopK, send.Floor)
				} else {
					result = pruner.Prune(body)[0]
				}
				if len(send.Floor) > 0 {
					floors++
				}
				effects = g.Update(AttemptsEnded{[]AttemptEnded{{Attempt: send.Attempt, Outcome: OutcomeAnswered,
					Reply: &Reply{Stamp: string(send.Target), Body: result}}}})
			}
			running = append(running, effectsOf[Send](effects)...)
			for _, f := range effectsOf[Finish](effects) {
				finished = &f.Answer
			}
		}
		if finished.Merged == nil {
			return
		}
		var parts [][]byte
		for _, stamp := range finished.Merged.Stamps {
			parts = append(parts, full[stamp])
		}
		if want := cassiarecord.Greatest(parts, route.TopK); string(want) != string(finished.Merged.Body) {
			t.Fatalf("the answer has %x, its parts %x", finished.Merged.Body, want)
		}
	})
	if floors == 0 {
		t.Error("no hedge had a floor")
	}
}

// earnOneRetry adds an extra request to the retry budget of each service.
func earnOneRetry(g *Gateway, clock clockwork.Clock) {
	for _, s := range g.services {
		s.retryBudget.Earn(clock.Now(), cassiabudget.Allowance{Ratio: 1, Slack: 50}, 1)
	}
}

// TestReplaceableReplyGivesNoFloor guards against a floor from the result of a hedge that a pruned result replaces later.
func TestReplaceableReplyGivesNoFloor(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	g, route := remoteShards(clock, 3)
	route.TopK, route.MaxAttempts, route.DesiredLatency = 1, 3, 300*time.Millisecond
	var targets []cassiadirectory.Target
	for s := range 3 {
		for replica := range 3 {
			targets = append(targets, cassiadirectory.Target{Name: targetName(s, replica), Service: serviceName(s), Zone: "b", Slots: 2})
		}
	}
	g.Update(TargetsChanged{Targets: targets})
	earnRetries(g, clock, route)
	answer := func(a cassiaid.AttemptID, record byte) []Effect {
		return g.Update(AttemptsEnded{[]AttemptEnded{{Attempt: a, Outcome: OutcomeAnswered,
			Reply: &Reply{Stamp: fmt.Sprint(a), Body: bytes.Repeat([]byte{record}, cassiarecord.RecordSize)}}}})
	}
	first := effectsOf[Send](g.Update(Arrived{Query: 1, Route: route, Deadline: clock.Now().Add(time.Second)}))
	c.Assert(first, qt.HasLen, 3)
	clock.Advance(50 * time.Millisecond)
	retry := effectsOf[Send](g.Update(AttemptsEnded{[]AttemptEnded{{Attempt: first[1].Attempt, Outcome: OutcomeRejected}}}))
	c.Assert(retry, qt.HasLen, 1)
	clock.Advance(60 * time.Millisecond)
	hedges := effectsOf[Send](g.Update(Tick{}))
	c.Assert(hedges, qt.HasLen, 2)
	answer(hedges[0].Attempt, 9)
	clock.Advance(50 * time.Millisecond)
	earnOneRetry(g, clock)
	last := effectsOf[Send](g.Update(Tick{}))
	c.Assert(last, qt.HasLen, 1)
	c.Check(last[0].Floor, qt.HasLen, 0)
	answer(first[0].Attempt, 1)
	answer(first[2].Attempt, 2)
	finish := effectsOf[Finish](answer(last[0].Attempt, 5))
	c.Assert(finish, qt.HasLen, 1)
	c.Check(finish[0].Answer.Merged.Body[0], qt.Equals, byte(5))
}

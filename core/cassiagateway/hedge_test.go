package cassiagateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cassiasaddle/core/cassiacatalog"
	"cassiasaddle/core/cassiadirectory"
)

// replicatedShards is remoteShards with two targets for each shard, and with the retry budget for a hedge of each.
func replicatedShards(clock clockwork.Clock, shards int) (*Gateway, *cassiacatalog.Route) {
	g, route := remoteShards(clock, shards)
	var targets []cassiadirectory.Target
	for s := range shards {
		for replica := range 2 {
			targets = append(targets, cassiadirectory.Target{Name: targetName(s, replica), Service: serviceName(s), Zone: "b", Slots: 2})
		}
	}
	g.Update(TargetsChanged{Targets: targets})
	earnOneRetry(g, clock)
	return g, route
}

// TestHedgesWaitUntilMostShardsAreAnswered guards against a VM that is behind, or has a slow way to all targets, and doubles its work by
// hedges for each shard of a fan-out. Once half of the shards are answered, those that are late get their hedges at once.
func TestHedgesWaitUntilMostShardsAreAnswered(t *testing.T) {
	c := qt.New(t)
	const shards = 2 * minShardsToHold
	clock := clockwork.NewFakeClock()
	g, route := replicatedShards(clock, shards)
	sends := effectsOf[Send](g.Update(Arrived{Query: 1, Route: route, Deadline: clock.Now().Add(time.Second)}))
	c.Assert(sends, qt.HasLen, shards)
	clock.Advance(40 * time.Millisecond)
	effects := g.Update(Tick{})
	c.Check(effectsOf[Send](effects), qt.HasLen, 0)
	for _, wake := range effectsOf[WakeAt](effects) {
		c.Check(wake.Time.After(clock.Now()), qt.IsTrue)
	}
	var ended []AttemptEnded
	for _, s := range sends[:shards/2] {
		ended = append(ended, answerBy(s.Attempt, "stamp"))
	}
	wakes := effectsOf[WakeAt](g.Update(AttemptsEnded{Ended: ended}))
	c.Assert(wakes, qt.HasLen, 1)
	c.Check(wakes[0].Time.After(clock.Now()), qt.IsFalse)
	c.Check(effectsOf[Send](g.Update(Tick{})), qt.HasLen, shards/2)
}

// TestSmallFanOutIsHedgedWithoutAnswers guards against a fan-out over few shards that waits for targets that pause at the same time.
func TestSmallFanOutIsHedgedWithoutAnswers(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	g, route := replicatedShards(clock, 2)
	c.Assert(effectsOf[Send](g.Update(Arrived{Query: 1, Route: route, Deadline: clock.Now().Add(time.Second)})), qt.HasLen, 2)
	clock.Advance(40 * time.Millisecond)
	c.Check(effectsOf[Send](g.Update(Tick{})), qt.HasLen, 2)
}

// TestHedgesDoNotWaitForShardsThatWereGivenUp guards against a fan-out without hedges because most of its shards have no target.
func TestHedgesDoNotWaitForShardsThatWereGivenUp(t *testing.T) {
	c := qt.New(t)
	const shards = minShardsToHold
	clock := clockwork.NewFakeClock()
	g, route := replicatedShards(clock, shards)
	route.MinCoverage = 0.1
	for s := range 2 * shards {
		route.Shards = append(route.Shards, serviceName(shards+s))
	}
	sends := effectsOf[Send](g.Update(Arrived{Query: 1, Route: route, Deadline: clock.Now().Add(time.Second)}))
	c.Assert(sends, qt.HasLen, shards)
	var ended []AttemptEnded
	for _, s := range sends[:shards/2] {
		ended = append(ended, answerBy(s.Attempt, "stamp"))
	}
	g.Update(AttemptsEnded{Ended: ended})
	clock.Advance(40 * time.Millisecond)
	c.Check(effectsOf[Send](g.Update(Tick{})), qt.HasLen, shards/2)
}

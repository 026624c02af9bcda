package cassiagateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cassiasaddle/core/cassiaavailability"
	"cassiasaddle/core/cassiabudget"
	"cassiasaddle/core/cassiacatalog"
	"cassiasaddle/core/cassiadirectory"
	"cassiasaddle/core/cassiaid"
)

// limitedWorld is the only VM of a fleet, with shards of two targets each that answer within limitedWork.
type limitedWorld struct {
	clock   *clockwork.FakeClock
	gateway *Gateway
	search  *cassiacatalog.Route
	one     *cassiacatalog.Route
	next    QueryID
	rates   map[cassiaid.TargetName][]float64
	// statements is what targets state about further requests. A target that asks for a pause does not run requests.
	statements map[cassiaid.TargetName]cassiaavailability.Statement
	sent       map[cassiaid.TargetName]int
}

const limitedWork = 10 * time.Millisecond

func newLimitedWorld(shards int) *limitedWorld {
	clock := clockwork.NewFakeClock()
	w := &limitedWorld{clock: clock, rates: make(map[cassiaid.TargetName][]float64),
		statements: make(map[cassiaid.TargetName]cassiaavailability.Statement), sent: make(map[cassiaid.TargetName]int),
		gateway: NewGateway(clock, halfRandom{}, Settings{ExtraRequests: cassiabudget.Allowance{Ratio: 0.2, Slack: 50}, Name: "vm-a", Zone: "a"}),
		search: &cassiacatalog.Route{Name: "search", Idempotent: true, Timeout: time.Second, DesiredLatency: 100 * time.Millisecond,
			MaxAttempts: 2, TopK: 5, MinCoverage: 0.5},
		one: &cassiacatalog.Route{Name: "one", Idempotent: true, Timeout: time.Second, DesiredLatency: 100 * time.Millisecond, MaxAttempts: 2,
			Split: []cassiacatalog.WeightedService{{Service: serviceName(0), Weight: 1}}}}
	var targets []cassiadirectory.Target
	for s := range shards {
		w.search.Shards = append(w.search.Shards, serviceName(s))
		for replica := range 2 {
			targets = append(targets, cassiadirectory.Target{Name: targetName(s, replica), Service: serviceName(s), Zone: "a", Slots: 2})
		}
	}
	w.gateway.Update(TargetsChanged{Targets: targets})
	// A VM that has been listed for a while uses its whole part.
	for range 12 {
		w.gateway.Update(FleetChanged{VMs: []VM{{Name: "vm-a", Zone: "a"}}})
		clock.Advance(time.Second)
	}
	w.gateway.Update(FleetConfirmed{})
	for range 4 {
		w.request(w.search)
	}
	clear(w.sent)
	return w
}

// request sends a request, has its attempts answered after limitedWork, and returns its answer.
func (w *limitedWorld) request(route *cassiacatalog.Route) Answer {
	w.next++
	effects := w.gateway.Update(Arrived{Query: w.next, Route: route, Deadline: w.clock.Now().Add(2 * time.Second)})
	for {
		for _, f := range effectsOf[Finish](effects) {
			if f.Query == w.next {
				return f.Answer
			}
		}
		sends := effectsOf[Send](effects)
		w.clock.Advance(limitedWork)
		effects = w.gateway.Update(Tick{})
		for _, s := range sends {
			w.sent[s.Target]++
			ended := answerBy(s.Attempt, string(s.Target))
			ended.Acceptance = cassiabudget.AcceptanceOf(w.rates[s.Target])
			if ended.Statement = w.statements[s.Target]; ended.Statement.Pause > 0 {
				ended.Outcome, ended.Reply, ended.Acceptance = OutcomeRejected, nil, cassiabudget.Acceptance{}
			}
			effects = append(effects, w.gateway.Update(ended)...)
		}
	}
}

// limit has targets name a rate, which this VM hears with its next requests.
func (w *limitedWorld) limit(rate float64, targets ...cassiaid.TargetName) {
	for _, t := range targets {
		w.rates[t] = []float64{rate}
	}
	for range 4 {
		w.request(w.search)
	}
	clear(w.sent)
}

// TestOtherTargetsServeWhatALimitedOneDoesNot guards against refusals while a replica has room.
func TestOtherTargetsServeWhatALimitedOneDoesNot(t *testing.T) {
	c := qt.New(t)
	w := newLimitedWorld(1)
	w.limit(1, targetName(0, 0))
	for range 100 {
		c.Assert(w.request(w.one).Reply, qt.IsNotNil)
	}
	c.Check(w.sent[targetName(0, 0)] <= 2, qt.IsTrue, qt.Commentf("%v", w.sent))
}

// TestFanOutLeavesOutShardsThatAcceptNoMore guards against fan-outs that are refused, or wait, for a shard that they need not have.
func TestFanOutLeavesOutShardsThatAcceptNoMore(t *testing.T) {
	c := qt.New(t)
	w := newLimitedWorld(4)
	w.limit(1, targetName(0, 0), targetName(0, 1))
	whole := 0
	for range 100 {
		begun := w.clock.Now()
		answer := w.request(w.search)
		c.Assert(answer.Merged, qt.IsNotNil)
		c.Assert(w.clock.Since(begun) <= w.search.DesiredLatency, qt.IsTrue)
		if answer.Merged.Missing == 0 {
			whole++
		}
	}
	// 100 requests take a second or more, in which two targets accept a request each.
	c.Check(whole <= 5, qt.IsTrue, qt.Commentf("%d answers were whole", whole))
	c.Check(whole > 0, qt.IsTrue)
}

// TestQueriesThatNoTargetAcceptsAreRefusedAtOnce guards against queries that wait for a rate until their deadline, and against a
// Retry-After that brings callers back before they can be served.
func TestQueriesThatNoTargetAcceptsAreRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	w := newLimitedWorld(2)
	w.limit(2, targetName(0, 0), targetName(0, 1), targetName(1, 0), targetName(1, 1))
	for _, route := range []*cassiacatalog.Route{w.one, w.search} {
		served, refused := 0, 0
		var back time.Time
		for range 40 {
			begun := w.clock.Now()
			answer := w.request(route)
			if answer.Refusal == nil {
				served++
				continue
			}
			refused++
			c.Assert(w.clock.Since(begun), qt.Equals, time.Duration(0))
			c.Assert(answer.Refusal.Reason, qt.Equals, RefusalLimited)
			c.Assert(answer.Refusal.NotRun, qt.IsTrue)
			back = w.clock.Now().Add(answer.Refusal.RetryAfter)
			w.clock.Advance(20 * time.Millisecond)
		}
		c.Check(served > 0 && refused > 0, qt.IsTrue, qt.Commentf("%d served, %d refused", served, refused))
		w.clock.Advance(back.Sub(w.clock.Now()))
		c.Check(w.request(route).Refusal, qt.IsNil, qt.Commentf("the caller came back when it was told to"))
	}
}

// TestLimitedTargetIsNotHedgedTo guards against hedges that use up what a target accepts.
func TestLimitedTargetIsNotHedgedTo(t *testing.T) {
	c := qt.New(t)
	w := newLimitedWorld(1)
	earnRetries(w.gateway, w.clock, w.one)
	w.limit(100, targetName(0, 0), targetName(0, 1))
	w.clock.Advance(time.Second)
	sends := effectsOf[Send](w.gateway.Update(Arrived{Query: 1 << 30, Route: w.one, Deadline: w.clock.Now().Add(2 * time.Second)}))
	c.Assert(sends, qt.HasLen, 1)
	w.clock.Advance(90 * time.Millisecond)
	c.Check(effectsOf[Send](w.gateway.Update(Tick{})), qt.HasLen, 0)
}

// TestRejectionsDoNotMakeALimitedTargetUnfit: a target at its limit is healthy.
func TestRejectionsDoNotMakeALimitedTargetUnfit(t *testing.T) {
	c := qt.New(t)
	w := newLimitedWorld(1)
	w.limit(50, targetName(0, 0), targetName(0, 1))
	t0 := w.gateway.targets[targetName(0, 0)]
	a := &attempt{target: t0, shard: &shard{query: &query{route: w.one}}, link: w.gateway.linkFor(linkKey{zone: "a"})}
	w.gateway.recordOutcome(w.clock.Now(), a, AttemptEnded{Outcome: OutcomeRejected})
	c.Check(t0.failureRate, qt.Equals, 0.0)
	c.Check(t0.ejected(), qt.IsFalse)
}

// TestTargetGetsOneRequestBeforeItHasAnswered guards against a VM that starts sending many requests to a target that has named a
// limit before.
func TestTargetGetsOneRequestBeforeItHasAnswered(t *testing.T) {
	c := qt.New(t)
	w := newLimitedWorld(1)
	w.gateway.Update(TargetsChanged{Targets: []cassiadirectory.Target{{Name: "new", Service: serviceName(0), Zone: "a", Slots: 2}}})
	sent := 0
	for i := range 5 {
		sent += len(effectsOf[Send](w.gateway.Update(Arrived{Query: QueryID(1<<30 + i), Route: w.one, Deadline: w.clock.Now().Add(time.Second)})))
	}
	c.Check(sent, qt.Equals, 1)
}

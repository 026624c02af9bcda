package cassiaroute

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/types/known/durationpb"
	"pgregory.net/rapid"

	"cassiasaddle/core/cassiabudget"
	"cassiasaddle/core/cassiafront"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// tableFixture is a Table with one front and a fake clock.
type tableFixture struct {
	*Table
	clock *clockwork.FakeClock
}

func newTableFixture(shards, replicas int) *tableFixture {
	clock := clockwork.NewFakeClock()
	t := NewTable("vm0", "z0", clock)
	t.Update(MembersChanged{Members: testMembers(8, 4)})
	t.Update(SettingsChanged{Fronts: map[cassiaid.FrontKey]*cassiaschema.Front{testKey: testFront(shards, replicas, 4)}})
	return &tableFixture{Table: t, clock: clock}
}

// reportAnswer reports an answered attempt of a target.
func (f *tableFixture) reportAnswer(name string, elapsed time.Duration) []Effect {
	return f.reportResult(&cassiaschema.ShardResult{
		Target: name, Outcome: cassiaschema.ShardOutcome_answered, Started: true, Elapsed: durationpb.New(elapsed),
	})
}

func (f *tableFixture) reportResult(r *cassiaschema.ShardResult) []Effect {
	return f.Update(ResultSeen{Front: testKey, Result: r})
}

func (f *tableFixture) usable(name cassiaid.TargetName) bool { return f.Target(name).Usable }

func TestFirstSignOfLeavingCounts(t *testing.T) {
	reply := &cassiaschema.ShardResult{Target: "t0-0", Outcome: cassiaschema.ShardOutcome_answered, Draining: true}
	refusal := &cassiaschema.ShardResult{Target: "t0-0", Outcome: cassiaschema.ShardOutcome_draining}
	unreachable := &cassiaschema.ShardResult{Target: "t0-0", Outcome: cassiaschema.ShardOutcome_unreachable}
	health := &cassiaschema.TargetKnowledge{Target: "t0-0", Draining: true, Reachable: true}
	tests := []struct {
		name    string
		message Message
		shared  bool
		// evenLast is true when the last replica of a shard is closed too.
		evenLast bool
	}{
		{"reply", ResultSeen{Front: testKey, Result: reply}, true, true},
		{"refusal", ResultSeen{Front: testKey, Result: refusal}, true, true},
		{"platform", PlatformLeaving{Targets: []cassiaid.TargetName{"t0-0"}}, true, true},
		{"health", KnowledgeSeen{Targets: []*cassiaschema.TargetKnowledge{health}}, true, false},
		{"refused connection", ResultSeen{Front: testKey, Result: unreachable}, false, false},
		{"notice", TargetLeaving{Target: "t0-0", Source: SourceNotice}, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			f := newTableFixture(4, 2)
			effects := f.Update(tt.message)
			c.Assert(f.usable("t0-0"), qt.IsFalse)
			c.Assert(f.usable("t0-1"), qt.IsTrue)
			shared := false
			for _, e := range effects {
				s, ok := e.(ShareLeaving)
				shared = shared || ok && s.Leaving && s.Target == "t0-0"
			}
			c.Assert(shared, qt.Equals, tt.shared)
			alone := newTableFixture(4, 1)
			alone.Update(tt.message)
			c.Assert(alone.usable("t0-0"), qt.Equals, !tt.evenLast)
		})
	}
}

func TestLeavingTargetGetsNothingUntilItIsANewProcess(t *testing.T) {
	c := qt.New(t)
	f := newTableFixture(4, 2)
	f.reportResult(&cassiaschema.ShardResult{Target: "t0-0", Outcome: cassiaschema.ShardOutcome_draining})
	health := func(reachable bool) []Effect {
		known := &cassiaschema.TargetKnowledge{Target: "t0-0", Reachable: reachable}
		return f.Update(KnowledgeSeen{Targets: []*cassiaschema.TargetKnowledge{known}})
	}
	for range 30 {
		f.clock.Advance(time.Second)
		health(true)
		c.Assert(f.usable("t0-0"), qt.IsFalse)
	}
	health(false)
	c.Assert(f.usable("t0-0"), qt.IsFalse)
	c.Assert(health(true), qt.DeepEquals, []Effect{ShareLeaving{Target: "t0-0", Remaining: defaultLeavingDuration}})
	c.Assert(f.usable("t0-0"), qt.IsTrue)
}

// TestTargetKeepsLeavingWhileAVMIsIsolated guards against a VM that lost its own links taking a leaving target for a new process.
func TestTargetKeepsLeavingWhileAVMIsIsolated(t *testing.T) {
	c := qt.New(t)
	f := newTableFixture(4, 2)
	f.reportResult(&cassiaschema.ShardResult{Target: "t0-0", Outcome: cassiaschema.ShardOutcome_draining})
	health := func(target string, reachable bool) []Effect {
		known := &cassiaschema.TargetKnowledge{Target: target, Reachable: reachable}
		return f.Update(KnowledgeSeen{Targets: []*cassiaschema.TargetKnowledge{known}})
	}
	health("t0-0", false)
	health("t1-0", false)
	c.Assert(f.usable("t1-0"), qt.IsFalse)
	f.Update(IsolationChanged{})
	c.Check(f.usable("t1-0"), qt.IsTrue)
	// A check that was under way ends late.
	health("t0-0", false)
	f.Update(IsolationChanged{})
	c.Check(health("t0-0", true), qt.HasLen, 0)
	c.Check(f.usable("t0-0"), qt.IsFalse)
}

// TestIsolatedVMGivesItsTargetsToOthers checks that another VM owns each target of an isolated one, which still knows them.
func TestIsolatedVMGivesItsTargetsToOthers(t *testing.T) {
	c := qt.New(t)
	f := newTableFixture(64, 2)
	owned := f.OwnedTargets()
	c.Assert(len(owned) > 0, qt.IsTrue)
	members := testMembers(8, 4)
	for i := range members {
		members[i].Leaving = members[i].Name == "vm0"
	}
	f.Update(MembersChanged{Members: members})
	c.Check(f.OwnedTargets(), qt.HasLen, 0)
	c.Check(f.TargetsIfAlive(), qt.HasLen, len(owned))
	for _, o := range owned {
		c.Check(f.Owners(testKey, o.Shard, "z0"), qt.Not(qt.HasLen), 0)
	}
	for i := range members {
		members[i].Leaving = true
	}
	f.Update(MembersChanged{Members: members})
	c.Check(f.OwnedTargets(), qt.HasLen, len(owned))
}

func TestPlatformListReplacesItself(t *testing.T) {
	c := qt.New(t)
	f := newTableFixture(4, 2)
	c.Assert(f.Update(PlatformLeaving{Targets: []cassiaid.TargetName{"t0-0"}}), qt.HasLen, 1)
	c.Assert(f.Update(PlatformLeaving{Targets: []cassiaid.TargetName{"t0-0"}}), qt.HasLen, 0)
	f.clock.Advance(time.Hour)
	c.Assert(f.usable("t0-0"), qt.IsFalse)
	f.Update(PlatformLeaving{})
	c.Assert(f.usable("t0-0"), qt.IsTrue)
}

func TestSlowTargetIsEjectedForAGrowingTime(t *testing.T) {
	c := qt.New(t)
	f := newTableFixture(8, 2)
	ejectionsWhileSlow := func() (holds []time.Duration) {
		for range 2 * minSlowSamples {
			for s := range 8 {
				f.reportAnswer(fmt.Sprintf("t%d-1", s), 5*time.Millisecond)
			}
			for _, e := range f.reportAnswer("t0-0", 200*time.Millisecond) {
				if e, ok := e.(Ejected); ok && e.Reason == EjectSlow {
					holds = append(holds, e.For)
				}
			}
		}
		return holds
	}
	c.Assert(ejectionsWhileSlow(), qt.DeepEquals, []time.Duration{firstSlowEjection})
	c.Assert(f.usable("t0-0"), qt.IsFalse)
	f.clock.Advance(baseTrialInterval)
	c.Assert(f.usable("t0-0"), qt.IsTrue, qt.Commentf("a trial attempt is due"))
	f.Update(AttemptSent{Front: testKey, Target: "t0-0"})
	c.Assert(f.usable("t0-0"), qt.IsFalse)
	f.clock.Advance(firstSlowEjection)
	c.Assert(ejectionsWhileSlow(), qt.DeepEquals, []time.Duration{2 * firstSlowEjection})
}

// TestSlowShardUsesAllItsReplicas ejects one replica of a shard as slow, then makes the other one as slow: the first
// must be used again, unless another VM reports it as leaving.
func TestSlowShardUsesAllItsReplicas(t *testing.T) {
	c := qt.New(t)
	f := newTableFixture(8, 2)
	run := func(first, second time.Duration) {
		for range targetLatencyWindow {
			for s := range 8 {
				f.reportAnswer(fmt.Sprintf("t%d-1", s), 5*time.Millisecond)
			}
			f.reportAnswer("t0-0", first)
			f.reportAnswer("t0-1", second)
		}
	}
	run(200*time.Millisecond, 5*time.Millisecond)
	c.Assert(f.usable("t0-0"), qt.IsFalse)
	for range 2 * targetLatencyWindow {
		f.reportAnswer("t0-1", 250*time.Millisecond)
	}
	c.Assert(f.usable("t0-0"), qt.IsTrue)
	c.Assert(f.usable("t0-1"), qt.IsTrue)
	for range 2 * targetLatencyWindow {
		f.reportAnswer("t0-1", 5*time.Millisecond)
	}
	c.Assert(f.usable("t0-0"), qt.IsFalse, qt.Commentf("the other replica recovered"))
	f.Update(TargetLeaving{Target: "t0-0", Source: SourceNotice})
	for range 2 * targetLatencyWindow {
		f.reportAnswer("t0-1", 250*time.Millisecond)
	}
	c.Assert(f.usable("t0-0"), qt.IsFalse, qt.Commentf("another VM reports it as leaving"))
}

func TestFailingTargetIsEjected(t *testing.T) {
	c := qt.New(t)
	f := newTableFixture(4, 2)
	bad := &cassiaschema.ShardResult{Target: "t0-0", Outcome: cassiaschema.ShardOutcome_badReply, Started: true}
	for range failuresToEject - 1 {
		c.Assert(f.reportResult(bad), qt.HasLen, 0)
	}
	c.Assert(f.reportResult(bad), qt.DeepEquals, []Effect{Ejected{Target: "t0-0", Reason: EjectFailing, For: firstFailureEjection}})
	c.Assert(f.usable("t0-0"), qt.IsFalse)
}

// TestSheddingTargetLooksDearer has a target shed half of its attempts: its expected latency must rise, and fall
// again with time.
func TestSheddingTargetLooksDearer(t *testing.T) {
	c := qt.New(t)
	f := newTableFixture(4, 2)
	shed := &cassiaschema.ShardResult{Target: "t0-0", Outcome: cassiaschema.ShardOutcome_overloaded}
	for range 20 {
		f.reportAnswer("t0-0", 5*time.Millisecond)
		f.reportResult(shed)
		f.reportAnswer("t0-1", 5*time.Millisecond)
	}
	c.Assert(f.Target("t0-0").ExpectedLatency > 5*f.Target("t0-1").ExpectedLatency, qt.IsTrue)
	f.clock.Advance(20 * shedHalfLife)
	c.Assert(f.Target("t0-0").ExpectedLatency < 2*f.Target("t0-1").ExpectedLatency, qt.IsTrue)
}

// TestGivenUpAttemptsShowASlowTarget gives up all attempts to a target that was fast: its median latency must rise
// though it no longer answers.
func TestGivenUpAttemptsShowASlowTarget(t *testing.T) {
	c := qt.New(t)
	f := newTableFixture(4, 2)
	for range targetLatencyWindow {
		f.reportAnswer("t0-0", 5*time.Millisecond)
	}
	for range targetLatencyWindow {
		f.Update(AttemptSent{Front: testKey, Target: "t0-0"})
		f.Update(AttemptEnded{Target: "t0-0", GaveUpAfter: 80 * time.Millisecond})
	}
	c.Assert(f.Target("t0-0").ExpectedLatency > 50*time.Millisecond, qt.IsTrue)
}

// TestHedgeDoesNotWaitForStragglers makes a tenth of the attempts slow: the hedge delay must stay near the others'
// latency.
func TestHedgeDoesNotWaitForStragglers(t *testing.T) {
	c := qt.New(t)
	f := newTableFixture(4, 2)
	for i := range 1000 {
		took := 8 * time.Millisecond
		if i%10 == 0 {
			took = 150 * time.Millisecond
		}
		f.reportAnswer("t0-0", took)
	}
	c.Assert(f.HedgeAfter(testKey) < 40*time.Millisecond, qt.IsTrue)
}

// TestDoubtNeverEmptiesAShard applies random reports about the replicas of one shard, except those that close a
// target: at least one replica must stay usable.
func TestDoubtNeverEmptiesAShard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replicas := rapid.IntRange(1, 6).Draw(t, "replicas")
		f := newTableFixture(2, replicas)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			name := fmt.Sprintf("t0-%d", rapid.IntRange(0, replicas-1).Draw(t, "target"))
			known := &cassiaschema.TargetKnowledge{Target: name, Draining: rapid.Bool().Draw(t, "draining"), Reachable: rapid.Bool().Draw(t, "reachable")}
			outcome := cassiaschema.ShardOutcome(rapid.SampledFrom([]int32{0, 1, 2, 6, 8, 10}).Draw(t, "outcome"))
			messages := []Message{
				KnowledgeSeen{Targets: []*cassiaschema.TargetKnowledge{known}},
				TargetLeaving{Target: cassiaid.TargetName(name), Source: rapid.SampledFrom([]LeavingSource{SourceHealth, SourceNotice, SourceRefused}).Draw(t, "source")},
				ResultSeen{Front: testKey, Result: &cassiaschema.ShardResult{Target: name, Outcome: outcome, Started: true, TargetLost: rapid.Bool().Draw(t, "lost")}},
			}
			f.Update(rapid.SampledFrom(messages).Draw(t, "message"))
			f.clock.Advance(time.Duration(rapid.IntRange(0, 2000).Draw(t, "advance")) * time.Millisecond)
			usable := 0
			for r := range replicas {
				if f.usable(cassiaid.TargetName(fmt.Sprintf("t0-%d", r))) {
					usable++
				}
			}
			if usable == 0 {
				t.Fatal("no replica is usable")
			}
		}
	})
}

func TestBudgetsFollowTheLoad(t *testing.T) {
	c := qt.New(t)
	f := newTableFixture(4, 2)
	taken := func(take func(cassiaid.FrontKey) bool) int {
		n := 0
		for take(testKey) {
			n++
		}
		return n
	}
	c.Assert(taken(f.TakeHedge), qt.Equals, cassiabudget.InitialTokens)
	c.Assert(taken(f.TakeRetry), qt.Equals, cassiabudget.InitialTokens)
	hedges, retries := 0, 0
	for range 1000 {
		for range 10 {
			f.Update(AttemptSent{Front: testKey, Target: "t0-0"})
			f.Update(AttemptEnded{Target: "t0-0"})
			f.Update(AttemptSent{Front: testKey, Target: "t0-1", Extra: true})
		}
		hedges += taken(f.TakeHedge)
		retries += taken(f.TakeRetry)
	}
	c.Assert(hedges, qt.Equals, 500)
	c.Assert(retries, qt.Equals, 500)
	c.Assert(f.Target("t0-0").InFlight, qt.Equals, 0)
	c.Assert(f.Target("t0-1").InFlight, qt.Equals, 10000)
}

// TestHedgeAfterLeavesTheBudgetsShare sends latencies spread evenly from 1 to 100 ms and counts the attempts that
// take longer than the hedge delay: their share must be near the hedge budget.
func TestHedgeAfterLeavesTheBudgetsShare(t *testing.T) {
	c := qt.New(t)
	f := newTableFixture(4, 2)
	c.Assert(f.HedgeAfter(testKey), qt.Equals, cassiafront.Deadline(nil)/unknownHedgeDivisor)
	late := 0
	const samples = 20000
	for i := range samples {
		took := time.Duration(1+i*7919%100) * time.Millisecond
		if took > f.HedgeAfter(testKey) {
			late++
		}
		f.reportAnswer("t0-0", took)
	}
	share := float64(late) / samples
	c.Assert(share > 0.03 && share < 0.07, qt.IsTrue, qt.Commentf("%.3f of the attempts would hedge", share))
}

func TestSettingsKeepWhatIsKnown(t *testing.T) {
	c := qt.New(t)
	f := newTableFixture(4, 2)
	r := &cassiaschema.ShardResult{Target: "t0-0", Outcome: cassiaschema.ShardOutcome_answered, HeldSnapshots: []uint64{3, 4}, ShardMapEpoch: 2}
	f.reportResult(r)
	f.Update(SettingsChanged{Fronts: map[cassiaid.FrontKey]*cassiaschema.Front{testKey: testFront(2, 2, 4)}})
	c.Assert(f.Target("t0-0").HeldSnapshots, qt.DeepEquals, []cassiaid.Snapshot{3, 4})
	c.Assert(f.Target("t0-0").Epoch, qt.Equals, cassiaid.Epoch(2))
	c.Assert(f.targets, qt.HasLen, 4)
}

// TestSilentTargetIsEjected guards against a target that accepts attempts, answers none and stays in use; it is
// ejected unless its shard has no other open target.
func TestSilentTargetIsEjected(t *testing.T) {
	c := qt.New(t)
	f := newTableFixture(4, 2)
	for range 2 * peerMedianInterval {
		for _, name := range []string{"t1-0", "t1-1", "t2-0", "t2-1"} {
			f.reportAnswer(name, 5*time.Millisecond)
		}
	}
	giveUp := func(name string) {
		f.Update(AttemptSent{Front: testKey, Target: cassiaid.TargetName(name)})
		f.Update(AttemptEnded{Target: cassiaid.TargetName(name), GaveUpAfter: 30 * time.Millisecond})
	}
	for range unansweredToEject - 1 {
		giveUp("t1-0")
	}
	c.Assert(f.usable("t1-0"), qt.IsTrue)
	f.reportAnswer("t1-0", 5*time.Millisecond)
	giveUp("t1-0")
	c.Assert(f.usable("t1-0"), qt.IsTrue, qt.Commentf("an answer resets the count"))
	for range unansweredToEject {
		giveUp("t1-0")
		giveUp("t1-1")
	}
	c.Assert(f.usable("t1-0"), qt.IsFalse)
	c.Assert(f.usable("t1-1"), qt.IsTrue, qt.Commentf("the shard's last open replica"))
}

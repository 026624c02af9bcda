package cassiaquarantine

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"

	_ "cassiasaddle/test/cassiaseed"
)

// cluster is the owners of the targets of one front. Losses and quarantines reach all of them before a caller gets its result.
type cluster struct {
	clock  *clockwork.FakeClock
	owners []*Quarantine
	deadly map[cassiaid.Fingerprint]bool
	// crashes is the number of targets that each deadly request has crashed.
	crashes     map[cassiaid.Fingerprint]int
	quarantined map[cassiaid.Fingerprint]bool
	next        cassiaid.AttemptID
	// lossesNotShared keeps losses from reaching the other owners, to show that the bound depends on it.
	lossesNotShared bool
}

func newCluster(owners int, deadly ...cassiaid.Fingerprint) *cluster {
	k := &cluster{
		clock:       clockwork.NewFakeClock(),
		deadly:      map[cassiaid.Fingerprint]bool{},
		crashes:     map[cassiaid.Fingerprint]int{},
		quarantined: map[cassiaid.Fingerprint]bool{},
	}
	for range owners {
		k.owners = append(k.owners, NewQuarantine(k.clock))
	}
	for _, f := range deadly {
		k.deadly[f] = true
	}
	return k
}

// update passes a message to one owner, and passes to all other owners what that owner shares.
func (k *cluster) update(owner int, m Message) {
	for _, e := range k.owners[owner].Update(m) {
		var shared Message
		switch e := e.(type) {
		case ShareLoss:
			if k.lossesNotShared {
				k.update(owner, LossShared(e))
				continue
			}
			loss := e.Loss
			loss.Reporter = ownerName(owner)
			shared = LossLearned{Loss: loss}
		case ShareAnswer:
			shared = AnswerLearned(e)
		case ShareQuarantine:
			k.quarantined[e.Fingerprint] = true
			shared = QuarantineLearned{Fingerprint: e.Fingerprint, Remaining: e.Remaining}
		}
		for i := range k.owners {
			if i != owner {
				k.update(i, shared)
			}
		}
		if loss, ok := e.(ShareLoss); ok {
			k.update(owner, LossShared(loss))
		}
	}
}

// start starts an attempt on an owner's target, or returns 0 when the verdict is VerdictQuarantined or VerdictRefuseNow. It starts
// the attempt despite a VerdictWait.
func (k *cluster) start(owner int, f cassiaid.Fingerprint, shard cassiaid.ShardIndex) cassiaid.AttemptID {
	verdict := k.owners[owner].Admit(f, shard)
	if verdict == VerdictQuarantined || verdict == VerdictRefuseNow {
		return 0
	}
	k.next++
	run := Run{Attempt: k.next, Fingerprint: f, Shard: shard, Alone: verdict == VerdictAlone}
	k.update(owner, Started{Run: run, Target: targetOf(owner, shard)})
	return k.next
}

func ownerName(owner int) cassiaid.VMName { return cassiaid.VMName(fmt.Sprintf("vm-%d", owner)) }

func targetOf(owner int, shard cassiaid.ShardIndex) cassiaid.TargetName {
	return cassiaid.TargetName(fmt.Sprintf("t%d-%d", owner, shard))
}

// run runs one attempt of a request on an owner's target to its end and reports whether it was answered.
func (k *cluster) run(owner int, f cassiaid.Fingerprint, shard cassiaid.ShardIndex) bool {
	id := k.start(owner, f, shard)
	if id == 0 {
		return false
	}
	k.clock.Advance(5 * time.Millisecond)
	if k.deadly[f] {
		k.crashes[f]++
		k.update(owner, Ended{Attempt: id, Ending: EndingLost})
		return false
	}
	k.update(owner, Ended{Attempt: id, Ending: EndingAnswered})
	return true
}

func TestRepeatedDeadlyRequestCrashesTwoTargets(t *testing.T) {
	c := qt.New(t)
	k := newCluster(8, 1)
	for i := range 100 {
		k.run(i%8, 1, 0)
		k.clock.Advance(100 * time.Millisecond)
	}
	c.Assert(k.crashes[1], qt.Equals, 2)
	c.Assert(k.owners[5].Admit(1, 3), qt.Equals, VerdictQuarantined)
	c.Assert(k.owners[5].Admit(2, 3), qt.Equals, VerdictRun)
}

// TestWithoutSharedLossesTheBoundFails shows that sharing quarantines is not enough: without shared losses each of the 8 owners
// loses a target, and one of them a second one, before the request is quarantined.
func TestWithoutSharedLossesTheBoundFails(t *testing.T) {
	k := newCluster(8, 1)
	k.lossesNotShared = true
	for i := range 100 {
		k.run(i%8, 1, 0)
	}
	qt.Assert(t, k.crashes[1], qt.Equals, 9)
}

// TestDeadlyRequestOnChangingShards sends a deadly request to another shard each time; its losses on different shards must add up.
func TestDeadlyRequestOnChangingShards(t *testing.T) {
	c := qt.New(t)
	k := newCluster(8, 1)
	for i := range 100 {
		k.run(i%8, 1, cassiaid.ShardIndex(i%50))
		k.clock.Advance(100 * time.Millisecond)
	}
	c.Assert(k.crashes[1], qt.Equals, 2)
}

// TestParoleAllowsOneMoreLoss: after its quarantine period has ended, a deadly request may crash only one more target. It is
// then quarantined again, for longer.
func TestParoleAllowsOneMoreLoss(t *testing.T) {
	c := qt.New(t)
	k := newCluster(4, 1)
	k.run(0, 1, 0)
	k.run(1, 1, 0)
	k.clock.Advance(baseQuarantine + time.Second)
	k.run(2, 1, 0)
	k.run(3, 1, 0)
	c.Assert(k.crashes[1], qt.Equals, 3)
	c.Assert(k.owners[0].Remaining(1) > baseQuarantine, qt.IsTrue)
}

// TestCompanionOfADeadlyRequestIsCleared: an innocent request runs on the target that a deadly one crashes. It becomes a suspect
// and must be cleared once the deadly request has been quarantined.
func TestCompanionOfADeadlyRequestIsCleared(t *testing.T) {
	c := qt.New(t)
	k := newCluster(2, 1)
	deadly, innocent := k.start(0, 1, 0), k.start(0, 2, 0)
	k.update(0, Ended{Attempt: deadly, Ending: EndingLost})
	k.update(0, Ended{Attempt: innocent, Ending: EndingLost})
	c.Assert(k.owners[1].Admit(2, 0), qt.Equals, VerdictAlone)
	k.run(1, 1, 0)
	c.Assert(k.owners[1].Admit(1, 0), qt.Equals, VerdictQuarantined)
	c.Assert(k.run(1, 2, 0), qt.IsTrue)
	c.Assert(k.owners[0].Admit(2, 0) == VerdictQuarantined, qt.IsFalse)
}

// TestAmbiguousLossesQuarantineNobody: two targets that both ran the same two requests are lost, so neither request can be blamed.
func TestAmbiguousLossesQuarantineNobody(t *testing.T) {
	c := qt.New(t)
	k := newCluster(2)
	var runs [2][2]cassiaid.AttemptID
	for owner := range 2 {
		runs[owner] = [2]cassiaid.AttemptID{k.start(owner, 1, 0), k.start(owner, 2, 0)}
	}
	for owner := range 2 {
		for _, id := range runs[owner] {
			k.update(owner, Ended{Attempt: id, Ending: EndingLost})
		}
	}
	c.Assert(k.quarantined, qt.HasLen, 0)
}

// TestOutageDoesNotBlameARequestInFlight: an outage takes down a zone's targets while they run a popular request and a new one;
// neither may be quarantined.
func TestOutageDoesNotBlameARequestInFlight(t *testing.T) {
	c := qt.New(t)
	k := newCluster(3)
	const popular, fresh, other = 1, 2, 3
	c.Assert(k.run(2, popular, 0), qt.IsTrue)
	first, second := k.start(0, popular, 0), k.start(1, popular, 0)
	k.update(0, Ended{Attempt: first, Ending: EndingLost})
	k.update(1, Ended{Attempt: second, Ending: EndingLost})
	for shard := range cassiaid.ShardIndex(3) {
		k.update(0, Ended{Attempt: k.start(0, other+cassiaid.Fingerprint(shard), 7+shard), Ending: EndingLost})
	}
	k.update(0, Ended{Attempt: k.start(0, fresh, 5), Ending: EndingLost})
	k.update(1, Ended{Attempt: k.start(1, fresh, 5), Ending: EndingLost})
	c.Assert(k.quarantined, qt.HasLen, 0)
	c.Assert(k.run(2, popular, 0), qt.IsTrue)
	c.Assert(k.run(2, fresh, 5), qt.IsTrue)
}

// TestLossesSeenByTwoOwnersAreNoOutage: each target that a deadly request crashes also runs an innocent request for another owner.
// That owner's reports of the same losses must not count as unrelated losses.
func TestLossesSeenByTwoOwnersAreNoOutage(t *testing.T) {
	c := qt.New(t)
	k := newCluster(2)
	for i, target := range []cassiaid.TargetName{"a", "b"} {
		deadly, innocent := cassiaid.AttemptID(10+i), cassiaid.AttemptID(20+i)
		k.update(0, Started{Run: Run{Attempt: deadly, Fingerprint: 1, Alone: i > 0}, Target: target})
		k.update(1, Started{Run: Run{Attempt: innocent, Fingerprint: cassiaid.Fingerprint(5 + i)}, Target: target})
		k.update(1, Ended{Attempt: innocent, Ending: EndingLost})
		k.update(0, Ended{Attempt: deadly, Ending: EndingLost})
	}
	c.Assert(k.quarantined, qt.DeepEquals, map[cassiaid.Fingerprint]bool{1: true})
}

// TestLossesUnderOtherDeadlyRequestsAreNoOutage: two deadly requests have each lost one target and were not sent again. A third one is
// quarantined after two losses all the same.
func TestLossesUnderOtherDeadlyRequestsAreNoOutage(t *testing.T) {
	c := qt.New(t)
	const third = 3
	k := newCluster(3, 1, 2, third)
	k.run(0, 1, 0)
	k.run(1, 2, 1)
	k.clock.Advance(repetitionTime)
	for i := range 6 {
		k.run(i%len(k.owners), third, 2)
	}
	c.Assert(k.crashes[third], qt.Equals, lossesToQuarantine)
}

// TestOutageOfTargetsThatRunOneRequestEach: an outage takes down targets that run one request each. As long as these have not been sent
// again, or once they have been answered, a request that lost two of the targets is not quarantined.
func TestOutageOfTargetsThatRunOneRequestEach(t *testing.T) {
	c := qt.New(t)
	for _, answered := range []bool{false, true} {
		k := newCluster(3)
		const request, first, second = 1, 2, 3
		for shard, f := range []cassiaid.Fingerprint{first, second} {
			k.update(0, Ended{Attempt: k.start(0, f, cassiaid.ShardIndex(shard)), Ending: EndingLost})
		}
		if answered {
			c.Assert(k.run(1, first, 0), qt.IsTrue)
			c.Assert(k.run(1, second, 1), qt.IsTrue)
			k.clock.Advance(repetitionTime)
		}
		for owner := range 2 {
			k.update(owner, Ended{Attempt: k.start(owner, request, 5), Ending: EndingLost})
		}
		c.Assert(k.quarantined, qt.HasLen, 0)
	}
}

// TestFanOutThatNobodyAnswersIsQuarantined sends one request to ten shards at once; all its targets are lost. The request is
// quarantined after the last loss and not before, because a target that still runs it may answer.
func TestFanOutThatNobodyAnswersIsQuarantined(t *testing.T) {
	c := qt.New(t)
	k := newCluster(2)
	var ids []cassiaid.AttemptID
	for shard := range cassiaid.ShardIndex(10) {
		ids = append(ids, k.start(0, 1, shard))
	}
	for i, id := range ids {
		c.Assert(k.quarantined[1], qt.IsFalse, qt.Commentf("after %d losses", i))
		k.update(0, Ended{Attempt: id, Ending: EndingLost})
	}
	c.Assert(k.quarantined[1], qt.IsTrue)
}

// TestFanOutOverALostRackIsCleared: two of the ten targets that run the only request in flight are lost and the others answer, so
// the request must not be quarantined.
func TestFanOutOverALostRackIsCleared(t *testing.T) {
	c := qt.New(t)
	k := newCluster(2)
	var ids []cassiaid.AttemptID
	for shard := range cassiaid.ShardIndex(10) {
		ids = append(ids, k.start(0, 1, shard))
	}
	for i, id := range ids {
		ending := EndingAnswered
		if i < 2 {
			ending = EndingLost
		}
		k.update(0, Ended{Attempt: id, Ending: ending})
	}
	c.Assert(k.quarantined, qt.HasLen, 0)
	c.Assert(k.run(1, 1, 0), qt.IsTrue)
}

// TestRequestThatTurnsDeadlyIsQuarantined: a request that every owner's target has answered once starts to crash targets. Its
// earlier answers must not protect it.
func TestRequestThatTurnsDeadlyIsQuarantined(t *testing.T) {
	c := qt.New(t)
	k := newCluster(8)
	for owner := range 8 {
		c.Assert(k.run(owner, 1, 0), qt.IsTrue)
	}
	k.deadly[1] = true
	for owner := range 8 {
		k.run(owner, 1, 0)
	}
	c.Assert(k.crashes[1], qt.Equals, 2)
}

func TestCanary(t *testing.T) {
	c := qt.New(t)
	k := newCluster(1)
	q := k.owners[0]
	c.Assert(q.NeedsCanary(1, cassiaschema.Canary_afterLosses), qt.IsFalse)
	c.Assert(q.NeedsCanary(1, cassiaschema.Canary_always), qt.IsTrue)
	q.Update(IdleLost{Target: "t"})
	c.Assert(q.NeedsCanary(1, cassiaschema.Canary_afterLosses), qt.IsTrue)
	c.Assert(q.NeedsCanary(1, cassiaschema.Canary_never), qt.IsFalse)
	c.Assert(k.run(0, 1, 0), qt.IsTrue)
	c.Assert(q.NeedsCanary(1, cassiaschema.Canary_always), qt.IsFalse)
}

// TestBoundHolds repeats a deadly request at random owners among innocent ones, with one unrelated crash. The deadly request may
// crash at most lossesToQuarantine targets, and no innocent request may be quarantined.
func TestBoundHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		owners := rapid.IntRange(2, 8).Draw(t, "owners")
		k := newCluster(owners, 1)
		crashAt := rapid.IntRange(0, 59).Draw(t, "unrelatedCrash")
		for step := range 60 {
			owner := rapid.IntRange(0, owners-1).Draw(t, "owner")
			innocent := cassiaid.Fingerprint(rapid.IntRange(2, 5).Draw(t, "innocent"))
			mayRun := k.owners[owner].Admit(innocent, 0) == VerdictRun
			companion := k.start(owner, innocent, 0)
			if step == crashAt && mayRun {
				k.update(owner, Ended{Attempt: companion, Ending: EndingLost})
				companion = 0
			}
			ending := EndingAnswered
			shard := cassiaid.ShardIndex(rapid.IntRange(0, 3).Draw(t, "shard"))
			if verdict := k.owners[owner].Admit(1, shard); verdict == VerdictRun || verdict == VerdictAlone && companion == 0 {
				k.run(owner, 1, shard)
				if shard == 0 {
					ending = EndingLost
				}
			}
			if companion != 0 {
				k.update(owner, Ended{Attempt: companion, Ending: ending})
			}
			k.clock.Advance(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond)
		}
		if k.crashes[1] > lossesToQuarantine {
			t.Fatalf("%d targets crashed, want at most lossesToQuarantine", k.crashes[1])
		}
		for f := range k.quarantined {
			if f != 1 {
				t.Fatalf("innocent request %d was quarantined", f)
			}
		}
	})
}
